package fordridge.constraint;

import java.util.Locale;

/** A level of the topology at which VMs are counted, from the smallest domain to the largest. */
public enum TopologyLevel {
  /** Each machine separately. */
  MACHINE,
  /** All machines of one cell of one zone. */
  CELL,
  /** All machines of one zone. */
  ZONE;

  /** The level's keyword in the constraint language. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
