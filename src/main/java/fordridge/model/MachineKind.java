package fordridge.model;

/** A kind of machine by its name in the machine list, and its size; memory in the list's unit. */
public record MachineKind(String name, double cores, double memory) {
  /** What a machine of a kind without settings counts as: it fits no VM. */
  public static final MachineKind UNKNOWN = new MachineKind("", 0, 0);
}
