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
 * Finds in a constraint set what no placement could ever meet, before any VM is rejected for it.
 * Looks at one VM of each class that the set tells apart, and names a smallest set of conflicting
 * constraints.
 *
 * <p>By counts alone nothing is impossible for the first VM: an affinity holds while there is none
 * of the others, a spread has room for one. So what can be found is: labels that no machine has
 * together; a VM that must be near what it must also keep apart from, which could go nowhere as
 * soon as one of those runs; and classes of which one VM each could never run at once.
 */
public final class ConstraintValidator {
  /** Longest time that validating one set may take. */
  public static final Duration TIME_LIMIT = Duration.ofSeconds(1);

  /** Most classes that are judged together; further ones are judged one at a time only. */
  private static final int MAX_CLASSES_CHECKED_TOGETHER = 200;

  private static final MachineCapacity UNUSED_CAPACITY = new MachineCapacity(1, 1);

  /** One VM of a class; an empty value stands for one that no constraint names. */
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

    /** The class in the words of the constraint language. */
    @Override
    public String toString() {
      List<String> selectors = new ArrayList<>();
      addSelector(selectors, "customer ", tenant);
      addSelector(selectors, "flavour ", priorityClass);
      addSelector(selectors, "service ", service);
      return selectors.isEmpty() ? "any kind" : String.join(" ", selectors);
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

  /** By the names of the conflicting constraints, in the order in which they were found. */
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

  /** How a limit is shared among schedulers does not bear on what is possible at all. */
  private static ConstraintIndex indexWithoutSpreadLimits(List<PlacementConstraint> constraints) {
    List<PlacementConstraint> withoutLimits =
        constraints.stream()
            .filter(constraint -> !(constraint.clause() instanceof SpreadLimit))
            .toList();
    try {
      return new ConstraintIndex(withoutLimits, 1);
    } catch (UnsatisfiableConstraintsException e) {
      throw new IllegalStateException("a set without limits was rejected", e);
    }
  }

  /**
   * All conflicts; without machines only those that hold on any. {@code shouldStop} is polled and
   * ends a long search with what was found by then.
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

  /** The values that the scopes name, and the empty one for a value that none names. */
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
    List<PlacementConstraint> conflicting = index.findUnsatisfiableConstraints(vm.attributes());
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
          String description = "leave no place as soon as one of " + affinity.other() + " runs";
          add(vm.toString(), List.of(first, second), description);
        }
      }
    }
  }

  /** Whether all that the affinity draws to is kept away from, in domains at least as large. */
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
   * One VM of each class that the required constraints name must be able to run at once, by labels,
   * affinities and anti-affinities. How many of a class a spread lets run is no conflict, nor are
   * VMs of one class that keep apart from each other.
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
      add(affected, conflicting, "leave no places for one of each at once");
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
