package fordridge.model;

import java.util.ArrayList;
import java.util.List;

/**
 * The machines that stand foremost for a service, by a hash that is the same wherever it is asked
 * for (rendezvous).
 */
public final class RendezvousHashing {
  private RendezvousHashing() {}

  /**
   * At most so many, the foremost first. Goes through them once and keeps no more: it is asked for
   * each placing.
   */
  public static List<Machine> of(long service, List<Machine> among, int most) {
    List<Machine> first = new ArrayList<>(most + 1);
    for (Machine m : among) {
      m.rank = mixed(service * 0x9E3779B97F4A7C15L + m.id);
      int at = first.size();
      while (at > 0 && first.get(at - 1).rank < m.rank) {
        at--;
      }
      if (at < most) {
        first.add(at, m);
        if (first.size() > most) {
          first.remove(most);
        }
      }
    }
    return first;
  }

  /**
   * SplitMix64's finisher: a CRC is linear, and would give each machine the same neighbours for
   * every service.
   */
  private static long mixed(long x) {
    long y = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
    y = (y ^ y >>> 27) * 0x94D049BB133111EBL;
    return y ^ y >>> 31;
  }
}
