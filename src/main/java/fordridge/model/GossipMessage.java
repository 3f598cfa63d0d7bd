package fordridge.model;

/** What one scheduler tells the others about a machine, which is named by its short name. */
public sealed interface GossipMessage {
  /** The short name, see {@link GossipCodec#machineName}. */
  String machineName();

  /** The machine does not respond. */
  record Unreachable(String machineName) implements GossipMessage {}

  /** The machine rejects VMs of that tenant class, by its index. */
  record TenantClassRejected(String machineName, int tenantClass) implements GossipMessage {}

  /** The machine reported its load, as shares of its size. */
  record LoadReported(String machineName, double usedCores, double usedMemory)
      implements GossipMessage {}
}
