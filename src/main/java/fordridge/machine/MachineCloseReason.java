package fordridge.machine;

/** Why a scheduler closed a connection to a machine, for logs and statistics. */
public enum MachineCloseReason {
  /** It did not come up in time. */
  CONNECT_TIMED_OUT,
  /** A request was withdrawn on it or a health check timed out, and nothing is pending on it. */
  RETIRED,
  /** It carried nothing for a while, and another is open. */
  IDLE,
  /** Another machine needed its place. */
  YIELDED,
  /** The machine list says that the machine is gone, or its process is known to be. */
  MACHINE_FAILED
}
