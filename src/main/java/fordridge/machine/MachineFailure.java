package fordridge.machine;

/** From what it was concluded that nothing runs on a machine any more, or that it can't be told. */
public enum MachineFailure {
  /** The machine list says so. */
  LISTED_GONE,
  /** The machine list names another machine at its address, as it does once the first is gone. */
  ADDRESS_TAKEN,
  /** Nobody listens at its address: its process is gone. */
  REFUSES_CONNECTIONS,
  /** It is silent and no connection comes up; its VMs may run on. */
  UNREACHABLE
}
