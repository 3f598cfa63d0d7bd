package fordridge.machine;

/** Why a machine is considered failed. */
public enum MachineFailure {
  /** The machine list shows the machine as gone. */
  LISTED_GONE,
  /**
   * The machine list names another machine at its address, which happens once the first is gone.
   */
  ADDRESS_TAKEN,
  /** No process listens at its address: its process has ended. */
  REFUSES_CONNECTIONS,
  /** It sends nothing and connection attempts time out; its VMs may still run. */
  UNREACHABLE
}
