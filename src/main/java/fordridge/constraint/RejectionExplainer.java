package fordridge.constraint;

import fordridge.constraint.RejectionReason.Cause;
import java.util.ArrayList;
import java.util.List;

/** Explains to operators why a VM cannot, or preferably should not, be placed on a machine. */
// The texts of the reasons are part of the protocol: they are sent in replies to operators.
final class RejectionExplainer {
  private final MachineCatalog catalog;
  private final PlacementCounters counters;
  private final ConstraintEvaluator evaluator;
  private final VmConstraintCache constraintCache;

  RejectionExplainer(
      MachineCatalog catalog,
      PlacementCounters counters,
      ConstraintEvaluator evaluator,
      VmConstraintCache constraintCache) {
    this.catalog = catalog;
    this.counters = counters;
    this.evaluator = evaluator;
    this.constraintCache = constraintCache;
  }

  /**
   * Returns every reason: first those that concern the machine, then violations of the VM's own
   * constraints, then of reverse anti-affinities, each in the order of the set. Each constraint is
   * evaluated on its own.
   */
  List<RejectionReason> explain(VmAttributes vm, String machineName) {
    int machine = catalog.numberOf(machineName);
    List<RejectionReason> reasons = new ArrayList<>();
    if (!catalog.isListed(machine)) {
      reasons.add(
          RejectionReason.withoutConstraint(
              Cause.MACHINE_NOT_LISTED, "no machine '" + machineName + "' in the list"));
      return reasons;
    }
    if (catalog.isDraining(machine)) {
      reasons.add(
          RejectionReason.withoutConstraint(
              Cause.MACHINE_DRAINING, "it drains: nothing new goes there"));
    }
    ApplicableConstraints applicable = constraintCache.applicableConstraints(vm);
    addOwnViolations(applicable.own(), vm, machine, reasons);
    addReverseAntiAffinityViolations(applicable.reverseAntiAffinities(), machine, reasons);
    return reasons;
  }

  private void addOwnViolations(
      List<PlacementConstraint> constraints,
      VmAttributes vm,
      int machine,
      List<RejectionReason> reasons) {
    for (PlacementConstraint constraint : constraints) {
      if (evaluator.isViolated(constraint, vm, machine)) {
        String strength =
            constraint.isRequired()
                ? "required"
                : "preferred, weight " + Math.round(constraint.weight());
        reasons.add(
            RejectionReason.violated(
                constraint,
                strength + ": " + constraint.clause() + countOrLabels(constraint, vm, machine)));
      }
    }
  }

  private void addReverseAntiAffinityViolations(
      List<PlacementConstraint> constraints, int machine, List<RejectionReason> reasons) {
    for (PlacementConstraint constraint : constraints) {
      CounterKey key = ApplicableConstraints.scopeCounterKey(constraint);
      DomainCounter counter = counters.counter(key);
      if (counter.occupiedMachines().contains(machine)) {
        PlacementDomain domain = catalog.domainOf(machine, key.level());
        reasons.add(
            RejectionReason.violated(
                constraint,
                "required of others: "
                    + constraint.scope()
                    + " keeps apart from these, and "
                    + counter.count(domain)
                    + " of it run in "
                    + key.level()
                    + " "
                    + domain));
      }
    }
  }

  /**
   * Returns the count that the constraint was evaluated against or, for a label constraint, the
   * labels of the machine.
   */
  private String countOrLabels(PlacementConstraint constraint, VmAttributes vm, int machine) {
    List<CounterKey> keys = CounterKey.keysOf(constraint, vm.service());
    if (keys.isEmpty()) {
      MachineTopology topology = catalog.machine(machine);
      return " (it is kind "
          + topology.kind()
          + ", zone "
          + topology.zone()
          + ", cell "
          + topology.cell()
          + ")";
    }
    CounterKey key = keys.get(0);
    PlacementDomain domain = catalog.domainOf(machine, key.level());
    return " (" + counters.counter(key).count(domain) + " in " + key.level() + " " + domain + ")";
  }
}
