package fordridge.model;

import java.util.ArrayList;
import java.util.List;

/**
 * Rendezvous hashing: the machines that rank first for a service, which are the same at each
 * scheduler without their talking to each other.
 */
public final class RendezvousHashing {
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private RendezvousHashing() {}

  /**
   * At most {@code limit} machines, the first of them first. One pass that keeps no more than
   * these, as it runs for each placement.
   */
  public static List<Machine> first(long service, List<Machine> machines, int limit) {
    List<Machine> first = new ArrayList<>(limit + 1);
    for (Machine machine : machines) {
      machine.hashRank = mix(service * GOLDEN_GAMMA + machine.id);
      int index = first.size();
      while (index > 0 && first.get(index - 1).hashRank < machine.hashRank) {
        index--;
      }
      if (index < limit) {
        first.add(index, machine);
        if (first.size() > limit) {
          first.remove(limit);
        }
      }
    }
    return first;
  }

  /**
   * The finisher of SplitMix64. A CRC would not do: it is linear, and gives each machine the same
   * neighbours for every service.
   */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
