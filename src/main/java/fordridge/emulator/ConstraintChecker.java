package fordridge.emulator;

import fordridge.constraint.ConstraintParser;
import fordridge.constraint.PlacementConstraint;
import fordridge.constraint.PlacementConstraint.Domain;
import fordridge.constraint.PlacementConstraint.Scope;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges customers' rules from the tap: each offer against what its placer had running, by plain
 * counting that shares nothing with how the placer does it. A VM counts against a bound while it
 * runs at its machine; for near it counts from its offer until shortly after its end, as the placer
 * may not have heard yet. {@code spread within} is not judged: it hangs on which machines were open
 * to the placer.
 */
final class ConstraintChecker {
  /** A machine's labels. */
  record MachineTopology(String name, String kind, String zone, long cell) {
    String domain(Domain per) {
      return per == Domain.MACHINE ? name : per == Domain.ZONE ? zone : zone + "/" + cell;
    }
  }

  /** A claim as the machine saw it. */
  static final class Placed {
    final MachineTopology spot;
    final String tenant;
    final String priorityClass;
    final long service;
    boolean runs;
    boolean over;
    long overAt;

    /** Its end was said, but lost on the way: its placer goes on holding it to run. */
    boolean unheard;

    Placed(MachineTopology spot, String tenant, String priorityClass, long service) {
      this.spot = spot;
      this.tenant = tenant;
      this.priorityClass = priorityClass;
      this.service = service;
    }
  }

  /** An end may be known this late, and a set be in force at every placer. */
  private static final long LATE_US = 1_500_000;

  private static final long SET_LATE_US = 700_000;

  private final Deque<List<PlacementConstraint>> sets = new ArrayDeque<>();
  private final Map<String, List<Placed>> of = new HashMap<>();
  private long changedAt;
  private int placers = 1;

  /** A set is in force; for a while after that the one before it is as good. */
  void set(String text, int among, long t) {
    try {
      sets.addLast(ConstraintParser.read(text, ConstraintParser.Names.ANY));
    } catch (ConstraintParser.ConstraintSyntaxException e) {
      throw new IllegalArgumentException("rules in the tap: " + e.complaints);
    }
    if (sets.size() > 2) {
      sets.removeFirst();
    }
    placers = among;
    changedAt = t;
  }

  boolean judges() {
    return !sets.isEmpty();
  }

  /** What an offer breaks by every set that may be in force, or null; from now on it counts. */
  String offered(String placer, Placed p, long t) {
    List<Placed> own = of.computeIfAbsent(placer, x -> new ArrayList<>());
    own.removeIf(o -> o.over && !o.unheard && o.overAt < t - LATE_US);
    String broken = null;
    boolean kept = false;
    if (sets.size() == 2 && t - changedAt > SET_LATE_US) {
      sets.removeFirst();
    }
    for (List<PlacementConstraint> rules : sets) {
      String what = broken(rules, own, p);
      broken = what == null ? broken : what;
      kept |= what == null;
    }
    own.add(p);
    return kept ? null : broken;
  }

  private String broken(List<PlacementConstraint> rules, List<Placed> own, Placed p) {
    for (PlacementConstraint r : rules) {
      if (r.required() && !keeps(r, own, p)) {
        return "rule '" + r.name() + "' (" + r.clause() + ")";
      }
    }
    return null;
  }

  private boolean keeps(PlacementConstraint r, List<Placed> own, Placed p) {
    boolean about = covers(r.scope(), p);
    if (r.clause() instanceof PlacementConstraint.Apart a) {
      return own.stream()
          .noneMatch(
              o ->
                  running(o)
                      && same(o, p, a.per())
                      && (about && covers(a.other(), o)
                          || covers(a.other(), p) && covers(r.scope(), o)));
    }
    if (!about) {
      return true;
    }
    if (r.clause() instanceof PlacementConstraint.On on) {
      return holds(on.where(), p.spot);
    }
    if (r.clause() instanceof PlacementConstraint.Most m) {
      int most = m.overall() ? Math.max(1, m.most() / placers) : m.most();
      return own.stream()
              .filter(
                  o ->
                      running(o)
                          && same(o, p, m.per())
                          && covers(r.scope(), o)
                          && (!m.eachService() || o.service == p.service))
              .count()
          < most;
    }
    if (r.clause() instanceof PlacementConstraint.Near n) {
      return own.stream().noneMatch(o -> running(o) && covers(n.other(), o))
          || own.stream().anyMatch(o -> covers(n.other(), o) && same(o, p, n.per()));
    }
    return true;
  }

  private static boolean running(Placed p) {
    return p.runs && !p.over;
  }

  private static boolean same(Placed a, Placed b, Domain per) {
    return a.spot.domain(per).equals(b.spot.domain(per));
  }

  private static boolean covers(Scope s, Placed p) {
    return s.covers(p.tenant, p.priorityClass, p.service);
  }

  private static boolean holds(PlacementConstraint.Predicate p, MachineTopology s) {
    if (p instanceof PlacementConstraint.Label l) {
      return l.values()
          .contains(
              switch (l.field()) {
                case "kind" -> s.kind;
                case "zone" -> s.zone;
                case "cell" -> Long.toString(s.cell);
                default -> s.name;
              });
    }
    return p instanceof PlacementConstraint.Not n
        ? !holds(n.of(), s)
        : p instanceof PlacementConstraint.Both b
            ? holds(b.a(), s) && holds(b.b(), s)
            : holds(((PlacementConstraint.Either) p).a(), s)
                || holds(((PlacementConstraint.Either) p).b(), s);
  }
}
