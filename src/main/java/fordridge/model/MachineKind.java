package fordridge.model;

/** A kind of machine: its name in the machine list and its size, with memory in the list's unit. */
public record MachineKind(String name, double cores, double memory) {
  /** The kind of machines whose kind is not in the settings; no VM fits on them. */
  public static final MachineKind UNKNOWN = new MachineKind("", 0, 0);
}
