package fordridge.constraint;

import fordridge.constraint.GroupFeasibility.Outcome;
import fordridge.constraint.GroupFeasibility.Part;
import fordridge.constraint.GroupFeasibility.Verdict;
import fordridge.constraint.PlacementConstraint.Domain;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * What is settled for VMs that go together before the first is placed: that they never could, or
 * where each must keep to so that the last still finds its place. Free of I/O and clocks.
 *
 * <p>The module goes on choosing machines. A VM that must be near another of its group, or that
 * another must be near, is held to the domain that was found for it; where few machines are open to
 * a member, all are led to the ones that were found, as a choice made for one could take the last
 * place of another.
 */
public final class GroupPlan {
  /** Leads to the machine that was found before any preference of a customer. */
  private static final double LED = 1e6;

  /**
   * Machines open to a member, as a multiple of the group's size, under which all of the group are
   * led.
   */
  private static final int AMPLE = 4;

  /** Longest that it is looked into. */
  public static final Duration THINKS = Duration.ofSeconds(1);

  private record Held(Domain per, String domain) {}

  private final Map<String, Held> held = new HashMap<>();
  private final Map<String, String> led = new HashMap<>();
  private final List<String> order;
  private final String refusal;

  private GroupPlan(List<String> order, String refusal) {
    this.order = order;
    this.refusal = refusal;
  }

  /**
   * Settles it, by the room that there is now, else by the whole of each machine, as room may come
   * free in time; only what not even empty machines could take is refused.
   */
  public static GroupPlan of(
      GroupFeasibility now, GroupFeasibility empty, List<Part> parts, BooleanSupplier stop) {
    Outcome o = now.solve(stop);
    GroupFeasibility of = now;
    if (o.verdict() != Verdict.YES) {
      o = empty.solve(stop);
      of = empty;
    }
    if (o.verdict() == Verdict.NO) {
      return new GroupPlan(List.of(), refusal(o, parts.size()));
    }
    if (o.verdict() == Verdict.NOT_KNOWN) {
      return new GroupPlan(parts.stream().map(Part::id).toList(), null);
    }
    GroupPlan plan = new GroupPlan(List.copyOf(o.machines().keySet()), null);
    boolean scarce = of.fewestOpen() < AMPLE * parts.size();
    for (Part p : parts) {
      String machine = o.machines().get(p.id());
      Domain per = of.bound(p);
      if (per != null) {
        plan.held.put(p.id(), new Held(per, ConstraintIndex.domain(of.spot(machine), per)));
      }
      if (scarce) {
        plan.led.put(p.id(), machine);
      }
    }
    return plan;
  }

  /** Nothing speaks of these. */
  public static GroupPlan free(List<String> order) {
    return new GroupPlan(List.copyOf(order), null);
  }

  private static String refusal(Outcome o, int size) {
    String rules =
        o.rules().stream()
            .map(r -> "rule '" + r.name() + "' (" + r.clause() + ")")
            .collect(Collectors.joining(" and "));
    return "no placing of all "
        + size
        + " meets "
        + (rules.isEmpty() ? "" : rules)
        + (o.room() ? (rules.isEmpty() ? "" : " and ") + "the size of the machines" : "");
  }

  /** Why the group can never be placed, or null. */
  public String refusal() {
    return refusal;
  }

  /** In which order its VMs are best placed. */
  public List<String> order() {
    return order;
  }

  /**
   * Whether its place near others is settled here, so that their not being there yet does not
   * count.
   */
  public boolean settlesNear(String id) {
    return held.containsKey(id);
  }

  /** What speaks against a machine for a member: infinite where it must not go. */
  public double constraintPenalty(String id, ConstraintIndex.MachineTopology spot) {
    Held h = held.get(id);
    if (h != null && !ConstraintIndex.domain(spot, h.per).equals(h.domain)) {
      return Double.POSITIVE_INFINITY;
    }
    String machine = led.get(id);
    return machine == null || machine.equals(spot.name()) ? 0 : LED;
  }
}
