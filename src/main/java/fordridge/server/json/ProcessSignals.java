package fordridge.server.json;

/**
 * Handles signals to the process. Java has no supported interface for it; without this one a SIGHUP
 * could not be acted on, nor a SIGTERM before the exit has begun.
 */
final class ProcessSignals {
  private ProcessSignals() {}

  /**
   * Runs the handler on a thread of its own for each signal of that name, as {@code HUP}.
   *
   * @return false if the process was started with the signal ignored, as by {@code nohup}: the JVM
   *     leaves it so, and the handler never runs
   */
  static boolean handle(String name, Runnable handler) {
    sun.misc.SignalHandler previous =
        sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> handler.run());
    return !previous.equals(sun.misc.SignalHandler.SIG_IGN);
  }
}
