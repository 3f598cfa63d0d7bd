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
 * Checks each offer against the tenants' constraints. It counts the VMs that the offering scheduler
 * had running and shares no code with the scheduler's own evaluation of constraints.
 *
 * <p>A VM counts towards {@code apart} and {@code spread at most} while it runs on its machine. A
 * {@code near} constraint applies while a matching VM runs; a matching VM satisfies it from its
 * offer until shortly after its end, as the scheduler may not have been notified of the end yet.
 * {@code spread within} is not checked, because it depends on which machines were available to the
 * scheduler.
 */
final class ConstraintChecker {
  /** The longest delay until a scheduler learns of a VM's end, in microseconds. */
  private static final long END_NOTIFICATION_DELAY_US = 1_500_000;

  /**
   * The longest delay until a published set of constraints is in force at every scheduler, in
   * microseconds.
   */
  private static final long ROLLOUT_DELAY_US = 700_000;

  /** A VM offered to a machine. */
  static final class Placement {
    private final ObservedTopology machine;
    private final String tenant;
    private final String priorityClass;
    private final long service;
    boolean isStarted;
    boolean hasEnded;
    long endedAtUs;

    /**
     * Whether the message about the VM's end was lost, so that its scheduler still considers it
     * running.
     */
    boolean isEndNotificationLost;

    Placement(ObservedTopology machine, String tenant, String priorityClass, long service) {
      this.machine = machine;
      this.tenant = tenant;
      this.priorityClass = priorityClass;
      this.service = service;
    }

    private boolean isRunning() {
      return isStarted && !hasEnded;
    }

    private boolean isEndKnownToScheduler(long nowUs) {
      return hasEnded && !isEndNotificationLost && endedAtUs < nowUs - END_NOTIFICATION_DELAY_US;
    }

    private boolean isInSameDomain(Placement other, TopologyLevel level) {
      return machine.domain(level).equals(other.machine.domain(level));
    }

    private boolean isCoveredBy(Scope scope) {
      return scope.covers(new VmAttributes(tenant, priorityClass, service));
    }
  }

  /**
   * The latest published set of constraints, preceded by the previous set while a scheduler may
   * still use that one.
   */
  private final Deque<List<PlacementConstraint>> constraintSets = new ArrayDeque<>();

  private final Map<String, List<Placement>> placementsByScheduler = new HashMap<>();
  private long publishedAtUs;
  private int schedulerCount = 1;

  /**
   * Adds a published set of constraints; the previous set stays acceptable for {@link
   * #ROLLOUT_DELAY_US}.
   */
  void constraintsPublished(String text, int newSchedulerCount, long nowUs) {
    try {
      constraintSets.addLast(ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED));
    } catch (ConstraintSyntaxException e) {
      throw new IllegalArgumentException(
          "invalid constraints in the recording: " + e.messages(), e);
    }
    if (constraintSets.size() > 2) {
      constraintSets.removeFirst();
    }
    schedulerCount = newSchedulerCount;
    publishedAtUs = nowUs;
  }

  boolean hasConstraints() {
    return !constraintSets.isEmpty();
  }

  /**
   * Checks an offer and adds its VM to those of the scheduler.
   *
   * @return a violated constraint if the offer violates one in every set that may be in force, else
   *     empty
   */
  Optional<String> checkOffer(String scheduler, Placement placement, long nowUs) {
    List<Placement> others =
        placementsByScheduler.computeIfAbsent(scheduler, name -> new ArrayList<>());
    others.removeIf(other -> other.isEndKnownToScheduler(nowUs));
    if (constraintSets.size() == 2 && nowUs - publishedAtUs > ROLLOUT_DELAY_US) {
      constraintSets.removeFirst();
    }
    Optional<String> lastViolated = Optional.empty();
    boolean isAllowedBySomeSet = false;
    for (List<PlacementConstraint> constraints : constraintSets) {
      Optional<String> violated = firstViolated(constraints, others, placement);
      lastViolated = violated.isPresent() ? violated : lastViolated;
      isAllowedBySomeSet |= violated.isEmpty();
    }
    others.add(placement);
    return isAllowedBySomeSet ? Optional.empty() : lastViolated;
  }

  private Optional<String> firstViolated(
      List<PlacementConstraint> constraints, List<Placement> others, Placement placement) {
    for (PlacementConstraint constraint : constraints) {
      if (constraint.isRequired() && !isSatisfied(constraint, others, placement)) {
        return Optional.of("constraint '" + constraint.name() + "' (" + constraint.clause() + ")");
      }
    }
    return Optional.empty();
  }

  private boolean isSatisfied(
      PlacementConstraint constraint, List<Placement> others, Placement placement) {
    if (constraint.clause() instanceof PlacementConstraint.AntiAffinity antiAffinity) {
      return satisfiesAntiAffinity(constraint.scope(), antiAffinity, others, placement);
    }
    if (!placement.isCoveredBy(constraint.scope())) {
      return true;
    }
    if (constraint.clause() instanceof PlacementConstraint.MachineLabels labels) {
      return placement.machine.satisfies(labels.predicate());
    }
    if (constraint.clause() instanceof PlacementConstraint.SpreadLimit spread) {
      return satisfiesSpreadLimit(constraint.scope(), spread, others, placement);
    }
    if (constraint.clause() instanceof PlacementConstraint.Affinity affinity) {
      return satisfiesAffinity(affinity, others, placement);
    }
    return true;
  }

  private static boolean satisfiesAntiAffinity(
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

  private boolean satisfiesSpreadLimit(
      Scope scope,
      PlacementConstraint.SpreadLimit spread,
      List<Placement> others,
      Placement placement) {
    // A cluster-wide limit is divided among the schedulers; each may run at least one VM.
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

  private static boolean satisfiesAffinity(
      PlacementConstraint.Affinity affinity, List<Placement> others, Placement placement) {
    boolean hasRunningPeer =
        others.stream().anyMatch(other -> other.isRunning() && other.isCoveredBy(affinity.other()));
    return !hasRunningPeer
        || others.stream()
            .anyMatch(
                other ->
                    other.isCoveredBy(affinity.other())
                        && other.isInSameDomain(placement, affinity.level()));
  }
}
