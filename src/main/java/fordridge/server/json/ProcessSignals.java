package fordridge.server.json;

/** Handles signals to the process, for which Java has no supported interface. */
@SuppressWarnings("sunapi") // No other way to act on SIGHUP, or on SIGTERM before the exit.
final class ProcessSignals {
  private ProcessSignals() {}

  /** Runs the handler on a thread of its own for each signal of that name, as {@code HUP}. */
  static void handle(String name, Runnable handler) {
    sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> handler.run());
  }
}
