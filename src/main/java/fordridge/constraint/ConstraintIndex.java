package fordridge.constraint;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.roaringbitmap.RoaringBitmap;

/**
 * Answers which machines a constraint set allows for a VM.
 *
 * <p>The index holds the machine list and counts the VMs of one scheduler. Its bitmaps and counters
 * are updated as attempts start and end, so that the cost of a placement does not grow with the
 * number of running VMs.
 *
 * <p>A VM is counted on its machine from the time its attempt is sent until it is known not to run
 * there; an attempt of unknown outcome stays counted. Only the VMs of this scheduler are counted: a
 * cluster-wide limit is divided among the schedulers, and each enforces its share.
 *
 * <p>Not thread-safe: all calls come from the scheduler's event loop. The index does no I/O and
 * reads no clock.
 */
public final class ConstraintIndex {
  /** Maximum number of improvable placements in a report to an operator. */
  public static final int MAX_REPORTED_IMPROVABLE_PLACEMENTS = 100;

  private final List<PlacementConstraint> constraints;
  private final int schedulerCount;
  private final MachineCatalog catalog;
  private final PlacementCounters counters;
  private final PlacementTracker tracker;
  private final VmConstraintCache constraintCache;
  private final RejectionExplainer explainer;
  private final PlacementAuditor auditor;

  /**
   * Creates an index without machines and VMs.
   *
   * @param schedulerCount the number of schedulers that share the cluster-wide limits
   * @throws IndivisibleLimitException if a required cluster-wide limit is less than one VM per
   *     scheduler
   */
  public ConstraintIndex(List<PlacementConstraint> constraints, int schedulerCount)
      throws IndivisibleLimitException {
    this(constraints, schedulerCount, new MachineCatalog(), Optional.empty());
  }

  private ConstraintIndex(
      List<PlacementConstraint> constraints,
      int schedulerCount,
      MachineCatalog catalog,
      Optional<PlacementTracker> previousTracker)
      throws IndivisibleLimitException {
    for (PlacementConstraint constraint : constraints) {
      checkLimitCanBeShared(constraint, schedulerCount);
    }
    this.constraints = List.copyOf(constraints);
    this.schedulerCount = schedulerCount;
    this.catalog = catalog;
    counters = new PlacementCounters(this.constraints, catalog);
    tracker =
        previousTracker
            .map(other -> new PlacementTracker(counters, other))
            .orElseGet(() -> new PlacementTracker(counters));
    ConstraintEvaluator evaluator = new ConstraintEvaluator(catalog, counters, schedulerCount);
    constraintCache = new VmConstraintCache(this.constraints, catalog, counters, evaluator);
    explainer = new RejectionExplainer(catalog, counters, evaluator, constraintCache);
    auditor = new PlacementAuditor(catalog, tracker, constraintCache, explainer);
  }

  private static void checkLimitCanBeShared(PlacementConstraint constraint, int schedulerCount)
      throws IndivisibleLimitException {
    if (constraint.isRequired()
        && constraint.clause() instanceof PlacementConstraint.SpreadLimit limit
        && limit.clusterWide()
        && limit.limit() < schedulerCount) {
      throw new IndivisibleLimitException(
          "rule '"
              + constraint.name()
              + "' (line "
              + constraint.line()
              + "): the limit of "
              + limit.limit()
              + " per "
              + limit.level()
              + " over all placers cannot be divided among "
              + schedulerCount
              + " placers, which enforce their shares independently; set a limit of at least "
              + schedulerCount
              + ", or remove 'overall' to limit each placer separately");
    }
  }

  /**
   * Creates an index of the same VMs and machines for another constraint set. This index remains
   * usable; the two share no mutable state.
   *
   * @throws IndivisibleLimitException under the same condition as the constructor
   */
  public ConstraintIndex withConstraints(
      List<PlacementConstraint> newConstraints, int newSchedulerCount)
      throws IndivisibleLimitException {
    return new ConstraintIndex(
        newConstraints, newSchedulerCount, new MachineCatalog(catalog), Optional.of(tracker));
  }

  /** Returns the constraints of the set, in order. */
  public List<PlacementConstraint> constraints() {
    return constraints;
  }

  /**
   * Replaces the machine list and rebuilds all counts. VMs on machines that left the list stay
   * counted there until they are known to have ended; VMs on relabelled machines are counted in the
   * new domains of their machine.
   */
  public void machineListReceived(Collection<MachineTopology> machines) {
    catalog.replaceListed(machines);
    constraintCache.clear();
    tracker.recount();
  }

  /**
   * Replaces the set of draining machines, given by name. VMs on a draining machine stay counted;
   * no new VM is allowed on it.
   */
  public void drainingMachinesChanged(Collection<String> names) {
    catalog.replaceDraining(names);
  }

  /**
   * Records that an attempt was sent to a machine; ignored for a machine that was never listed.
   *
   * @param attempt the identity of the attempt, compared with {@code equals}
   */
  public void attemptSent(Object attempt, VmAttributes vm, String machineName) {
    int machine = catalog.numberOf(machineName);
    if (machine != MachineCatalog.UNKNOWN_MACHINE) {
      tracker.add(attempt, vm, machine);
    }
  }

  /**
   * Records that the outcome of an attempt is unknown and no longer awaited: its VM may or may not
   * run. It stays counted for anti-affinities and spreads, but an affinity treats it as a target
   * only while there is no other target.
   */
  public void attemptOutcomeUnknown(Object attempt) {
    tracker.markOutcomeUnknown(attempt);
  }

  /** Records that the VM of an attempt is known not to run on its machine any more. */
  public void attemptEnded(Object attempt) {
    tracker.remove(attempt);
  }

  /** Returns the number of tracked attempts. */
  public int attemptCount() {
    return tracker.attempts().size();
  }

  /** Whether all required constraints allow the VM on the machine. */
  public boolean isAllowed(VmAttributes vm, String machineName) {
    if (constraints.isEmpty()) {
      return true;
    }
    int machine = catalog.numberOf(machineName);
    return machine != MachineCatalog.UNKNOWN_MACHINE
        && constraintCache.allowedMachines(vm).contains(machine);
  }

  /**
   * Same as {@link #isAllowed} without affinities, for a VM whose domain is fixed by the plan of
   * its group.
   */
  public boolean isAllowedIgnoringAffinity(VmAttributes vm, String machineName) {
    int machine = catalog.numberOf(machineName);
    return machine != MachineCatalog.UNKNOWN_MACHINE
        && constraintCache.allowedMachinesIgnoringAffinity(vm).contains(machine);
  }

  /**
   * Returns the total weight of the preferences that a machine does not satisfy; 0 if it satisfies
   * all of them.
   */
  public double preferencePenalty(VmAttributes vm, String machineName) {
    return constraints.isEmpty()
        ? 0
        : constraintCache.preferencePenalty(vm, catalog.numberOf(machineName));
  }

  /** Whether any constraint applies to VMs with these attributes. */
  public boolean hasConstraintsFor(VmAttributes vm) {
    return !constraints.isEmpty() && !constraintCache.applicableConstraints(vm).isEmpty();
  }

  /**
   * Returns a minimal set of required label constraints that no listed machine satisfies together,
   * regardless of what runs; empty if some machine satisfies all of them, or if no machine is
   * listed.
   */
  public List<PlacementConstraint> findConflictingLabelConstraints(VmAttributes vm) {
    if (constraints.isEmpty() || catalog.listedMachines().isEmpty()) {
      return List.of();
    }
    List<PlacementConstraint> conflicting =
        constraintCache.applicableConstraints(vm).own().stream()
            .filter(PlacementConstraint::isRequired)
            .filter(constraint -> constraint.clause() instanceof PlacementConstraint.MachineLabels)
            .toList();
    if (isSatisfiedBySomeMachine(conflicting)) {
      return List.of();
    }
    for (PlacementConstraint candidate : List.copyOf(conflicting)) {
      List<PlacementConstraint> others = new ArrayList<>(conflicting);
      others.remove(candidate);
      if (!isSatisfiedBySomeMachine(others)) {
        conflicting = others;
      }
    }
    return conflicting;
  }

  private boolean isSatisfiedBySomeMachine(List<PlacementConstraint> labelConstraints) {
    RoaringBitmap machines = catalog.listedMachines().clone();
    for (PlacementConstraint constraint : labelConstraints) {
      PlacementConstraint.MachineLabels labels =
          (PlacementConstraint.MachineLabels) constraint.clause();
      machines.and(catalog.machinesMatching(labels.predicate()));
    }
    return !machines.isEmpty();
  }

  /**
   * Creates the problem of running all given VMs at the same time, in addition to what runs now. It
   * is a snapshot: it may be solved on another thread, and later changes do not affect it.
   *
   * @param capacityByMachine called once for each schedulable machine, with its name
   */
  public GroupFeasibility groupFeasibility(
      List<GroupMember> members, Function<String, MachineCapacity> capacityByMachine) {
    return new GroupFeasibility(groupProblem(members, capacityByMachine, false));
  }

  /**
   * Same as {@link #groupFeasibility} for one VM of each class. An anti-affinity does not apply
   * between two members that its scope and its other scope both cover.
   */
  GroupFeasibility classFeasibility(
      List<GroupMember> classes, Function<String, MachineCapacity> capacityByMachine) {
    return new GroupFeasibility(groupProblem(classes, capacityByMachine, true));
  }

  private GroupProblem groupProblem(
      List<GroupMember> members,
      Function<String, MachineCapacity> capacityByMachine,
      boolean membersRepresentClasses) {
    List<MachineTopology> machines = new ArrayList<>();
    catalog.schedulableMachines().forEach((int number) -> machines.add(catalog.machine(number)));
    List<MachineCapacity> capacities =
        machines.stream().map(machine -> capacityByMachine.apply(machine.name())).toList();
    return new GroupProblem(
        machines,
        capacities,
        members,
        GroupConstraints.capture(constraints, members, counters, schedulerCount),
        membersRepresentClasses);
  }

  /**
   * Returns every reason, required or preferred, against placing the VM on the machine; empty if
   * there is none.
   */
  public List<RejectionReason> explainRejection(VmAttributes vm, String machineName) {
    return explainer.explain(vm, machineName);
  }

  /**
   * Returns the attempts whose machine is forbidden by a required constraint of this set or is no
   * longer listed, each with the reasons. They are reported, not stopped. The cost grows with the
   * number of running VMs.
   */
  public Map<Object, List<RejectionReason>> findViolatingPlacements() {
    return auditor.findViolatingPlacements();
  }

  /**
   * Returns attempts that violate preferences which another allowed machine would satisfy better,
   * each with these preferences and one such machine. The cost grows with the number of running
   * VMs.
   *
   * @param limit the maximum number of attempts to return
   */
  public Map<Object, List<RejectionReason>> findImprovablePlacements(int limit) {
    return auditor.findImprovablePlacements(limit);
  }

  /**
   * Runs queries while one attempt is excluded from the counts; has no effect on the counts if the
   * attempt is not tracked.
   */
  public void runWithoutAttempt(Object attempt, Runnable queries) {
    tracker.runWithout(attempt, queries);
  }

  @Override
  public String toString() {
    return constraints.size()
        + " constraints, "
        + catalog.listedMachines().getCardinality()
        + " machines, "
        + tracker.attempts().size()
        + " attempts";
  }
}
