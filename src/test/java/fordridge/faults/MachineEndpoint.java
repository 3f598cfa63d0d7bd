package fordridge.faults;

/** What the machine list publishes of a machine. */
interface MachineEndpoint {
  /** The machine's id in the list. */
  String id();

  /** The machine's kind in the list. */
  String kind();

  /** The address that the machine listens at, as {@code HOST:PORT}. */
  String hostAndPort();
}
