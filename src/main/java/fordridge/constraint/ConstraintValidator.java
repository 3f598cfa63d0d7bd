package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Scope;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Finds in a set of rules what no placing could ever meet, before any VM is refused for it. Looks
 * at one VM of each kind that the rules tell apart, and names a smallest set of rules that clash.
 *
 * <p>By counts alone nothing is impossible for the first VM (near holds while there is none of the
 * other, a spread has room for one); so what can be said for good is: labels that no machine has
 * together, and a VM that must be near what it must also keep apart from, which could go nowhere as
 * soon as one of those runs.
 */
public final class ConstraintValidator {
  /** Longest that a set is looked into. */
  public static final Duration TIME_LIMIT = Duration.ofSeconds(1);

  /** Kinds looked at together; rules beyond these are still looked at one kind at a time. */
  private static final int MOST_KINDS = 200;

  private ConstraintValidator() {}

  /**
   * All clashes; with no machines known yet only those that hold on any. {@code stop} ends a long
   * search: what was found by then is told.
   */
  public static List<ConstraintConflict> findConflicts(
      List<PlacementConstraint> rules, Collection<MachineTopology> machines, BooleanSupplier stop) {
    ConstraintIndex book;
    try {
      // Shares among placers do not bear on it.
      book =
          new ConstraintIndex(
              rules.stream()
                  .filter(r -> !(r.clause() instanceof PlacementConstraint.SpreadLimit))
                  .toList(),
              1);
    } catch (UnsatisfiableConstraintsException e) {
      throw new IllegalStateException(e);
    }
    book.machineListReceived(machines);
    Map<String, ConstraintConflict> found = new LinkedHashMap<>();
    for (String tenant : values(rules, 0)) {
      for (String priorityClass : values(rules, 1)) {
        for (String service : stop.getAsBoolean() ? Set.<String>of() : values(rules, 2)) {
          long number = service.isEmpty() ? -1 : Long.parseLong(service);
          String vms = words(tenant, priorityClass, service);
          List<PlacementConstraint> labels =
              book.findUnsatisfiableConstraints(new VmAttributes(tenant, priorityClass, number));
          if (!labels.isEmpty()) {
            found.putIfAbsent(
                names(labels),
                new ConstraintConflict(
                    vms,
                    labels,
                    labels.size() == 1
                        ? "is met by no machine"
                        : "are met by no machine together"));
          }
          nearAndApart(rules, tenant, priorityClass, number, vms, found);
        }
      }
    }
    if (found.isEmpty()) {
      oneOfEach(book, rules, stop, found);
    }
    return List.copyOf(found.values());
  }

  /**
   * One VM of each scope that the rules name must be able to run at once: by labels, near and
   * apart. How many of a kind a spread lets run is no clash, nor are VMs of one kind that keep
   * apart from each other.
   */
  private static void oneOfEach(
      ConstraintIndex book,
      List<PlacementConstraint> rules,
      BooleanSupplier stop,
      Map<String, ConstraintConflict> found) {
    Map<String, GroupMember> kinds = new LinkedHashMap<>();
    for (PlacementConstraint r : rules) {
      List<Scope> scopes = new ArrayList<>();
      if (r.isRequired()) {
        scopes.add(r.scope());
        if (r.clause() instanceof PlacementConstraint.Affinity n) {
          scopes.add(n.other());
        } else if (r.clause() instanceof PlacementConstraint.AntiAffinity a) {
          scopes.add(a.other());
        }
      }
      for (Scope s : scopes) {
        GroupMember one =
            new GroupMember(
                words(first(s.tenants()), first(s.priorityClasses()), first(s.services())),
                new VmAttributes(
                    first(s.tenants()),
                    first(s.priorityClasses()),
                    s.services().isEmpty() ? -1 : Long.parseLong(first(s.services()))),
                0,
                0);
        if (kinds.size() < MOST_KINDS) {
          kinds.putIfAbsent(one.id(), one);
        }
      }
    }
    List<GroupMember> parts = List.copyOf(kinds.values());
    FeasibilityResult o =
        book.groupFeasibility(parts, m -> new MachineCapacity(1, 1)).kinds().solve(stop);
    if (o.verdict() == FeasibilityResult.Verdict.INFEASIBLE) {
      found.put(
          names(o.conflictingConstraints()),
          new ConstraintConflict(
              parts.stream()
                  .filter(p -> o.conflictingConstraints().stream().anyMatch(r -> speaks(r, p)))
                  .map(GroupMember::id)
                  .collect(Collectors.joining(" and ")),
              o.conflictingConstraints(),
              "leave no places for one of each at once"));
    }
  }

  private static boolean speaks(PlacementConstraint r, GroupMember p) {
    return r.scope().covers(p.vm());
  }

  private static String first(Set<String> values) {
    return values.isEmpty() ? "" : new TreeSet<>(values).first();
  }

  private static void nearAndApart(
      List<PlacementConstraint> rules,
      String tenant,
      String priorityClass,
      long service,
      String vms,
      Map<String, ConstraintConflict> found) {
    List<PlacementConstraint> mine =
        rules.stream()
            .filter(
                r ->
                    r.isRequired()
                        && r.scope().covers(new VmAttributes(tenant, priorityClass, service)))
            .toList();
    for (PlacementConstraint n : mine) {
      if (!(n.clause() instanceof PlacementConstraint.Affinity near)) {
        continue;
      }
      for (PlacementConstraint a : mine) {
        if (a.clause() instanceof PlacementConstraint.AntiAffinity apart
            && within(near.other(), apart.other())
            && atLeast(apart.level(), near.level())) {
          found.putIfAbsent(
              names(List.of(n, a)),
              new ConstraintConflict(
                  vms,
                  List.of(n, a),
                  "leave no place as soon as one of " + near.other() + " runs"));
        }
      }
    }
  }

  /** Every VM of the one scope is of the other. */
  private static boolean within(Scope part, Scope whole) {
    return within(part.tenants(), whole.tenants())
        && within(part.priorityClasses(), whole.priorityClasses())
        && within(part.services(), whole.services());
  }

  private static boolean within(Set<String> part, Set<String> whole) {
    return whole.isEmpty() || !part.isEmpty() && whole.containsAll(part);
  }

  /** A domain of the first kind holds the whole of any of the second that it touches. */
  private static boolean atLeast(TopologyLevel large, TopologyLevel small) {
    return large.ordinal() >= small.ordinal();
  }

  /** Values that the rules speak of, and one that none speaks of. */
  private static Set<String> values(List<PlacementConstraint> rules, int field) {
    Set<String> some = new TreeSet<>();
    some.add("");
    List<Scope> scopes = new ArrayList<>();
    for (PlacementConstraint r : rules) {
      scopes.add(r.scope());
    }
    for (Scope s : scopes) {
      some.addAll(field == 0 ? s.tenants() : field == 1 ? s.priorityClasses() : s.services());
    }
    return some;
  }

  private static String names(List<PlacementConstraint> rules) {
    return rules.stream().map(PlacementConstraint::name).sorted().collect(Collectors.joining(" "));
  }

  private static String words(String tenant, String priorityClass, String service) {
    String s =
        (tenant.isEmpty() ? "" : " customer " + tenant)
            + (priorityClass.isEmpty() ? "" : " flavour " + priorityClass)
            + (service.isEmpty() ? "" : " service " + service);
    return s.isEmpty() ? "any kind" : s.substring(1);
  }
}
