package fordridge.machine;

/** Why the scheduler closed a connection to a machine. The names are written to the log. */
public enum MachineConnectionCloseReason {
  /** The connection was not established within the connect timeout. */
  CONNECT_TIMED_OUT,
  /**
   * A request on the connection was withdrawn or a health check timed out, and nothing is pending
   * on it any more.
   */
  RETIRED,
  /** The connection was unused for the idle timeout, and the machine has another one. */
  IDLE,
  /** The connection was idle, and the connection limit left none for another machine. */
  YIELDED,
  /** The machine is considered failed; see {@link MachineFailure}. */
  MACHINE_FAILED
}
