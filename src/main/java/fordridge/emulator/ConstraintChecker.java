package fordridge.emulator;

import fordridge.constraint.ConstraintParser;
import fordridge.constraint.ConstraintSyntaxException;
import fordridge.constraint.PlacementConstraint;
import fordridge.constraint.PlacementConstraint.Scope;
import fordridge.constraint.TopologyLevel;
import fordridge.constraint.VmAttributes;
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
    String domain(TopologyLevel per) {
      return per == TopologyLevel.MACHINE
          ? name
          : per == TopologyLevel.ZONE ? zone : zone + "/" + cell;
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
      sets.addLast(ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED));
    } catch (ConstraintSyntaxException e) {
      throw new IllegalArgumentException("rules in the tap: " + e.messages());
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
      if (r.isRequired() && !keeps(r, own, p)) {
        return "rule '" + r.name() + "' (" + r.clause() + ")";
      }
    }
    return null;
  }

  private boolean keeps(PlacementConstraint r, List<Placed> own, Placed p) {
    boolean about = covers(r.scope(), p);
    if (r.clause() instanceof PlacementConstraint.AntiAffinity a) {
      return own.stream()
          .noneMatch(
              o ->
                  running(o)
                      && same(o, p, a.level())
                      && (about && covers(a.other(), o)
                          || covers(a.other(), p) && covers(r.scope(), o)));
    }
    if (!about) {
      return true;
    }
    if (r.clause() instanceof PlacementConstraint.MachineLabels on) {
      return holds(on.predicate(), p.spot);
    }
    if (r.clause() instanceof PlacementConstraint.SpreadLimit m) {
      int most = m.clusterWide() ? Math.max(1, m.limit() / placers) : m.limit();
      return own.stream()
              .filter(
                  o ->
                      running(o)
                          && same(o, p, m.level())
                          && covers(r.scope(), o)
                          && (!m.perService() || o.service == p.service))
              .count()
          < most;
    }
    if (r.clause() instanceof PlacementConstraint.Affinity n) {
      return own.stream().noneMatch(o -> running(o) && covers(n.other(), o))
          || own.stream().anyMatch(o -> covers(n.other(), o) && same(o, p, n.level()));
    }
    return true;
  }

  private static boolean running(Placed p) {
    return p.runs && !p.over;
  }

  private static boolean same(Placed a, Placed b, TopologyLevel per) {
    return a.spot.domain(per).equals(b.spot.domain(per));
  }

  private static boolean covers(Scope s, Placed p) {
    return s.covers(new VmAttributes(p.tenant, p.priorityClass, p.service));
  }

  private static boolean holds(PlacementConstraint.LabelPredicate p, MachineTopology s) {
    if (p instanceof PlacementConstraint.Label l) {
      return l.values()
          .contains(
              switch (l.key()) {
                case KIND -> s.kind;
                case ZONE -> s.zone;
                case CELL -> Long.toString(s.cell);
                case MACHINE -> s.name;
              });
    }
    return p instanceof PlacementConstraint.Not n
        ? !holds(n.negated(), s)
        : p instanceof PlacementConstraint.And b
            ? holds(b.left(), s) && holds(b.right(), s)
            : holds(((PlacementConstraint.Or) p).left(), s)
                || holds(((PlacementConstraint.Or) p).right(), s);
  }
}
