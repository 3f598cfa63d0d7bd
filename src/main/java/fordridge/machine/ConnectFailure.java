package fordridge.machine;

/** Why a connection attempt to a machine failed, which determines what it proves. */
public enum ConnectFailure {
  /** No process listens at the address: the machine's process has ended or has not started yet. */
  REFUSED,
  /** The attempt timed out, or there was no route to the machine. */
  UNREACHABLE,
  /**
   * The scheduler's own host could not open a connection, because it had no file descriptor, port,
   * buffer or network at that moment. This says nothing about the machine.
   */
  LOCAL
}
