package fordridge.server.json;

/**
 * Handles signals to the process. Java has no supported interface for this; without {@code
 * sun.misc.Signal} a SIGHUP could not be handled, and a SIGTERM only after the JVM has begun to
 * exit.
 */
final class ProcessSignals {
  private ProcessSignals() {}

  /**
   * Runs the handler on a separate thread for each signal of that name, such as {@code HUP}.
   *
   * @return false if the process was started with the signal ignored, as by {@code nohup}: the JVM
   *     leaves it ignored, and the handler never runs
   */
  static boolean handle(String name, Runnable handler) {
    sun.misc.SignalHandler previous =
        sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> handler.run());
    return !previous.equals(sun.misc.SignalHandler.SIG_IGN);
  }
}
