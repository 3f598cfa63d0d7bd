package fordridge.server.json;

import fordridge.eventloop.EventLoopTimers;
import fordridge.json.ClientServer;
import fordridge.model.Durations;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Shuts a server down within the time between SIGTERM and SIGKILL. The server serves as before for
 * as long as it can, since pending requests may still find capacity and running VMs may end. Then
 * it stops placing VMs, and the shutdown completes once all requests are answered. Confined to the
 * event loop.
 */
final class GracefulShutdown {
  /**
   * The platform sends SIGKILL no sooner after SIGTERM than this, or the longest start deadline if
   * that is shorter, plus {@link #KILL_GRACE_PERIOD}.
   */
  private static final Duration MAX_KILL_DELAY = Duration.ofSeconds(3);

  private static final Duration KILL_GRACE_PERIOD = Duration.ofMillis(700);

  /**
   * The last part of the time before SIGKILL, in which nothing is placed and pending requests are
   * answered.
   */
  private static final Duration RESPONSE_PHASE_TIME = Duration.ofMillis(900);

  /**
   * Requests that are still pending this long before SIGKILL fail without waiting for machines: a
   * machine may hang for the whole shutdown.
   */
  private static final Duration FORCED_RESPONSE_MARGIN = Duration.ofMillis(450);

  /**
   * From the end of the output to clients to the close of their connections: time for them to read
   * the end of the output.
   */
  private static final Duration CLOSE_DELAY = Duration.ofMillis(150);

  /**
   * Exceeds the 0.6 s for which clients continue to send requests after SIGTERM, however short
   * their deadlines are.
   */
  private static final Duration MIN_SERVING_TIME = Duration.ofMillis(650);

  /**
   * How long unread output, unacknowledged notices and unconfirmed releases may delay the
   * completion, from the end of the serving time.
   */
  private static final Duration MAX_LINGER_TIME = Duration.ofMillis(400);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  private final EventLoopTimers timers;
  private final JsonSchedulerServer server;
  private final ClientServer clients;
  private final long signalReceivedNanos;
  private final Duration servingTime;
  private final Duration forcedResponsesAfter;
  private final Consumer<String> log;
  private final Runnable onComplete;
  private boolean isCompleted;

  /**
   * Creates a shutdown that is not started yet.
   *
   * @param signalReceivedNanos when the signal was received, by {@link System#nanoTime}
   * @param onComplete runs once the process may exit
   */
  GracefulShutdown(
      EventLoopTimers timers,
      JsonSchedulerServer server,
      ClientServer clients,
      long signalReceivedNanos,
      Consumer<String> log,
      Runnable onComplete) {
    this.timers = timers;
    this.server = server;
    this.clients = clients;
    this.signalReceivedNanos = signalReceivedNanos;
    this.log = log;
    this.onComplete = onComplete;
    Duration untilKill =
        Durations.min(server.maxStartDeadline(), MAX_KILL_DELAY).plus(KILL_GRACE_PERIOD);
    servingTime = Durations.max(untilKill.minus(RESPONSE_PHASE_TIME), MIN_SERVING_TIME);
    forcedResponsesAfter = Durations.max(untilKill.minus(FORCED_RESPONSE_MARGIN), servingTime);
  }

  void start() {
    timers.runAfter(
        servingTime.minus(sinceSignal()),
        () -> {
          log.accept(withProgress("placement stopped"));
          server.startShutdown();
          timers.runEvery(CHECK_INTERVAL, this::checkComplete);
        });
  }

  private void checkComplete() {
    if (isCompleted) {
      return;
    }
    if (sinceSignal().compareTo(forcedResponsesAfter) >= 0 && server.pendingRequestCount() > 0) {
      log.accept(withProgress("failing pending requests"));
      server.failPendingRequests();
    }
    if (server.pendingRequestCount() == 0 && !isLingering()) {
      isCompleted = true;
      finish();
    }
  }

  private void finish() {
    server.stopListeningToMachines();
    clients.finishOutput();
    log.accept(withProgress("shutdown complete"));
    timers.runAfter(CLOSE_DELAY, onComplete);
  }

  private boolean isLingering() {
    return sinceSignal().compareTo(servingTime.plus(MAX_LINGER_TIME)) < 0
        && sinceSignal().compareTo(forcedResponsesAfter) < 0
        && (server.undeliveredNoticeCount() > 0
            || server.hasUnsettledAttempts()
            || clients.hasPendingOutput());
  }

  private String withProgress(String step) {
    return step
        + " after "
        + sinceSignal().toMillis()
        + " ms; outstanding: "
        + server.describeOutstanding();
  }

  private Duration sinceSignal() {
    return Duration.ofNanos(System.nanoTime() - signalReceivedNanos);
  }
}
