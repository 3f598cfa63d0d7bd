package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;

/**
 * Guards against offers for a client that has left: a connection that sends too many messages
 * without effect is not read for a while, and the pause hid that it was closed. A real scheduler
 * process on real sockets.
 */
class FloodingClientLeavesTest {
  /**
   * No attempt may begin more than 0.1 s after its client has closed the connection; 50 ms are the
   * slack of the protocol page.
   */
  private static final Duration LAST_OFFER_AFTER_CLOSE = Duration.ofMillis(100 + 50);

  /** Within this time the scheduler has read all that a client had sent before it closed. */
  private static final Duration OBSERVATION = Duration.ofSeconds(4);

  /** How often the process logs its status. */
  private static final Duration STATUS_INTERVAL = Duration.ofSeconds(5);

  private static final Pattern PAUSE_COUNT =
      Pattern.compile("paused for messages without effect (\\d+)");

  private static final long TIME_LEFT_MILLIS = 3000;
  private static final int REQUESTS = 40;
  private static final int LINES_PER_WRITE = 200;
  private static final int WRITES_PER_REQUEST = 3;
  private static final int CLIENTS_AT_ONCE = 8;

  /** Over the limit, by less than passes it while a request waits. */
  private static final int MESSAGES_OVER_THE_LIMIT = 2500;

  private static ScriptedHarness harness;
  private static ScriptedMachine machine;
  private static int service = 1;

  /** The number of pauses that the process had logged when it was last looked at. */
  private static long pauses;

  @BeforeContainer
  static void startScheduler() throws Exception {
    harness = new ScriptedHarness();
    machine = harness.addMachine();
    machine.acceptAndEndEachAfter(1);
  }

  @AfterContainer
  static void stopScheduler() throws Exception {
    harness.close();
  }

  /** A client that floods, with requests in between, until it is closed. */
  private static final class FloodingClient {
    final List<String> vms = new CopyOnWriteArrayList<>();
    private final Socket socket;
    private final Thread writer;
    private final Thread reader;
    private final LongFunction<String> line;
    volatile long closedNanos;

    FloodingClient(LongFunction<String> line) throws IOException {
      this.line = line;
      socket = harness.connectSocket();
      reader = new Thread(this::readToEnd, "flooding-client-reader");
      reader.setDaemon(true);
      reader.start();
      writer = new Thread(this::run, "flooding-client");
      writer.setDaemon(true);
    }

    void start() {
      writer.start();
    }

    private void run() {
      try {
        OutputStream out = socket.getOutputStream();
        long number = 0;
        for (int write = 0; closedNanos == 0; write++) {
          StringBuilder lines = new StringBuilder();
          for (int i = 0; i < LINES_PER_WRITE; i++) {
            lines.append(line.apply(number++)).append('\n');
          }
          if (write % WRITES_PER_REQUEST == 0 && vms.size() < REQUESTS) {
            lines.append(newRequest()).append('\n');
          }
          out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
        }
      } catch (IOException e) {
        // The connection was closed.
      }
    }

    private String newRequest() {
      String vm = harness.newVmId();
      vms.add(vm);
      return request(vm, TIME_LEFT_MILLIS);
    }

    private void readToEnd() {
      byte[] buffer = new byte[1 << 16];
      try {
        while (socket.getInputStream().read(buffer) >= 0) {
          // What is received does not matter.
        }
      } catch (IOException e) {
        // Closed.
      }
    }

    void close() throws InterruptedException {
      closedNanos = System.nanoTime();
      try {
        socket.close();
      } catch (IOException e) {
        // Already closed.
      }
      writer.join();
    }
  }

  private static synchronized String request(String vm, long timeLeftMillis) {
    return Message.request(
        vm,
        HarnessConfiguration.LIMITED_CLASS,
        timeLeftMillis,
        "cores:1;memory:1;service:" + String.format("%016x", service++));
  }

  private static String withdrawal(long number) {
    String unknown = String.format("%016x", 0xe000_0000_0000L + number);
    return Message.of(Message.ENDED, unknown, Message.CAUSE_WITHDRAWN);
  }

  private static String requestWithoutTimeLeft(long number) {
    return request(String.format("%016x", 0xe100_0000_0000L + number), 1);
  }

  private static void checkLeavingClients(int clients, long floodMillis, LongFunction<String> line)
      throws Exception {
    List<FloodingClient> floods = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      long offset = i * 1_000_000_000L;
      floods.add(new FloodingClient(number -> line.apply(offset + number)));
    }
    floods.forEach(each -> each.start());
    awaitPassed(Duration.ofMillis(floodMillis));
    for (FloodingClient each : floods) {
      each.close();
    }
    awaitPassed(OBSERVATION);

    assertThat(newPauses()).as("connections that were not read for a while").isPositive();
    for (FloodingClient each : floods) {
      assertThat(each.vms).isNotEmpty();
      assertThat(each.vms).filteredOn(vm -> isOfferedTooLate(vm, each.closedNanos)).isEmpty();
    }
  }

  /** How often connections were not read for a while since the last call. */
  private static long newPauses() {
    int logged = harness.log().size();
    Awaitility.await("status line")
        .atMost(STATUS_INTERVAL.multipliedBy(2))
        .until(() -> hasPauseCountAfter(logged));
    long before = pauses;
    pauses = lastPauseCount();
    return pauses - before;
  }

  private static boolean hasPauseCountAfter(int firstLine) {
    List<String> log = harness.log();
    return log.subList(firstLine, log.size()).stream()
        .anyMatch(line -> PAUSE_COUNT.matcher(line).find());
  }

  private static long lastPauseCount() {
    long count = 0;
    for (String line : harness.log()) {
      Matcher matcher = PAUSE_COUNT.matcher(line);
      count = matcher.find() ? Long.parseLong(matcher.group(1)) : count;
    }
    return count;
  }

  private static void awaitPassed(Duration time) {
    long startedNanos = System.nanoTime();
    Awaitility.await()
        .atMost(time.plusSeconds(10))
        .until(() -> System.nanoTime() - startedNanos > time.toNanos());
  }

  private static boolean isOfferedTooLate(String vm, long closedNanos) {
    long afterClose = machine.requestNanos(vm).map(at -> at - closedNanos).orElse(0L);
    return afterClose > LAST_OFFER_AFTER_CLOSE.toNanos();
  }

  @Example
  void clientThatLeavesAfterWithdrawingUnknownVms() throws Exception {
    checkLeavingClients(1, 300, FloodingClientLeavesTest::withdrawal);
    checkLeavingClients(1, 1300, FloodingClientLeavesTest::withdrawal);
    checkLeavingClients(1, 2600, FloodingClientLeavesTest::withdrawal);
  }

  @Example
  void manyClientsThatLeaveAtOnce() throws Exception {
    checkLeavingClients(CLIENTS_AT_ONCE, 1300, FloodingClientLeavesTest::withdrawal);
  }

  @Example
  void clientThatLeavesAfterRequestsThatCannotBePlaced() throws Exception {
    checkLeavingClients(1, 1300, FloodingClientLeavesTest::requestWithoutTimeLeft);
  }

  /** The limit must not keep a client that stays from its answers. */
  @Example
  void clientThatStaysIsAnsweredOnceItsInputWasRead() throws Exception {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < MESSAGES_OVER_THE_LIMIT; i++) {
      lines.append(withdrawal(i)).append('\n');
    }
    String vm = harness.newVmId();
    lines.append(request(vm, TIME_LEFT_MILLIS)).append('\n');

    try (Socket socket = harness.connectSocket()) {
      socket.getOutputStream().write(lines.toString().getBytes(StandardCharsets.UTF_8));

      Awaitility.await("offer")
          .atMost(Duration.ofMillis(TIME_LEFT_MILLIS))
          .until(() -> machine.requestNanos(vm).isPresent());
    }
  }
}
