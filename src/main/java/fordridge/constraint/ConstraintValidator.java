package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Affinity;
import fordridge.constraint.PlacementConstraint.AntiAffinity;
import fordridge.constraint.PlacementConstraint.Scope;
import fordridge.constraint.PlacementConstraint.SpreadLimit;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Finds constraints that no placement can satisfy, before any VM is rejected because of them.
 *
 * <p>The validator checks one sample VM of each class that the set distinguishes, and reports
 * minimal sets of conflicting constraints.
 *
 * <p>Counts alone never make the first VM impossible to place: an affinity is satisfied while none
 * of its targets run, and every spread has room for one VM. The conflicts that can be found are
 * therefore: label constraints that no machine satisfies together; a VM with an affinity and an
 * anti-affinity to the same VMs, which has no allowed machine once one of those runs; and classes
 * of which one VM each can never run at the same time.
 */
public final class ConstraintValidator {
  /** Maximum time for the validation of one set. */
  public static final Duration TIME_LIMIT = Duration.ofSeconds(1);

  /**
   * Maximum number of classes that are checked together; further classes are checked only
   * individually.
   */
  private static final int MAX_CLASSES_CHECKED_TOGETHER = 200;

  private static final MachineCapacity UNUSED_CAPACITY = new MachineCapacity(1, 1);

  /** A sample VM of a class; an empty field stands for a value that no constraint names. */
  private record SampleVm(String tenant, String priorityClass, String service) {
    private static final long UNNAMED_SERVICE = -1;

    static SampleVm of(Scope scope) {
      return new SampleVm(
          firstOf(scope.tenants()), firstOf(scope.priorityClasses()), firstOf(scope.services()));
    }

    private static String firstOf(Set<String> values) {
      return values.isEmpty() ? "" : new TreeSet<>(values).first();
    }

    VmAttributes attributes() {
      long number = service.isEmpty() ? UNNAMED_SERVICE : Long.parseLong(service);
      return new VmAttributes(tenant, priorityClass, number);
    }

    /** The class as selectors of the constraint language. */
    @Override
    public String toString() {
      List<String> selectors = new ArrayList<>();
      addSelector(selectors, "customer ", tenant);
      addSelector(selectors, "flavour ", priorityClass);
      addSelector(selectors, "service ", service);
      return selectors.isEmpty() ? "any class" : String.join(" ", selectors);
    }

    private static void addSelector(List<String> selectors, String field, String value) {
      if (!value.isEmpty()) {
        selectors.add(field + value);
      }
    }
  }

  private final List<PlacementConstraint> constraints;
  private final ConstraintIndex index;
  private final BooleanSupplier shouldStop;

  /** Conflicts by the names of their constraints, in the order in which they were found. */
  private final Map<Set<String>, ConstraintConflict> conflicts = new LinkedHashMap<>();

  private ConstraintValidator(
      List<PlacementConstraint> constraints,
      Collection<MachineTopology> machines,
      BooleanSupplier shouldStop) {
    this.constraints = constraints;
    this.shouldStop = shouldStop;
    index = indexWithoutSpreadLimits(constraints);
    index.machineListReceived(machines);
  }

  /**
   * Creates an index without the spread limits. How a limit is divided among schedulers does not
   * affect whether a placement is possible at all.
   */
  private static ConstraintIndex indexWithoutSpreadLimits(List<PlacementConstraint> constraints) {
    List<PlacementConstraint> withoutLimits =
        constraints.stream()
            .filter(constraint -> !(constraint.clause() instanceof SpreadLimit))
            .toList();
    try {
      return new ConstraintIndex(withoutLimits, 1);
    } catch (IndivisibleLimitException e) {
      throw new IllegalStateException("constraint set without spread limits was rejected", e);
    }
  }

  /**
   * Returns all conflicts; without machines, only those that exist on any machines. {@code
   * shouldStop} is polled during a long search and ends it with the conflicts found so far.
   */
  public static List<ConstraintConflict> findConflicts(
      List<PlacementConstraint> constraints,
      Collection<MachineTopology> machines,
      BooleanSupplier shouldStop) {
    return new ConstraintValidator(constraints, machines, shouldStop).findConflicts();
  }

  private List<ConstraintConflict> findConflicts() {
    Set<String> services = namedValues(Scope::services);
    for (String tenant : namedValues(Scope::tenants)) {
      for (String priorityClass : namedValues(Scope::priorityClasses)) {
        if (shouldStop.getAsBoolean()) {
          continue;
        }
        for (String service : services) {
          checkClass(new SampleVm(tenant, priorityClass, service));
        }
      }
    }
    if (conflicts.isEmpty()) {
      checkClassesTogether();
    }
    return List.copyOf(conflicts.values());
  }

  /**
   * Returns the values of a field that the scopes name, and the empty string for a value that no
   * scope names.
   */
  private Set<String> namedValues(Function<Scope, Set<String>> field) {
    Set<String> values = new TreeSet<>();
    values.add("");
    constraints.forEach(constraint -> values.addAll(field.apply(constraint.scope())));
    return values;
  }

  private void checkClass(SampleVm vm) {
    checkLabels(vm);
    checkAffinityAgainstAntiAffinity(vm);
  }

  private void checkLabels(SampleVm vm) {
    List<PlacementConstraint> conflicting = index.findConflictingLabelConstraints(vm.attributes());
    if (!conflicting.isEmpty()) {
      String description =
          conflicting.size() == 1 ? "is met by no machine" : "are met by no machine together";
      add(vm.toString(), conflicting, description);
    }
  }

  private void checkAffinityAgainstAntiAffinity(SampleVm vm) {
    VmAttributes attributes = vm.attributes();
    List<PlacementConstraint> required =
        constraints.stream()
            .filter(PlacementConstraint::isRequired)
            .filter(constraint -> constraint.scope().covers(attributes))
            .toList();
    for (PlacementConstraint first : required) {
      if (!(first.clause() instanceof Affinity affinity)) {
        continue;
      }
      for (PlacementConstraint second : required) {
        if (second.clause() instanceof AntiAffinity antiAffinity
            && contradicts(affinity, antiAffinity)) {
          String description =
              "leave no allowed machines once a VM of " + affinity.other() + " runs";
          add(vm.toString(), List.of(first, second), description);
        }
      }
    }
  }

  /**
   * Whether the anti-affinity forbids every domain that the affinity requires: it covers all
   * targets of the affinity, in domains at least as large.
   */
  private static boolean contradicts(Affinity affinity, AntiAffinity antiAffinity) {
    return isSubset(affinity.other(), antiAffinity.other())
        && antiAffinity.level().compareTo(affinity.level()) >= 0;
  }

  private static boolean isSubset(Scope part, Scope whole) {
    return isSubset(part.tenants(), whole.tenants())
        && isSubset(part.priorityClasses(), whole.priorityClasses())
        && isSubset(part.services(), whole.services());
  }

  private static boolean isSubset(Set<String> part, Set<String> whole) {
    return whole.isEmpty() || (!part.isEmpty() && whole.containsAll(part));
  }

  /**
   * Checks whether one VM of each class that the required constraints name can run at the same time
   * under label constraints, affinities and anti-affinities. It is no conflict that a spread limits
   * the VMs of a class, or that VMs of one class have an anti-affinity to each other.
   */
  private void checkClassesTogether() {
    List<GroupMember> classes =
        namedClasses().stream()
            .map(vm -> new GroupMember(vm.toString(), vm.attributes(), 0, 0))
            .toList();
    FeasibilityResult result =
        index.classFeasibility(classes, machine -> UNUSED_CAPACITY).solve(shouldStop);
    if (result.verdict() == FeasibilityResult.Verdict.INFEASIBLE) {
      List<PlacementConstraint> conflicting = result.conflictingConstraints();
      String affected =
          classes.stream()
              .filter(vm -> isCoveredByAny(vm, conflicting))
              .map(GroupMember::id)
              .collect(Collectors.joining(" and "));
      add(affected, conflicting, "do not allow one VM of each class to run at the same time");
    }
  }

  private List<SampleVm> namedClasses() {
    return constraints.stream()
        .filter(PlacementConstraint::isRequired)
        .flatMap(constraint -> namedScopes(constraint).stream())
        .map(SampleVm::of)
        .distinct()
        .limit(MAX_CLASSES_CHECKED_TOGETHER)
        .toList();
  }

  private static List<Scope> namedScopes(PlacementConstraint constraint) {
    if (constraint.clause() instanceof Affinity affinity) {
      return List.of(constraint.scope(), affinity.other());
    }
    if (constraint.clause() instanceof AntiAffinity antiAffinity) {
      return List.of(constraint.scope(), antiAffinity.other());
    }
    return List.of(constraint.scope());
  }

  private static boolean isCoveredByAny(GroupMember member, List<PlacementConstraint> constraints) {
    return constraints.stream().anyMatch(constraint -> constraint.scope().covers(member.vm()));
  }

  private void add(String affectedVms, List<PlacementConstraint> conflicting, String description) {
    Set<String> names =
        conflicting.stream().map(PlacementConstraint::name).collect(Collectors.toSet());
    conflicts.putIfAbsent(names, new ConstraintConflict(affectedVms, conflicting, description));
  }
}
