package fordridge.machine;

/** Why a connection to a machine did not come up, and so what that proves. */
public enum ConnectFailure {
  /** Nobody listens at the address: the machine's process is gone, or not there yet. */
  REFUSED,
  /** Nothing answered in time, or no route led to the machine. */
  UNREACHABLE,
  /**
   * The scheduler's own host could not open a connection (no descriptor, port, buffer or network at
   * that moment): it says nothing of the machine.
   */
  LOCAL
}
