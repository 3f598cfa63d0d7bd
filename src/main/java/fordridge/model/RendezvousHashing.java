package fordridge.model;

import java.util.ArrayList;
import java.util.List;

/**
 * Rendezvous hashing: ranks machines for a service in the same way at each scheduler, without
 * communication between schedulers.
 */
public final class RendezvousHashing {
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private RendezvousHashing() {}

  /**
   * Returns the {@code limit} highest ranked machines, highest first. Selects them in one pass
   * without sorting all machines, as it runs for each placement.
   */
  public static List<Machine> highestRanked(long service, List<Machine> machines, int limit) {
    List<Machine> ranked = new ArrayList<>(limit + 1);
    for (Machine machine : machines) {
      machine.hashRank = mix(service * GOLDEN_GAMMA + machine.id);
      int index = ranked.size();
      while (index > 0 && ranked.get(index - 1).hashRank < machine.hashRank) {
        index--;
      }
      if (index < limit) {
        ranked.add(index, machine);
        if (ranked.size() > limit) {
          ranked.remove(limit);
        }
      }
    }
    return ranked;
  }

  /**
   * The finalizer of SplitMix64. A CRC is not suitable: as it is linear, each machine would have
   * the same neighbours in the ranking of every service.
   */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
