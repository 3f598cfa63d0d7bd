package fordridge.model;

/** A message from one scheduler to the others about a machine, identified by its short name. */
public sealed interface GossipMessage {
  /** Short name of the machine, see {@link GossipCodec#machineName}. */
  String machineName();

  /** The machine does not respond. */
  record Unreachable(String machineName) implements GossipMessage {}

  /** The machine rejects VMs of the tenant class with that index. */
  record TenantClassRejected(String machineName, int tenantClass) implements GossipMessage {}

  /** The machine reported its load, here as shares of its size. */
  record LoadReported(String machineName, double usedCores, double usedMemory)
      implements GossipMessage {}
}
