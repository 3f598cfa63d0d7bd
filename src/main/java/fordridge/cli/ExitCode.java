package fordridge.cli;

/** Exit codes of the commands. */
final class ExitCode {
  /** The command did what it was asked to. */
  static final int OK = 0;

  /** The command failed, or found what it looks for to be wrong. */
  static final int FAILED = 1;

  /** The arguments make no command. */
  static final int USAGE = 2;

  private ExitCode() {}
}
