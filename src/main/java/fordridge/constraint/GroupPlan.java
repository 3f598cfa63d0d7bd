package fordridge.constraint;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
  public static final Duration TIME_LIMIT = Duration.ofSeconds(1);

  private record Held(TopologyLevel per, String domain) {}

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
  public static GroupPlan compute(
      GroupFeasibility now, GroupFeasibility empty, List<GroupMember> parts, BooleanSupplier stop) {
    FeasibilityResult o = now.solve(stop);
    GroupFeasibility of = now;
    if (o.verdict() != FeasibilityResult.Verdict.FEASIBLE) {
      o = empty.solve(stop);
      of = empty;
    }
    if (o.verdict() == FeasibilityResult.Verdict.INFEASIBLE) {
      return new GroupPlan(List.of(), refusal(o, parts.size()));
    }
    if (o.verdict() == FeasibilityResult.Verdict.UNKNOWN) {
      return new GroupPlan(parts.stream().map(GroupMember::id).toList(), null);
    }
    GroupPlan plan = new GroupPlan(List.copyOf(o.machineByMember().keySet()), null);
    boolean scarce = of.fewestOpen() < AMPLE * parts.size();
    for (GroupMember p : parts) {
      String machine = o.machineByMember().get(p.id());
      TopologyLevel per = of.bound(p);
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
  public static GroupPlan unconstrained(List<String> order) {
    return new GroupPlan(List.copyOf(order), null);
  }

  private static String refusal(FeasibilityResult o, int size) {
    String rules =
        o.conflictingConstraints().stream()
            .map(r -> "rule '" + r.name() + "' (" + r.clause() + ")")
            .collect(Collectors.joining(" and "));
    return "no placing of all "
        + size
        + " meets "
        + (rules.isEmpty() ? "" : rules)
        + (o.isCapacityExceeded()
            ? (rules.isEmpty() ? "" : " and ") + "the size of the machines"
            : "");
  }

  /** Why the group can never be placed; empty where it may be. */
  public Optional<String> rejectionReason() {
    return Optional.ofNullable(refusal);
  }

  /** In which order its VMs are best placed. */
  public List<String> placementOrder() {
    return order;
  }

  /**
   * Whether its place near others is settled here, so that their not being there yet does not
   * count.
   */
  public boolean hasFixedDomain(String id) {
    return held.containsKey(id);
  }

  /** What speaks against a machine for a member: infinite where it must not go. */
  public double placementPenalty(String id, MachineTopology spot) {
    Held h = held.get(id);
    if (h != null && !ConstraintIndex.domain(spot, h.per).equals(h.domain)) {
      return Double.POSITIVE_INFINITY;
    }
    String machine = led.get(id);
    return machine == null || machine.equals(spot.name()) ? 0 : LED;
  }
}
