package fordridge.server.grpc;

import fordridge.constraint.ConstraintIndex;
import fordridge.constraint.IndivisibleLimitException;
import fordridge.constraint.MachineTopology;
import fordridge.constraint.PlacementConstraint;
import fordridge.constraint.RejectionReason;
import fordridge.constraint.VmAttributes;
import fordridge.discovery.MachineListSource;
import fordridge.model.Machine;
import fordridge.model.Machine.Lifecycle;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import fordridge.v1.Want;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The tenants' constraints in force at one instance, and the machines and attempts to which they
 * apply. Confined to the event loop.
 */
final class ConstraintState {
  private final InstanceContext context;
  private final Map<String, MachineTopology> topology = new LinkedHashMap<>();
  private final Set<String> drainingMachines = new LinkedHashSet<>();
  private ConstraintIndex index;
  private int version;

  ConstraintState(InstanceContext context) {
    this.context = context;
    try {
      index = new ConstraintIndex(List.of(), context.settings().totalSchedulers());
    } catch (IndivisibleLimitException e) {
      throw new IllegalStateException("an empty set of constraints must be satisfiable", e);
    }
  }

  /** The attributes of a VM that constraints select by. */
  static VmAttributes attributesOf(Vm vm) {
    return new VmAttributes(vm.tenant, vm.priorityClass, vm.service);
  }

  ConstraintIndex index() {
    return index;
  }

  int version() {
    return version;
  }

  /** Names of the machines in the current machine list. */
  List<String> machineNames() {
    return List.copyOf(topology.keySet());
  }

  /**
   * Applies a new set of constraints to future placements, and logs running VMs that violate it.
   */
  void constraintsReceived(List<PlacementConstraint> constraints, int newVersion) {
    try {
      index = index.withConstraints(constraints, context.settings().totalSchedulers());
    } catch (IndivisibleLimitException e) {
      context
          .log
          .error()
          .addKeyValue("version", newVersion)
          .addKeyValue("reason", e.getMessage())
          .log("constraints rejected, the previous ones stay in force");
      return;
    }
    version = newVersion;
    context.groups.discardPlans();
    index
        .findViolatingPlacements()
        .forEach(
            (attempt, reasons) ->
                logViolation((PlacementAttempt) attempt, constraintName(reasons.get(0))));
    context
        .log
        .info()
        .addKeyValue("version", newVersion)
        .addKeyValue("count", constraints.size())
        .log("constraints applied");
    context.scheduler.capacityMayHaveChanged();
  }

  private void logViolation(PlacementAttempt attempt, String constraint) {
    context
        .log
        .warn()
        .addKeyValue("vm", attempt.vm.id)
        .addKeyValue("machine", context.machines.nameOf(attempt.machine))
        .addKeyValue("version", version)
        .addKeyValue("constraint", constraint)
        .log("running vm violates a constraint");
  }

  private static String constraintName(RejectionReason reason) {
    return reason.constraint().map(PlacementConstraint::name).orElse(reason.description());
  }

  /**
   * Updates the index if machines were added, removed or relabelled, or if the set of draining ones
   * changed; other lists are skipped, as the index recounts all attempts on each update.
   */
  void machineListReceived(MachineListSource.Update list) {
    if (updateTopology(list)) {
      index.machineListReceived(topology.values());
      index.drainingMachinesChanged(drainingMachines);
      context.groups.discardPlans();
    }
  }

  private boolean updateTopology(MachineListSource.Update list) {
    boolean hasChanged = false;
    Set<String> listed = new HashSet<>();
    for (MachineListSource.Entry entry : list.entries()) {
      listed.add(entry.name());
      hasChanged |= updateLabels(entry);
      hasChanged |= updateDraining(entry);
    }
    return (list.isSnapshot() && topology.keySet().removeIf(name -> !listed.contains(name)))
        || hasChanged;
  }

  private boolean updateLabels(MachineListSource.Entry entry) {
    if (entry.lifecycle() == Lifecycle.GONE) {
      return topology.remove(entry.name()) != null;
    }
    MachineTopology labels =
        new MachineTopology(entry.name(), entry.kind(), entry.zone(), entry.cell());
    return !Objects.equals(topology.put(entry.name(), labels), labels);
  }

  private boolean updateDraining(MachineListSource.Entry entry) {
    return entry.lifecycle() == Lifecycle.DRAINING
        ? drainingMachines.add(entry.name())
        : drainingMachines.remove(entry.name());
  }

  /**
   * The penalty of placing the VM on the machine: infinite if a constraint or the plan of the VM's
   * group forbids it.
   */
  double penalty(Vm vm, Machine machine) {
    if (index.constraints().isEmpty()) {
      return 0;
    }
    String name = context.machines.nameOf(machine);
    VmAttributes attributes = attributesOf(vm);
    boolean isAllowed =
        context.groups.hasPlannedDomain(vm)
            ? index.isAllowedIgnoringAffinity(attributes, name)
            : index.isAllowed(attributes, name);
    if (!isAllowed) {
      return Double.POSITIVE_INFINITY;
    }
    return context.groups.planPenalty(vm, topology.get(name))
        + index.preferencePenalty(attributes, name);
  }

  /** Whether any constraint applies to the VM. */
  boolean isConstrained(Vm vm) {
    return index.hasConstraintsFor(attributesOf(vm));
  }

  /**
   * The constraints that make the request unsatisfiable, as no listed machine meets all of them;
   * empty if some machine does.
   */
  Optional<String> unsatisfiableReason(Want request) {
    List<PlacementConstraint> conflicting =
        index.findConflictingLabelConstraints(
            new VmAttributes(request.getCustomer(), request.getFlavour(), request.getService()));
    if (conflicting.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        "no machine meets "
            + conflicting.stream()
                .map(constraint -> "rule '" + constraint.name() + "' (" + constraint.clause() + ")")
                .collect(Collectors.joining(" and ")));
  }

  /** Counts an attempt on its machine from now on. */
  void attemptSent(PlacementAttempt attempt) {
    String machine = context.machines.nameOf(attempt.machine);
    index.attemptSent(attempt, attributesOf(attempt.vm), machine);
  }

  /** Stops counting an attempt, which is known not to run any more. */
  void attemptReleased(PlacementAttempt attempt) {
    index.attemptEnded(attempt);
  }

  /** Keeps counting an attempt that ended but may still run, until it is released. */
  void attemptOutcomeUnknown(PlacementAttempt attempt) {
    index.attemptOutcomeUnknown(attempt);
  }
}
