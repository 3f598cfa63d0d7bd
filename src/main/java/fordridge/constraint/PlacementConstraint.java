package fordridge.constraint;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * One sentence of the language: whose VMs, how binding, and what is asked of the machines they go
 * to. What prints here is what the parser reads back to the same.
 */
public record PlacementConstraint(
    String name, Scope scope, double weight, Clause clause, int line) {
  /** Required rules have no weight. */
  public boolean required() {
    return weight == 0;
  }

  /** Where VMs are counted: together by machine, cell or zone. */
  public enum Domain {
    MACHINE,
    CELL,
    ZONE;

    @Override
    public String toString() {
      return name().toLowerCase();
    }
  }

  /** VMs by customer, flavour and service; an empty set of values is any. */
  public record Scope(Set<String> tenants, Set<String> priorityClasses, Set<String> services) {
    public static final Scope ALL = new Scope(Set.of(), Set.of(), Set.of());

    public boolean covers(String tenant, String priorityClass, long service) {
      return (tenants.isEmpty() || tenants.contains(tenant))
          && (priorityClasses.isEmpty() || priorityClasses.contains(priorityClass))
          && (services.isEmpty() || services.contains(Long.toString(service)));
    }

    @Override
    public String toString() {
      StringBuilder s = new StringBuilder();
      part(s, "customer", tenants);
      part(s, "flavour", priorityClasses);
      part(s, "service", services);
      return s.length() == 0 ? "all" : s.toString();
    }

    private static void part(StringBuilder s, String field, Set<String> values) {
      if (!values.isEmpty()) {
        s.append(s.length() == 0 ? "" : " and ").append(field).append(' ').append(values(values));
      }
    }
  }

  static String values(Set<String> values) {
    return new TreeSet<>(values)
        .stream().map(PlacementConstraint::quoted).collect(Collectors.joining(", "));
  }

  /** Words of the language and odd characters need quotes. */
  static String quoted(String v) {
    return v.matches("[0-9]+") || v.matches("[A-Za-z_][A-Za-z0-9_.-]*") && !WORDS.contains(v)
        ? v
        : '"' + v + '"';
  }

  private static final List<String> WORDS =
      List.of(
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

  /** What is asked. */
  public sealed interface Clause permits Near, Apart, Most, Skew, On {}

  /** In a domain that holds one of the others; anywhere while there is none of them. */
  public record Near(Scope other, Domain per) implements Clause {
    @Override
    public String toString() {
      return "near " + other + " per " + per;
    }
  }

  /** In no domain that holds one of the others; and they in none that holds one of these. */
  public record Apart(Scope other, Domain per) implements Clause {
    @Override
    public String toString() {
      return "apart " + other + " per " + per;
    }
  }

  /** At most so many in one domain; overall, over all placers. */
  public record Most(int most, boolean eachService, Domain per, boolean overall) implements Clause {
    @Override
    public String toString() {
      return "spread at most "
          + most
          + (eachService ? " of each service" : "")
          + " per "
          + per
          + (overall ? " overall" : "");
    }
  }

  /** No domain holds more than so many more than the one with fewest that the VM could go to. */
  public record Skew(int skew, boolean eachService, Domain per) implements Clause {
    @Override
    public String toString() {
      return "spread within " + skew + (eachService ? " of each service" : "") + " per " + per;
    }
  }

  /** Only machines of which the predicate holds. */
  public record On(Predicate where) implements Clause {
    @Override
    public String toString() {
      return "on " + where;
    }
  }

  /** Of a machine's labels. */
  public sealed interface Predicate permits Label, Not, Both, Either {}

  public record Label(String field, Set<String> values) implements Predicate {
    @Override
    public String toString() {
      return field + " " + PlacementConstraint.values(values);
    }
  }

  public record Not(Predicate of) implements Predicate {
    @Override
    public String toString() {
      return "not (" + of + ")";
    }
  }

  public record Both(Predicate a, Predicate b) implements Predicate {
    @Override
    public String toString() {
      return "(" + a + ") and (" + b + ")";
    }
  }

  public record Either(Predicate a, Predicate b) implements Predicate {
    @Override
    public String toString() {
      return "(" + a + ") or (" + b + ")";
    }
  }

  @Override
  public String toString() {
    return "rule "
        + name
        + ": "
        + scope
        + (required() ? " require " : " prefer " + Math.round(weight) + " ")
        + clause
        + ";";
  }
}
