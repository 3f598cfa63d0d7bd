package fordridge.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Selections and sums over lists of machines; the order of machines is kept. */
public final class MachineLists {
  private MachineLists() {}

  /** Those that match, or all of them where none does. */
  public static List<Machine> prefer(List<Machine> machines, Predicate<Machine> condition) {
    List<Machine> preferred = new ArrayList<>(machines);
    preferred.removeIf(condition.negate());
    return preferred.isEmpty() ? machines : preferred;
  }

  /** Those that match. */
  public static List<Machine> filter(List<Machine> machines, Predicate<Machine> condition) {
    return machines.stream().filter(condition).toList();
  }

  /** The mean of a figure, 0 for no machines. */
  public static double mean(List<Machine> machines, ToDoubleFunction<Machine> figure) {
    return machines.stream().mapToDouble(figure).average().orElse(0);
  }

  /** The least of a figure, 0 for no machines. */
  public static double min(List<Machine> machines, ToDoubleFunction<Machine> figure) {
    return machines.stream().mapToDouble(figure).min().orElse(0);
  }

  /** Their headroom in all, in cores. */
  public static double totalHeadroom(List<Machine> machines) {
    return machines.stream().mapToDouble(machine -> machine.headroomCores).sum();
  }

  /** One of them, drawn by headroom; null for no machines. */
  public static Machine drawByHeadroom(List<Machine> machines, SeededRandom random) {
    double rest = random.next() * totalHeadroom(machines);
    Machine drawn = null;
    for (int i = 0; i < machines.size() && rest >= 0; i++) {
      drawn = machines.get(i);
      rest -= drawn.headroomCores;
    }
    return drawn;
  }

  /**
   * Those with a share of their size free; the share of each is kept as its {@link
   * Machine#headroomCores}.
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
