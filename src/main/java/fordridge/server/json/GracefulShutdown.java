package fordridge.server.json;

import fordridge.eventloop.EventLoopTimers;
import fordridge.json.ClientServer;
import fordridge.model.Durations;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Ends a server within the time between SIGTERM and SIGKILL. For as long as it can, all goes on as
 * before: pending requests may still find capacity, and running VMs may end. Then nothing more is
 * placed, and the end comes once all is answered. Confined to the event loop.
 */
final class GracefulShutdown {
  /**
   * The platform sends SIGKILL no sooner than this after SIGTERM, or than the longest start
   * deadline if that is shorter, plus a grace period.
   */
  private static final Duration KILL_DELAY = Duration.ofSeconds(3);

  private static final Duration KILL_GRACE_PERIOD = Duration.ofMillis(700);

  /** The last part of that time is kept for the responses to what is pending then. */
  private static final Duration FINAL_RESPONSES_TIME = Duration.ofMillis(900);

  /**
   * The responses to what is pending so long before SIGKILL don't wait for machines any more: a
   * machine may hang through the whole of a shutdown.
   */
  private static final Duration LAST_RESPONSES_TIME = Duration.ofMillis(450);

  /** Between the end of the output to clients and the close: they have seen it by then. */
  private static final Duration CLOSE_DELAY = Duration.ofMillis(150);

  /** Clients go on sending requests for 0.6 s after SIGTERM, however short their deadlines. */
  private static final Duration MIN_SERVING_TIME = Duration.ofMillis(650);

  /** How long output, notices and releases that peers don't take in delay the end. */
  private static final Duration MAX_LINGER = Duration.ofMillis(400);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  private final EventLoopTimers timers;
  private final JsonSchedulerServer server;
  private final ClientServer clients;
  private final long signalNanos;
  private final Duration servingTime;
  private final Duration lastResponsesAt;
  private final Consumer<String> log;
  private final Runnable onComplete;
  private boolean isCompleted;

  /**
   * Creates a shutdown.
   *
   * @param signalNanos when the signal came, by {@link System#nanoTime}
   * @param onComplete what is run once the process may end
   */
  GracefulShutdown(
      EventLoopTimers timers,
      JsonSchedulerServer server,
      ClientServer clients,
      long signalNanos,
      Consumer<String> log,
      Runnable onComplete) {
    this.timers = timers;
    this.server = server;
    this.clients = clients;
    this.signalNanos = signalNanos;
    this.log = log;
    this.onComplete = onComplete;
    Duration untilKill =
        Durations.min(server.maxStartDeadline(), KILL_DELAY).plus(KILL_GRACE_PERIOD);
    servingTime = Durations.max(untilKill.minus(FINAL_RESPONSES_TIME), MIN_SERVING_TIME);
    lastResponsesAt = Durations.max(untilKill.minus(LAST_RESPONSES_TIME), servingTime);
  }

  void start() {
    timers.runAfter(
        servingTime.minus(sinceSignal()),
        () -> {
          log.accept(describe("placing nothing more"));
          server.startShutdown();
          timers.runEvery(CHECK_INTERVAL, this::checkComplete);
        });
  }

  private void checkComplete() {
    if (isCompleted) {
      return;
    }
    if (sinceSignal().compareTo(lastResponsesAt) >= 0 && server.pendingRequestCount() > 0) {
      log.accept(describe("failing what is pending"));
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
    log.accept(describe("shutdown complete"));
    timers.runAfter(CLOSE_DELAY, onComplete);
  }

  private boolean isLingering() {
    return sinceSignal().compareTo(servingTime.plus(MAX_LINGER)) < 0
        && sinceSignal().compareTo(lastResponsesAt) < 0
        && (server.undeliveredNoticeCount() > 0
            || server.hasUnsettledAttempts()
            || clients.hasPendingOutput());
  }

  private String describe(String step) {
    return step + " after " + sinceSignal().toMillis() + " ms; owed: " + server.owed();
  }

  private Duration sinceSignal() {
    return Duration.ofNanos(System.nanoTime() - signalNanos);
  }
}
