package fordridge.server.json;

import fordridge.json.ClientServer;
import fordridge.json.EndpointWatcher;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import sun.misc.Signal;

/**
 * The placer as the platform starts it: configuration, front, journal, signals, on one event loop.
 */
public final class ServeCommand implements AutoCloseable {
  /**
   * SIGKILL comes no sooner than this after SIGTERM, and than the longest build timeout if that is
   * shorter, plus a rest.
   */
  private static final Duration KILLED = Duration.ofSeconds(3);

  private static final Duration REST = Duration.ofMillis(700);

  /** The last of it is kept for the answers to what is still held then. */
  private static final Duration LAST = Duration.ofMillis(900);

  /**
   * Requests go on coming for this long after SIGTERM, however short their time: nobody is left at
   * a closed door.
   */
  private static final Duration COME = Duration.ofMillis(650);

  /** How long what is written and not taken in, or not heard, holds up the end. */
  private static final Duration LINGERS = Duration.ofMillis(400);

  /** Before it listens, what all asks go through is run for this long at the most. */
  private static final Duration WARMS = Duration.ofMillis(1500);

  /**
   * Descriptors for the process itself: some twenty files, the selector, journal and accepting, and
   * as many again.
   */
  private static final int OWN = 48;

  private static final Logger NETTY = Logger.getLogger("io.netty");

  private final PrintStream err;
  private final Path file;
  private final EventLoopGroup loop;
  private final CountDownLatch ended = new CountDownLatch(1);
  private ServerConfiguration configuration;
  private JsonSchedulerServer station;
  private ClientServer front;
  private EndpointWatcher journal;
  private volatile boolean stopping;

  /** After SIGTERM, for how long all goes on as before; null until then. */
  private Duration stopsAt;

  /** SIGHUP came before there was anything to change. */
  private boolean reloadWanted;

  public ServeCommand(Path file, PrintStream err) throws IOException {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    // Its formatter opens a file for the time zone; with no descriptor left that took the event
    // loop's thread down.
    NETTY.setLevel(Level.OFF);
    this.err = err;
    this.file = file;
    configuration = ServerConfiguration.read(file);
    loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  /** Runs the placer of the configuration that the environment names, until it is told to stop. */
  public static int run(PrintStream err) throws InterruptedException {
    // Before anything else: a JVM dies of a SIGHUP that nobody has asked for.
    ServeCommand[] program = new ServeCommand[1];
    Signal.handle(
        new Signal("HUP"),
        s -> {
          if (program[0] != null) {
            program[0].reload();
          }
        });
    String config = System.getenv("LB_CONFIG");
    if (config == null) {
      err.println("fordridge serve: LB_CONFIG does not name the configuration");
      return 1;
    }
    try {
      program[0] = new ServeCommand(Path.of(config), err);
      Signal.handle(new Signal("TERM"), s -> program[0].stop());
      program[0].start();
    } catch (IOException | RuntimeException e) {
      err.println("fordridge serve: " + config + ": " + e.getMessage());
      if (program[0] != null) {
        program[0].close();
      }
      return 1;
    }
    program[0].ended.await();
    return 0;
  }

  private void log(String line) {
    err.println(System.currentTimeMillis() + " " + configuration.name + " " + line);
  }

  public void start() throws IOException, InterruptedException {
    station =
        new JsonSchedulerServer(loop, configuration, machineSockets(configuration), this::log);
    front = new ClientServer(loop, station, ownerSockets(configuration));
    Throwable[] failed = new Throwable[1];
    loop.submit(
            () -> {
              try {
                station.begin(configuration, front);
                journal = new EndpointWatcher(loop, configuration.pos, station::event, this::log);
                journal.follow(configuration.journal);
                station.watch(journal::readNow);
                if (reloadWanted) {
                  reload();
                }
              } catch (RuntimeException e) {
                failed[0] = e;
              }
            })
        .await();
    if (failed[0] != null) {
      throw new IOException(failed[0].getMessage(), failed[0]);
    }
    long from = System.nanoTime();
    int warmed = WarmUp.run(configuration, WARMS);
    log("warmed up with " + warmed + " asks in " + (System.nanoTime() - from) / 1_000_000 + " ms");
    if (stopping) {
      return;
    }
    var bound = front.listen(configuration.listen).await();
    if (!bound.isSuccess()) {
      throw new IOException(
          "can't listen at " + configuration.listen + ": " + bound.cause().getMessage());
    }
    log("serving at " + front.address() + ", " + configuration.limits);
    loop.next()
        .scheduleAtFixedRate(
            () -> log(station.state() + ", journal at " + journal.pos()), 5, 5, TimeUnit.SECONDS);
  }

  /**
   * All but the owners' share and what the process itself holds: its files, the journal, what is
   * being accepted.
   */
  private static int machineSockets(ServerConfiguration p) {
    return Math.max(p.sockets / 8, p.sockets - ownerSockets(p) - OWN);
  }

  private static int ownerSockets(ServerConfiguration p) {
    return p.sockets * 3 / 8;
  }

  /** Owners' connections held now. */
  public int connections() throws InterruptedException, ExecutionException {
    return loop.submit(front::connections).get();
  }

  /** Asks, VMs and descriptions held now. */
  public int kept() throws InterruptedException, ExecutionException {
    return loop.submit(station::kept).get();
  }

  /** The number of the last event of the journal that was taken. */
  public long journalPos() throws InterruptedException, ExecutionException {
    return loop.submit(journal::pos).get();
  }

  public int port() {
    return front.address().getPort();
  }

  /** Reads the configuration anew; a bad one changes nothing. */
  public void reload() {
    loop.execute(
        () -> {
          if (journal == null) {
            reloadWanted = true;
            return;
          }
          try {
            ServerConfiguration next = ServerConfiguration.read(file);
            station.told(next, machineSockets(next));
            front.most(ownerSockets(next));
            if (!next.listen.equals(configuration.listen)
                || !next.name.equals(configuration.name)) {
              log("a new name or address needs a restart: " + next.name + " " + next.listen);
            }
            configuration = next;
            journal.follow(next.journal);
            log("configuration read anew; journal " + next.journal);
          } catch (IOException | RuntimeException e) {
            log("configuration not read anew, the old one stays: " + e.getMessage());
          }
        });
  }

  /**
   * Goes on for as long as the platform lets it: what is held may still find room, and what stands
   * may end. Then nothing more is placed, what is in hand is answered, and the process ends.
   */
  public void stop() {
    long toldNanos = System.nanoTime();
    stopping = true;
    loop.execute(
        () -> {
          if (stopsAt != null) {
            return;
          }
          if (station == null) {
            ended.countDown();
            return;
          }
          log("stopping; " + station.state());
          Duration patience = station.longestPatience();
          Duration kill = (patience.compareTo(KILLED) < 0 ? patience : KILLED).plus(REST);
          stopsAt = Collections.max(List.of(kill.minus(LAST), COME));
          after(
              toldNanos,
              stopsAt,
              () -> {
                station.stops();
                loop.next()
                    .scheduleAtFixedRate(
                        () -> {
                          boolean lingers =
                              since(toldNanos).compareTo(stopsAt.plus(LINGERS)) < 0
                                  && (station.untold() > 0 || front.unwritten());
                          if (station.inHand() == 0 && !lingers) {
                            ended.countDown();
                          }
                        },
                        20,
                        20,
                        TimeUnit.MILLISECONDS);
              });
        });
  }

  private static Duration since(long nanos) {
    return Duration.ofNanos(System.nanoTime() - nanos);
  }

  private void after(long fromNanos, Duration span, Runnable then) {
    loop.next()
        .schedule(then, Math.max(0, span.minus(since(fromNanos)).toNanos()), TimeUnit.NANOSECONDS);
  }

  public boolean awaitEnd(Duration most) throws InterruptedException {
    return ended.await(most.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    if (journal != null) {
      loop.execute(journal::close);
    }
    if (front != null) {
      loop.execute(front::close);
    }
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
