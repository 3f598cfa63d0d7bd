package fordridge.server.json;

import fordridge.eventloop.EventLoopTimers.Timer;
import fordridge.model.PlacementAttempt;
import java.util.HashMap;
import java.util.Map;

/**
 * The timer that guards each attempt, kept until the attempt has its outcome: a timer retains its
 * attempt and VM, and most attempts end long before their timeout. Confined to the event loop.
 */
final class AttemptTimers {
  private final Map<PlacementAttempt, Timer> timers = new HashMap<>();

  /** Adds the timer of an attempt that has none. */
  void add(PlacementAttempt attempt, Timer timer) {
    timers.put(attempt, timer);
  }

  /** Cancels the timer of an attempt that needs it no longer; no effect if there is none. */
  void cancel(PlacementAttempt attempt) {
    Timer timer = timers.remove(attempt);
    if (timer != null) {
      timer.cancel();
    }
  }
}
