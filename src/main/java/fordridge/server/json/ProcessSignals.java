package fordridge.server.json;

/**
 * Handles signals to the process. Java has no supported interface for it; without this one a SIGHUP
 * could not be acted on, nor a SIGTERM before the exit has begun.
 */
final class ProcessSignals {
  private ProcessSignals() {}

  /** Runs the handler on a thread of its own for each signal of that name, as {@code HUP}. */
  static void handle(String name, Runnable handler) {
    sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> handler.run());
  }
}
