package fordridge.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Selections from lists of machines, which keep the order, and sums over them. */
public final class MachineLists {
  private MachineLists() {}

  /** The machines that match, or all of them if none does. */
  public static List<Machine> prefer(List<Machine> machines, Predicate<Machine> condition) {
    List<Machine> preferred = new ArrayList<>(machines);
    preferred.removeIf(condition.negate());
    return preferred.isEmpty() ? machines : preferred;
  }

  /** The machines that match. */
  public static List<Machine> filter(List<Machine> machines, Predicate<Machine> condition) {
    return machines.stream().filter(condition).toList();
  }

  /** The mean of a value, 0 for no machines. */
  public static double mean(List<Machine> machines, ToDoubleFunction<Machine> value) {
    return machines.stream().mapToDouble(value).average().orElse(0);
  }

  /** The smallest value, 0 for no machines. */
  public static double min(List<Machine> machines, ToDoubleFunction<Machine> value) {
    return machines.stream().mapToDouble(value).min().orElse(0);
  }

  /** The total headroom of the machines, in cores. */
  public static double totalHeadroom(List<Machine> machines) {
    return machines.stream().mapToDouble(machine -> machine.headroomCores).sum();
  }

  /** Draws a machine with probability in proportion to headroom; null for no machines. */
  public static Machine drawByHeadroom(List<Machine> machines, SeededRandom random) {
    double remaining = random.nextDouble() * totalHeadroom(machines);
    Machine drawn = null;
    for (int i = 0; i < machines.size() && remaining >= 0; i++) {
      drawn = machines.get(i);
      remaining -= drawn.headroomCores;
    }
    return drawn;
  }

  /**
   * The machines that have a free share above 0; sets the {@link Machine#headroomCores} of each
   * machine to that share of its cores.
   */
  public static List<Machine> withHeadroom(
      List<Machine> machines, ToDoubleFunction<Machine> freeShare) {
    List<Machine> fitting = new ArrayList<>();
    for (Machine machine : machines) {
      machine.headroomCores = freeShare.applyAsDouble(machine) * machine.cores;
      if (machine.headroomCores > 0) {
        fitting.add(machine);
      }
    }
    return fitting;
  }
}
