package fordridge.cli;

/** Exit codes of the commands. */
final class ExitCode {
  /** The command succeeded. */
  static final int OK = 0;

  /** The command failed, or a check that it ran found an error. */
  static final int FAILED = 1;

  /** The arguments are invalid. */
  static final int USAGE = 2;

  private ExitCode() {}
}
