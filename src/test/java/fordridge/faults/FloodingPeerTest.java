package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongFunction;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;

/**
 * Guards against one peer that writes at full speed and so delays the answers to everybody else. A
 * real scheduler process, and machines that answer at once.
 */
class FloodingPeerTest {
  private static final long TIME_LEFT_MILLIS = 1400;

  /** A request has to be accepted while its client waits for the answer. */
  private static final Duration ANSWERED_WITHIN = Duration.ofMillis(TIME_LEFT_MILLIS);

  private static final int REQUESTS = 15;
  private static final long REQUEST_INTERVAL_MILLIS = 200;
  private static final int LINES_PER_WRITE = 200;
  private static final int SILENT_CONNECTIONS = 300;

  private static ScriptedHarness harness;
  private static int service = 1;

  @BeforeContainer
  static void startScheduler() throws Exception {
    harness = new ScriptedHarness();
    harness.addMachine().acceptAndEndEachAfter(1);
  }

  @AfterContainer
  static void stopScheduler() throws Exception {
    harness.close();
  }

  /** A client that writes lines as fast as they are read, and drops what it receives. */
  private static final class FloodingClient {
    private final Socket socket;
    private final AtomicBoolean isStopped = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();

    FloodingClient(Socket socket, LongFunction<String> line) {
      this.socket = socket;
      start(() -> write(line));
      start(this::read);
    }

    private void start(Runnable task) {
      Thread thread = new Thread(task, "flooding-client");
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }

    private void write(LongFunction<String> line) {
      try {
        OutputStream out = socket.getOutputStream();
        long number = 1;
        while (!isStopped.get()) {
          StringBuilder lines = new StringBuilder();
          for (int i = 0; i < LINES_PER_WRITE; i++) {
            lines.append(line.apply(number++)).append('\n');
          }
          out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
        }
      } catch (IOException e) {
        // The scheduler has closed the connection.
      }
    }

    private void read() {
      byte[] buffer = new byte[1 << 16];
      try {
        while (socket.getInputStream().read(buffer) >= 0 && !isStopped.get()) {
          // What is received does not matter.
        }
      } catch (IOException e) {
        // Closed.
      }
    }

    void stop() throws Exception {
      isStopped.set(true);
      socket.close();
      for (Thread thread : threads) {
        thread.join();
      }
    }
  }

  private static String id(long number) {
    return String.format("%016x", 0xe000_0000_0000L + number);
  }

  /** Requests of a usual client during the flood; returns the longest time to an answer. */
  private static Duration slowestAnswer() throws Exception {
    return slowestAnswer(false);
  }

  /** As above; each request on a connection of its own if that is wanted. */
  private static Duration slowestAnswer(boolean reconnects) throws Exception {
    ScriptedClient client = harness.connect();
    Map<String, ScriptedClient> clients = new HashMap<>();
    Map<String, Long> sentNanos = new HashMap<>();
    Map<String, Long> answeredNanos = new HashMap<>();
    long endNanos =
        System.nanoTime()
            + Duration.ofMillis(REQUESTS * REQUEST_INTERVAL_MILLIS + 2 * TIME_LEFT_MILLIS)
                .toNanos();
    while (answeredNanos.size() < REQUESTS && System.nanoTime() < endNanos) {
      long dueNanos = sentNanos.size() * REQUEST_INTERVAL_MILLIS * 1_000_000;
      long firstNanos = sentNanos.values().stream().min(Long::compare).orElse(System.nanoTime());
      if (sentNanos.size() < REQUESTS && System.nanoTime() - firstNanos >= dueNanos) {
        String vm = harness.newVmId();
        client = reconnects ? harness.connect() : client;
        clients.put(vm, client);
        sentNanos.put(vm, System.nanoTime());
        client.request(vm, HarnessConfiguration.REPEATABLE_CLASS, TIME_LEFT_MILLIS, service++);
      }
      for (String vm : sentNanos.keySet()) {
        if (!answeredNanos.containsKey(vm)
            && clients.get(vm).messageTypes(vm).contains(Message.ACCEPTED)) {
          answeredNanos.put(vm, System.nanoTime());
        }
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
    clients.values().forEach(ScriptedClient::close);
    long slowestNanos = 0;
    for (Map.Entry<String, Long> sent : sentNanos.entrySet()) {
      long answered = answeredNanos.getOrDefault(sent.getKey(), Long.MAX_VALUE / 2);
      slowestNanos = Math.max(slowestNanos, answered - sent.getValue());
    }
    return Duration.ofNanos(slowestNanos);
  }

  private static void checkFlood(int connections, LongFunction<String> line) throws Exception {
    List<FloodingClient> floods = new ArrayList<>();
    try {
      for (int i = 0; i < connections; i++) {
        long offset = i * 1_000_000_000L;
        floods.add(
            new FloodingClient(harness.connectSocket(), number -> line.apply(offset + number)));
      }
      TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
      Duration slowest = slowestAnswer();
      assertThat(slowest).isLessThan(ANSWERED_WITHIN);
    } finally {
      for (FloodingClient flood : floods) {
        flood.stop();
      }
      Awaitility.await("the scheduler is idle again")
          .until(() -> slowestAnswer().compareTo(ANSWERED_WITHIN) < 0);
    }
  }

  @Example
  void releasesOfUnknownVms() throws Exception {
    checkFlood(1, number -> Message.of(Message.ENDED, id(number), Message.CAUSE_WITHDRAWN));
  }

  @Example
  void acknowledgementsOfUnknownVms() throws Exception {
    checkFlood(1, number -> Message.of(Message.ACKNOWLEDGED, id(number), 0));
  }

  @Example
  void healthChecks() throws Exception {
    checkFlood(1, number -> Message.of(Message.HEALTH_CHECK, id(number), 0));
  }

  @Example
  void healthChecksOnManyConnections() throws Exception {
    checkFlood(20, number -> Message.of(Message.HEALTH_CHECK, id(number), 0));
  }

  @Example
  void requestsOfEverNewServicesWithoutTimeLeft() throws Exception {
    checkFlood(1, FloodingPeerTest::requestWithoutTimeLeft);
  }

  @Example
  void requestsWithoutTimeLeftOnManyConnections() throws Exception {
    checkFlood(20, FloodingPeerTest::requestWithoutTimeLeft);
  }

  private static String requestWithoutTimeLeft(long number) {
    return Message.request(
        id(number),
        HarnessConfiguration.REPEATABLE_CLASS,
        1,
        "cores:1;memory:1;service:" + id(number));
  }

  @Example
  void handoversOnUnknownMachines() throws Exception {
    checkFlood(
        1,
        number ->
            Message.request(
                id(number),
                HarnessConfiguration.REPEATABLE_CLASS,
                0,
                "cores:1;memory:1;service:1;at:unknown-" + number));
  }

  /** A machine that writes at full speed on one connection, beside one that answers. */
  private static void checkMachineFlood(LongFunction<String> line) throws Exception {
    ScriptedMachine flooding = harness.addMachine();
    ScriptedClient client = harness.connect();
    String vm = "";
    while (!flooding.hasReceived(Message.REQUEST, vm)) {
      vm = harness.newVmId();
      client.request(vm, HarnessConfiguration.REPEATABLE_CLASS, TIME_LEFT_MILLIS, service++);
      TimeUnit.MILLISECONDS.sleep(20);
    }
    ScriptedMachine.Connection connection = flooding.awaitRequest(vm);
    flooding.accept(connection, vm);
    client.awaitAccepted(vm);
    harness.drain(flooding);
    AtomicBoolean isStopped = new AtomicBoolean();
    Thread writer =
        new Thread(
            () -> {
              for (long number = 0; !isStopped.get() && connection.isOpen(); number++) {
                connection.send(line.apply(number));
              }
            },
            "flooding-machine");
    writer.start();
    try {
      TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
      assertThat(slowestAnswer()).isLessThan(ANSWERED_WITHIN);
    } finally {
      isStopped.set(true);
      writer.join();
      harness.removeMachine(flooding);
      flooding.die();
    }
  }

  @Example
  void releasesOfUnknownVmsFromAMachine() throws Exception {
    checkMachineFlood(number -> Message.of(Message.ENDED, id(number), Message.CAUSE_DONE));
  }

  @Example
  void reportsFromAMachine() throws Exception {
    checkMachineFlood(number -> Message.report(id(number % 3)));
  }

  @Example
  void positionsFromTheMachineListServer() throws Exception {
    AtomicBoolean isStopped = new AtomicBoolean();
    Thread writer =
        new Thread(
            () -> {
              while (!isStopped.get()) {
                harness.repeatListPosition(LINES_PER_WRITE);
              }
            },
            "flooding-list-server");
    writer.start();
    try {
      TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
      assertThat(slowestAnswer()).isLessThan(ANSWERED_WITHIN);
    } finally {
      isStopped.set(true);
      writer.join();
    }
  }

  /** Silent clients that connect again as soon as they are closed. */
  @Example
  void silentConnectionsThatAreOpenedAgainAtOnce() throws Exception {
    AtomicBoolean isStopped = new AtomicBoolean();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < SILENT_CONNECTIONS; i++) {
      Thread thread = new Thread(() -> reconnectSilently(isStopped), "silent-client");
      thread.start();
      threads.add(thread);
    }
    try {
      TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
      // The scheduler may close an unused connection at any time, so each request has its own.
      assertThat(slowestAnswer(true)).isLessThan(ANSWERED_WITHIN);
    } finally {
      isStopped.set(true);
      for (Thread thread : threads) {
        thread.join();
      }
    }
  }

  private static void reconnectSilently(AtomicBoolean isStopped) {
    while (!isStopped.get()) {
      try (Socket socket = harness.connectSocket()) {
        socket.setSoTimeout((int) TIME_LEFT_MILLIS);
        socket.getInputStream().read();
      } catch (IOException e) {
        // Closed by the scheduler, or it was silent until now: connect again.
      }
    }
  }
}
