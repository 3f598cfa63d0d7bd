package fordridge.emulator.invariant;

import fordridge.constraint.ConstraintParser;
import fordridge.constraint.ConstraintSyntaxException;
import fordridge.constraint.PlacementConstraint;
import fordridge.constraint.PlacementConstraint.Scope;
import fordridge.constraint.TopologyLevel;
import fordridge.constraint.VmAttributes;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks tenants' constraints: each offer against what its scheduler had running, by plain counting
 * that shares no code with the scheduler.
 *
 * <p>A VM counts against a bound while it runs at its machine. For {@code near} it counts from its
 * offer until shortly after its end, as the scheduler may not have heard of the end yet. {@code
 * spread within} is not checked: it depends on which machines were open to the scheduler.
 */
final class ConstraintChecker {
  /** How late a scheduler may learn of a VM's end, in microseconds. */
  private static final long END_NOTICE_US = 1_500_000;

  /** How late a new set may be in force at every scheduler, in microseconds. */
  private static final long ROLLOUT_US = 700_000;

  /** A VM offered to a machine. */
  static final class Placement {
    private final MachineTopology machine;
    private final String tenant;
    private final String priorityClass;
    private final long service;
    boolean isStarted;
    boolean isOver;
    long overAtUs;

    /** The notice of its end was lost: its scheduler still takes it to run. */
    boolean isEndLost;

    Placement(MachineTopology machine, String tenant, String priorityClass, long service) {
      this.machine = machine;
      this.tenant = tenant;
      this.priorityClass = priorityClass;
      this.service = service;
    }

    private boolean isRunning() {
      return isStarted && !isOver;
    }

    private boolean isForgotten(long nowUs) {
      return isOver && !isEndLost && overAtUs < nowUs - END_NOTICE_US;
    }

    private boolean isInSameDomain(Placement other, TopologyLevel level) {
      return machine.domain(level).equals(other.machine.domain(level));
    }

    private boolean isCoveredBy(Scope scope) {
      return scope.covers(new VmAttributes(tenant, priorityClass, service));
    }
  }

  /** The set in force, after the one before it while that may still be in force somewhere. */
  private final Deque<List<PlacementConstraint>> sets = new ArrayDeque<>();

  private final Map<String, List<Placement>> placementsByScheduler = new HashMap<>();
  private long publishedAtUs;
  private int schedulerCount = 1;

  /** A set is published; for a while the one before it is as good. */
  void constraintsPublished(String text, int schedulers, long nowUs) {
    try {
      sets.addLast(ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED));
    } catch (ConstraintSyntaxException e) {
      throw new IllegalArgumentException("constraints in the recording: " + e.messages(), e);
    }
    if (sets.size() > 2) {
      sets.removeFirst();
    }
    schedulerCount = schedulers;
    publishedAtUs = nowUs;
  }

  boolean hasConstraints() {
    return !sets.isEmpty();
  }

  /**
   * Counts an offer from now on.
   *
   * @return the constraint that it breaks, if it breaks one in every set that may be in force
   */
  Optional<String> offered(String scheduler, Placement placement, long nowUs) {
    List<Placement> others =
        placementsByScheduler.computeIfAbsent(scheduler, name -> new ArrayList<>());
    others.removeIf(other -> other.isForgotten(nowUs));
    if (sets.size() == 2 && nowUs - publishedAtUs > ROLLOUT_US) {
      sets.removeFirst();
    }
    Optional<String> lastBroken = Optional.empty();
    boolean isAllowedBySomeSet = false;
    for (List<PlacementConstraint> constraints : sets) {
      Optional<String> broken = firstBroken(constraints, others, placement);
      lastBroken = broken.isPresent() ? broken : lastBroken;
      isAllowedBySomeSet |= broken.isEmpty();
    }
    others.add(placement);
    return isAllowedBySomeSet ? Optional.empty() : lastBroken;
  }

  private Optional<String> firstBroken(
      List<PlacementConstraint> constraints, List<Placement> others, Placement placement) {
    for (PlacementConstraint constraint : constraints) {
      if (constraint.isRequired() && !isKept(constraint, others, placement)) {
        return Optional.of("constraint '" + constraint.name() + "' (" + constraint.clause() + ")");
      }
    }
    return Optional.empty();
  }

  private boolean isKept(
      PlacementConstraint constraint, List<Placement> others, Placement placement) {
    if (constraint.clause() instanceof PlacementConstraint.AntiAffinity antiAffinity) {
      return isApart(constraint.scope(), antiAffinity, others, placement);
    }
    if (!placement.isCoveredBy(constraint.scope())) {
      return true;
    }
    if (constraint.clause() instanceof PlacementConstraint.MachineLabels labels) {
      return placement.machine.satisfies(labels.predicate());
    }
    if (constraint.clause() instanceof PlacementConstraint.SpreadLimit spread) {
      return isUnderLimit(constraint.scope(), spread, others, placement);
    }
    if (constraint.clause() instanceof PlacementConstraint.Affinity affinity) {
      return isNear(affinity, others, placement);
    }
    return true;
  }

  private static boolean isApart(
      Scope scope,
      PlacementConstraint.AntiAffinity antiAffinity,
      List<Placement> others,
      Placement placement) {
    for (Placement other : others) {
      boolean isConflict =
          (placement.isCoveredBy(scope) && other.isCoveredBy(antiAffinity.other()))
              || (placement.isCoveredBy(antiAffinity.other()) && other.isCoveredBy(scope));
      if (isConflict
          && other.isRunning()
          && other.isInSameDomain(placement, antiAffinity.level())) {
        return false;
      }
    }
    return true;
  }

  private boolean isUnderLimit(
      Scope scope,
      PlacementConstraint.SpreadLimit spread,
      List<Placement> others,
      Placement placement) {
    // An overall limit is divided among the schedulers, at least one for each.
    int limit =
        spread.clusterWide() ? Math.max(1, spread.limit() / schedulerCount) : spread.limit();
    long count =
        others.stream()
            .filter(Placement::isRunning)
            .filter(other -> other.isInSameDomain(placement, spread.level()))
            .filter(other -> other.isCoveredBy(scope))
            .filter(other -> !spread.perService() || other.service == placement.service)
            .count();
    return count < limit;
  }

  private static boolean isNear(
      PlacementConstraint.Affinity affinity, List<Placement> others, Placement placement) {
    boolean hasNeighbour =
        others.stream().anyMatch(other -> other.isRunning() && other.isCoveredBy(affinity.other()));
    return !hasNeighbour
        || others.stream()
            .anyMatch(
                other ->
                    other.isCoveredBy(affinity.other())
                        && other.isInSameDomain(placement, affinity.level()));
  }
}
