package fordridge.constraint;

import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * One constraint of a constraint set: which VMs it applies to, whether it is required or preferred,
 * and what it demands of their machines. Its text form parses back to an equal constraint, except
 * for the line number.
 *
 * @param name unique within its set
 * @param scope the VMs that it applies to
 * @param weight 0 for a required constraint, otherwise the weight of the preference
 * @param clause what is demanded of the machines
 * @param line the line of its name in the text of the set, from 1
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

  /** Whether no VM may violate the constraint; otherwise it is a preference with a weight. */
  public boolean isRequired() {
    return weight == 0;
  }

  /**
   * Selects VMs by tenant, priority class and service number; an empty set of values selects any.
   */
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

  /** What a constraint demands of the machines on which the VMs of its scope are placed. */
  public sealed interface Clause
      permits Affinity, AntiAffinity, SpreadLimit, SpreadSkew, MachineLabels {}

  /**
   * Keyword {@code near}: a domain that holds a VM of the other scope, or any domain while no such
   * VM runs.
   */
  public record Affinity(Scope other, TopologyLevel level) implements Clause {
    @Override
    public String toString() {
      return "near " + other + " per " + level;
    }
  }

  /**
   * Keyword {@code apart}: no domain that holds a VM of the other scope; conversely, VMs of the
   * other scope may not go to a domain that holds a VM of the constraint's scope.
   */
  public record AntiAffinity(Scope other, TopologyLevel level) implements Clause {
    @Override
    public String toString() {
      return "apart " + other + " per " + level;
    }
  }

  /**
   * Keywords {@code spread at most}: no domain holds more VMs than the limit.
   *
   * @param limit the maximum number of VMs in one domain
   * @param perService whether each service is counted separately
   * @param level the level of the domains
   * @param clusterWide whether the limit applies to the VMs of all schedulers together
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

    /**
     * Returns the limit that one of several schedulers enforces, as they do not coordinate; at
     * least 1.
     */
    int limitPerScheduler(int schedulerCount) {
      return clusterWide ? Math.max(1, limit / schedulerCount) : limit;
    }
  }

  /**
   * Keywords {@code spread within}: including the VM to place, its domain holds at most {@code
   * maxSkew} VMs more than the domain with the fewest VMs among those that the preceding
   * constraints allow for the VM.
   */
  public record SpreadSkew(int maxSkew, boolean perService, TopologyLevel level) implements Clause {
    @Override
    public String toString() {
      return "spread within " + maxSkew + (perService ? " of each service" : "") + " per " + level;
    }
  }

  /** Keyword {@code on}: only machines whose labels satisfy the predicate. */
  public record MachineLabels(LabelPredicate predicate) implements Clause {
    @Override
    public String toString() {
      return "on " + predicate;
    }
  }

  /** A label of a machine. */
  public enum LabelKey {
    /** Its hardware kind. */
    KIND,
    /** The number of its cell. */
    CELL,
    /** Its zone. */
    ZONE,
    /** Its name. */
    MACHINE;

    /** Returns the value of this label on a machine. */
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
    /** Whether the labels of the machine satisfy the predicate. */
    boolean matches(MachineTopology machine);
  }

  /** Satisfied if the label has one of the values. */
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

  /** Satisfied if the predicate is not. */
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

  /** Satisfied if both predicates are. */
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

  /** Satisfied if at least one of the predicates is. */
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

  /** The constraint in the syntax of the constraint language. */
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
