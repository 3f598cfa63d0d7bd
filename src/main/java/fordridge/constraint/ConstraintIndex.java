package fordridge.constraint;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.roaringbitmap.RoaringBitmap;

/**
 * A constraint set indexed against one scheduler's VMs and the machines it knows: answers which
 * machines a VM may go to from bitmaps and counters that change as VMs come and go, so that the
 * cost of a placement does not grow with what runs.
 *
 * <p>A VM counts in its place from the instant its attempt is sent until it is known not to be
 * there; an attempt of unknown outcome keeps its place. Only this scheduler's VMs are counted: a
 * cluster-wide limit is kept by each scheduler keeping to its share.
 *
 * <p>Not thread-safe: all calls come from the scheduler's event loop. Free of I/O and clocks.
 */
public final class ConstraintIndex {
  /** How many improvable placements are of use to a reader. */
  public static final int MAX_IMPROVABLE_REPORTED = 100;

  private final List<PlacementConstraint> constraints;
  private final int schedulerCount;
  private final MachineCatalog catalog;
  private final PlacementCounters counters;
  private final PlacementTracker tracker;
  private final VmConstraintCache constraintCache;
  private final RejectionExplainer explainer;
  private final PlacementAuditor auditor;

  /**
   * An index without machines and VMs.
   *
   * @param schedulerCount how many schedulers share the cluster-wide limits
   * @throws UnsatisfiableConstraintsException if a cluster-wide limit is less than one for each
   *     scheduler
   */
  public ConstraintIndex(List<PlacementConstraint> constraints, int schedulerCount)
      throws UnsatisfiableConstraintsException {
    this(constraints, schedulerCount, new MachineCatalog(), Optional.empty());
  }

  private ConstraintIndex(
      List<PlacementConstraint> constraints,
      int schedulerCount,
      MachineCatalog catalog,
      Optional<PlacementTracker> previousTracker)
      throws UnsatisfiableConstraintsException {
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
      throws UnsatisfiableConstraintsException {
    if (constraint.isRequired()
        && constraint.clause() instanceof PlacementConstraint.SpreadLimit limit
        && limit.clusterWide()
        && limit.limit() < schedulerCount) {
      throw new UnsatisfiableConstraintsException(
          "rule '"
              + constraint.name()
              + "' (line "
              + constraint.line()
              + "): at most "
              + limit.limit()
              + " per "
              + limit.level()
              + " over all placers cannot be shared among "
              + schedulerCount
              + " placers that do not talk; allow at least "
              + schedulerCount
              + ", or say it of one placer's own VMs");
    }
  }

  /**
   * A new index of the same VMs and machines under another set. This index may be used on, but the
   * two share nothing.
   *
   * @throws UnsatisfiableConstraintsException as the constructor
   */
  public ConstraintIndex withConstraints(
      List<PlacementConstraint> newConstraints, int newSchedulerCount)
      throws UnsatisfiableConstraintsException {
    return new ConstraintIndex(
        newConstraints, newSchedulerCount, new MachineCatalog(catalog), Optional.of(tracker));
  }

  /** The set. */
  public List<PlacementConstraint> constraints() {
    return constraints;
  }

  /**
   * Takes over the whole machine list. VMs on machines that left stay counted there until they are
   * known to be gone; VMs on relabelled machines count in the machine's new domains. Counts
   * everything anew.
   */
  public void machineListReceived(Collection<MachineTopology> machines) {
    catalog.replaceListed(machines);
    constraintCache.clear();
    tracker.recount();
  }

  /**
   * Takes over which machines drain, by name. What runs there counts as ever; nothing new goes
   * there.
   */
  public void drainingMachinesChanged(Collection<String> names) {
    catalog.replaceDraining(names);
  }

  /**
   * An attempt was sent to a machine; ignored for a machine that was never listed.
   *
   * @param attempt identifies the attempt by its {@code equals}
   */
  public void attemptSent(Object attempt, VmAttributes vm, String machineName) {
    int machine = catalog.numberOf(machineName);
    if (machine != MachineCatalog.UNKNOWN_MACHINE) {
      tracker.add(attempt, vm, machine);
    }
  }

  /**
   * The VM of an attempt may run or not, and nobody waits for it any more: it keeps its place
   * against every limit, but draws no other VM near.
   */
  public void attemptOutcomeUnknown(Object attempt) {
    tracker.markOutcomeUnknown(attempt);
  }

  /** The VM of an attempt is known not to be there any more. */
  public void attemptEnded(Object attempt) {
    tracker.remove(attempt);
  }

  /** How many attempts hold a place. */
  public int attemptCount() {
    return tracker.attempts().size();
  }

  /** Whether all required constraints let the VM go to the machine. */
  public boolean isAllowed(VmAttributes vm, String machineName) {
    if (constraints.isEmpty()) {
      return true;
    }
    int machine = catalog.numberOf(machineName);
    return machine != MachineCatalog.UNKNOWN_MACHINE
        && constraintCache.allowedMachines(vm).contains(machine);
  }

  /** As {@link #isAllowed}, for a VM whose place near others is fixed by the plan of its group. */
  public boolean isAllowedIgnoringAffinity(VmAttributes vm, String machineName) {
    int machine = catalog.numberOf(machineName);
    return machine != MachineCatalog.UNKNOWN_MACHINE
        && constraintCache.allowedMachinesIgnoringAffinity(vm).contains(machine);
  }

  /** The summed weight of the preferences that a machine does not meet; 0 if it meets them all. */
  public double preferencePenalty(VmAttributes vm, String machineName) {
    return constraints.isEmpty()
        ? 0
        : constraintCache.preferencePenalty(vm, catalog.numberOf(machineName));
  }

  /** Whether any constraint concerns such VMs. */
  public boolean hasConstraintsFor(VmAttributes vm) {
    return !constraints.isEmpty() && !constraintCache.applicableConstraints(vm).isEmpty();
  }

  /**
   * A smallest set of required label constraints that no listed machine meets together, whatever
   * runs where; empty if there is such a machine, or no machine is listed.
   */
  public List<PlacementConstraint> findUnsatisfiableConstraints(VmAttributes vm) {
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
   * The question whether some VMs can run all at once beside what runs now. It is a copy, which may
   * be answered on another thread; later changes do not affect it.
   *
   * @param capacityByMachine asked once for each open machine, by name
   */
  public GroupFeasibility groupFeasibility(
      List<GroupMember> members, Function<String, MachineCapacity> capacityByMachine) {
    return new GroupFeasibility(groupProblem(members, capacityByMachine, false));
  }

  /**
   * As {@link #groupFeasibility}, for one VM of each of some classes: those of one class need not
   * keep apart from each other.
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
   * Every reason, required or preferred, that speaks against the machine; empty where the VM may go
   * there.
   */
  public List<RejectionReason> explainRejection(VmAttributes vm, String machineName) {
    return explainer.explain(vm, machineName);
  }

  /**
   * VMs that run where this set, or their machine's new labels, would not let them go, each with
   * the reasons. They are named, not stopped. The cost grows with what runs.
   */
  public Map<Object, List<RejectionReason>> findViolatingPlacements() {
    return auditor.findViolatingPlacements();
  }

  /**
   * VMs that run against preferences which a machine open to them would meet better now, each with
   * the preferences and one such machine. The cost grows with what runs.
   *
   * @param limit most VMs to return
   */
  public Map<Object, List<RejectionReason>> findImprovablePlacements(int limit) {
    return auditor.findImprovablePlacements(limit);
  }

  /** Runs questions while one attempt is left out of the counts; unknown attempts are ignored. */
  public void withoutAttempt(Object attempt, Runnable queries) {
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
