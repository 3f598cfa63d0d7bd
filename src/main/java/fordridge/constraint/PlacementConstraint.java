package fordridge.constraint;

import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * One sentence of the constraint language: which VMs it speaks of, how binding it is, and what it
 * asks of the machines they go to. Its text form parses back to an equal constraint.
 *
 * @param name unique within its set
 * @param scope the VMs that it speaks of
 * @param weight 0 for a required constraint, else the weight of the preference
 * @param clause what is asked of the machines
 * @param line the line of the set's text that it begins in, from 1
 */
public record PlacementConstraint(
    String name, Scope scope, double weight, Clause clause, int line) {

  /** Keywords of the language; a value that equals one is quoted. */
  private static final Set<String> KEYWORDS =
      Set.of(
          "rule",
          "require",
          "prefer",
          "all",
          "and",
          "or",
          "not",
          "near",
          "apart",
          "spread",
          "at",
          "most",
          "within",
          "of",
          "each",
          "per",
          "on",
          "own",
          "overall",
          "customer",
          "flavour",
          "service",
          "kind",
          "machine",
          "cell",
          "zone");

  /** Whether no VM may be placed against it; otherwise it is a preference with a weight. */
  public boolean isRequired() {
    return weight == 0;
  }

  /** VMs by tenant, priority class and service number; an empty set of values selects any. */
  public record Scope(Set<String> tenants, Set<String> priorityClasses, Set<String> services) {
    /** Selects every VM. */
    public static final Scope ALL = new Scope(Set.of(), Set.of(), Set.of());

    /** Whether it selects the VM. */
    public boolean covers(VmAttributes vm) {
      return (tenants.isEmpty() || tenants.contains(vm.tenant()))
          && (priorityClasses.isEmpty() || priorityClasses.contains(vm.priorityClass()))
          && (services.isEmpty() || services.contains(Long.toString(vm.service())));
    }

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder();
      appendSelector(text, "customer", tenants);
      appendSelector(text, "flavour", priorityClasses);
      appendSelector(text, "service", services);
      return text.length() == 0 ? "all" : text.toString();
    }

    private static void appendSelector(StringBuilder text, String field, Set<String> values) {
      if (values.isEmpty()) {
        return;
      }
      if (text.length() > 0) {
        text.append(" and ");
      }
      text.append(field).append(' ').append(formatValues(values));
    }
  }

  /** What a constraint asks of the machines that the VMs of its scope go to. */
  public sealed interface Clause
      permits Affinity, AntiAffinity, SpreadLimit, SpreadSkew, MachineLabels {}

  /** Keyword near: in a domain that holds one of the others; anywhere while there is none. */
  public record Affinity(Scope other, TopologyLevel level) implements Clause {
    @Override
    public String toString() {
      return "near " + other + " per " + level;
    }
  }

  /**
   * Keyword apart: in no domain that holds one of the others, and the others in none that holds one
   * of the scope's VMs.
   */
  public record AntiAffinity(Scope other, TopologyLevel level) implements Clause {
    @Override
    public String toString() {
      return "apart " + other + " per " + level;
    }
  }

  /**
   * Keywords spread at most: no domain holds more than the limit.
   *
   * @param limit most VMs in one domain
   * @param perService whether each service is counted by itself
   * @param level the domains that are counted
   * @param clusterWide whether the limit is meant over the VMs of all schedulers
   */
  public record SpreadLimit(int limit, boolean perService, TopologyLevel level, boolean clusterWide)
      implements Clause {
    @Override
    public String toString() {
      return "spread at most "
          + limit
          + (perService ? " of each service" : "")
          + " per "
          + level
          + (clusterWide ? " overall" : "");
    }

    /** The limit for one of several schedulers that do not coordinate; at least 1. */
    int limitPerScheduler(int schedulerCount) {
      return clusterWide ? Math.max(1, limit / schedulerCount) : limit;
    }
  }

  /**
   * Keywords spread within: with the VM placed, its domain holds at most so many more than the
   * domain with fewest that the VM could go to.
   */
  public record SpreadSkew(int maxSkew, boolean perService, TopologyLevel level) implements Clause {
    @Override
    public String toString() {
      return "spread within " + maxSkew + (perService ? " of each service" : "") + " per " + level;
    }
  }

  /** Keyword on: only machines whose labels meet the predicate. */
  public record MachineLabels(LabelPredicate predicate) implements Clause {
    @Override
    public String toString() {
      return "on " + predicate;
    }
  }

  /** The labels of a machine. */
  public enum LabelKey {
    /** Its hardware kind. */
    KIND,
    /** The number of its cell. */
    CELL,
    /** Its zone. */
    ZONE,
    /** Its name. */
    MACHINE;

    /** The machine's value of this label. */
    public String valueOf(MachineTopology machine) {
      return switch (this) {
        case KIND -> machine.kind();
        case CELL -> Integer.toString(machine.cell());
        case ZONE -> machine.zone();
        case MACHINE -> machine.name();
      };
    }

    /** The label's keyword in the constraint language. */
    @Override
    public String toString() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** A condition on a machine's labels. */
  public sealed interface LabelPredicate permits Label, Not, And, Or {
    /** Whether the machine's labels meet it. */
    boolean matches(MachineTopology machine);
  }

  /** The label has one of the values. */
  public record Label(LabelKey key, Set<String> values) implements LabelPredicate {
    @Override
    public boolean matches(MachineTopology machine) {
      return values.contains(key.valueOf(machine));
    }

    @Override
    public String toString() {
      return key + " " + formatValues(values);
    }
  }

  /** The predicate is not met. */
  public record Not(LabelPredicate negated) implements LabelPredicate {
    @Override
    public boolean matches(MachineTopology machine) {
      return !negated.matches(machine);
    }

    @Override
    public String toString() {
      return "not (" + negated + ")";
    }
  }

  /** Both predicates are met. */
  public record And(LabelPredicate left, LabelPredicate right) implements LabelPredicate {
    @Override
    public boolean matches(MachineTopology machine) {
      return left.matches(machine) && right.matches(machine);
    }

    @Override
    public String toString() {
      return "(" + left + ") and (" + right + ")";
    }
  }

  /** At least one of the predicates is met. */
  public record Or(LabelPredicate left, LabelPredicate right) implements LabelPredicate {
    @Override
    public boolean matches(MachineTopology machine) {
      return left.matches(machine) || right.matches(machine);
    }

    @Override
    public String toString() {
      return "(" + left + ") or (" + right + ")";
    }
  }

  /** The constraint as the language writes it. */
  @Override
  public String toString() {
    return "rule "
        + name
        + ": "
        + scope
        + (isRequired() ? " require " : " prefer " + Math.round(weight) + " ")
        + clause
        + ";";
  }

  private static String formatValues(Set<String> values) {
    return new TreeSet<>(values)
        .stream().map(PlacementConstraint::quoteIfNeeded).collect(Collectors.joining(", "));
  }

  private static String quoteIfNeeded(String value) {
    boolean isNumber = value.matches("[0-9]+");
    boolean isIdentifier = value.matches("[A-Za-z_][A-Za-z0-9_.-]*") && !KEYWORDS.contains(value);
    return isNumber || isIdentifier ? value : '"' + value + '"';
  }
}
