package fordridge.constraint;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.chocosolver.solver.Model;
import org.chocosolver.solver.constraints.Constraint;
import org.chocosolver.solver.search.strategy.Search;
import org.chocosolver.solver.variables.BoolVar;
import org.chocosolver.solver.variables.IntVar;

/**
 * Whether some VMs can run all at once, on machines and beside VMs as they were when the question
 * was put: a whole of its own, which may be answered on another thread. Free of I/O and clocks; who
 * asks says when to stop.
 *
 * <p>It is judged where the VMs end up. {@code near} holds among the VMs themselves, and with what
 * ran already; {@code spread within} is left out, as it hangs on the order in which VMs are placed;
 * so a no is a no, and a yes is a place for each that the order may still spoil.
 */
public final class GroupFeasibility {
  /**
   * Fails of the search before it is given up as not known: the bound that does not hang on the
   * machine's speed.
   */
  private static final int FAILS = 20_000;

  private static final int SCALE = 1000;

  private final List<MachineTopology> spots;
  private final List<MachineCapacity> rooms;
  private final List<GroupMember> parts;
  private final List<PlacementConstraint> rules;
  private final int placers;
  private final boolean ofKinds;

  /** VMs that run: by rule, side (scope or other) and service, how many are in which domain. */
  private final Map<Held, Map<String, Integer>> held;

  private final Map<TopologyLevel, int[]> domains = new EnumMap<>(TopologyLevel.class);
  private final Map<TopologyLevel, List<String>> names = new EnumMap<>(TopologyLevel.class);

  /** What a count is of. */
  record Held(PlacementConstraint.Scope scope, TopologyLevel per, long service, boolean near) {}

  GroupFeasibility(
      List<MachineTopology> spots,
      List<MachineCapacity> rooms,
      List<GroupMember> parts,
      List<PlacementConstraint> rules,
      int placers,
      Map<Held, Map<String, Integer>> held,
      boolean ofKinds) {
    this.ofKinds = ofKinds;
    this.spots = List.copyOf(spots);
    this.rooms = List.copyOf(rooms);
    this.parts = List.copyOf(parts);
    this.rules = List.copyOf(rules);
    this.placers = placers;
    this.held = held;
    for (TopologyLevel d : TopologyLevel.values()) {
      int[] of = new int[spots.size()];
      Map<String, Integer> numbers = new LinkedHashMap<>();
      for (int i = 0; i < of.length; i++) {
        of[i] =
            numbers.computeIfAbsent(ConstraintIndex.domain(spots.get(i), d), n -> numbers.size());
      }
      domains.put(d, of);
      names.put(d, List.copyOf(numbers.keySet()));
    }
  }

  /**
   * The same question of kinds of VM in place of VMs: those of one kind need not keep apart from
   * each other.
   */
  GroupFeasibility kinds() {
    return new GroupFeasibility(spots, rooms, parts, rules, placers, held, true);
  }

  /** Answers; {@code stop} is asked now and then, and ends it with what is known by then. */
  public FeasibilityResult solve(BooleanSupplier stop) {
    if (spots.isEmpty()) {
      return new FeasibilityResult(FeasibilityResult.Verdict.UNKNOWN, Map.of(), List.of(), false);
    }
    if (parts.isEmpty()) {
      return new FeasibilityResult(FeasibilityResult.Verdict.FEASIBLE, Map.of(), List.of(), false);
    }
    FeasibilityResult all = new Try(rules, true, stop).outcome();
    if (all.verdict() != FeasibilityResult.Verdict.INFEASIBLE) {
      return all;
    }
    // Room is asked first, then the rules: what clashes already without room is the customers' own.
    List<PlacementConstraint> some = rules;
    boolean room =
        new Try(rules, false, stop).outcome().verdict() != FeasibilityResult.Verdict.INFEASIBLE;
    some = fewest(List.of(), List.of(), some, room, stop);
    return new FeasibilityResult(FeasibilityResult.Verdict.INFEASIBLE, Map.of(), some, room);
  }

  /**
   * The halving search for a smallest clashing set; as it stands when it is stopped, larger than
   * need be.
   */
  private List<PlacementConstraint> fewest(
      List<PlacementConstraint> base,
      List<PlacementConstraint> added,
      List<PlacementConstraint> from,
      boolean room,
      BooleanSupplier stop) {
    if (!added.isEmpty() || base.isEmpty() && added.isEmpty() && !from.isEmpty()) {
      if (new Try(base, room, stop).outcome().verdict() == FeasibilityResult.Verdict.INFEASIBLE) {
        return List.of();
      }
    }
    if (from.size() <= 1) {
      return from;
    }
    List<PlacementConstraint> a = from.subList(0, from.size() / 2);
    List<PlacementConstraint> b = from.subList(from.size() / 2, from.size());
    List<PlacementConstraint> ofB = fewest(plus(base, a), a, b, room, stop);
    List<PlacementConstraint> ofA = fewest(plus(base, ofB), ofB, a, room, stop);
    return plus(ofA, ofB);
  }

  private static List<PlacementConstraint> plus(
      List<PlacementConstraint> a, List<PlacementConstraint> b) {
    List<PlacementConstraint> both = new ArrayList<>(a);
    both.addAll(b);
    return both;
  }

  /**
   * The smallest kind of domain that a VM must share with another of these; null if it need not.
   */
  TopologyLevel bound(GroupMember p) {
    TopologyLevel least = null;
    for (PlacementConstraint r : rules) {
      if (r.clause() instanceof PlacementConstraint.Affinity n
          && parts.stream()
              .anyMatch(
                  o ->
                      o != p
                          && (of(r.scope(), p) && of(n.other(), o)
                              || of(r.scope(), o) && of(n.other(), p)))) {
        least = least == null || n.level().compareTo(least) < 0 ? n.level() : least;
      }
    }
    return least;
  }

  /** Machines open to the VM that has the fewest. */
  int fewestOpen() {
    Try t = new Try(rules, true, () -> false);
    return Arrays.stream(t.at).mapToInt(IntVar::getDomainSize).min().orElse(0);
  }

  MachineTopology spot(String machine) {
    return spots.stream().filter(s -> s.name().equals(machine)).findFirst().orElseThrow();
  }

  private Map<String, Integer> held(
      PlacementConstraint.Scope scope, TopologyLevel per, long service) {
    return held.getOrDefault(new Held(scope, per, service, false), Map.of());
  }

  private static boolean of(PlacementConstraint.Scope s, GroupMember p) {
    return s.covers(p.vm());
  }

  /** One run of the solver under some of the rules. */
  private final class Try {
    private final Model model = new Model("together");
    private final IntVar[] at = new IntVar[parts.size()];
    private final Map<TopologyLevel, IntVar[]> in = new EnumMap<>(TopologyLevel.class);
    private final BooleanSupplier stop;
    private boolean impossible;

    Try(List<PlacementConstraint> some, boolean room, BooleanSupplier stop) {
      this.stop = stop;
      for (int p = 0; p < at.length; p++) {
        at[p] = model.intVar("at" + p, machinesFor(p, some, room));
      }
      if (impossible) {
        return;
      }
      for (PlacementConstraint r : some) {
        if (r.clause() instanceof PlacementConstraint.AntiAffinity a) {
          apart(r, a);
        } else if (r.clause() instanceof PlacementConstraint.SpreadLimit m) {
          most(r, m);
        } else if (r.clause() instanceof PlacementConstraint.Affinity n) {
          near(r, n);
        }
      }
      if (room) {
        pack(p -> parts.get(p).cores(), m -> rooms.get(m).cores());
        pack(p -> parts.get(p).memory(), m -> rooms.get(m).memory());
      }
    }

    /** Machines that no rule forbids whatever the others do. */
    private int[] machinesFor(int p, List<PlacementConstraint> some, boolean room) {
      GroupMember part = parts.get(p);
      boolean[] no = new boolean[spots.size()];
      for (int m = 0; room && m < no.length; m++) {
        no[m] = part.cores() > rooms.get(m).cores() || part.memory() > rooms.get(m).memory();
      }
      for (PlacementConstraint r : some) {
        if (r.clause() instanceof PlacementConstraint.AntiAffinity a) {
          if (of(r.scope(), part)) {
            forbid(no, a.level(), held(a.other(), a.level(), ConstraintIndex.ANY), 1);
          }
          if (of(a.other(), part)) {
            forbid(no, a.level(), held(r.scope(), a.level(), ConstraintIndex.ANY), 1);
          }
        } else if (of(r.scope(), part)) {
          if (r.clause() instanceof PlacementConstraint.MachineLabels on) {
            for (int m = 0; m < no.length; m++) {
              no[m] |= !on.predicate().matches(spots.get(m));
            }
          } else if (r.clause() instanceof PlacementConstraint.SpreadLimit most) {
            forbid(
                no,
                most.level(),
                held(
                    r.scope(),
                    most.level(),
                    most.perService() ? part.vm().service() : ConstraintIndex.ANY),
                most.limitPerScheduler(placers));
          }
        }
      }
      int[] open = java.util.stream.IntStream.range(0, no.length).filter(m -> !no[m]).toArray();
      impossible |= open.length == 0;
      return open.length == 0 ? new int[] {0} : open;
    }

    /** Closes domains that hold so many already. */
    private void forbid(boolean[] no, TopologyLevel per, Map<String, Integer> counts, int most) {
      if (counts.isEmpty()) {
        return;
      }
      for (int m = 0; m < no.length; m++) {
        no[m] |= counts.getOrDefault(ConstraintIndex.domain(spots.get(m), per), 0) >= most;
      }
    }

    private IntVar in(int p, TopologyLevel per) {
      if (per == TopologyLevel.MACHINE) {
        return at[p];
      }
      IntVar[] of = in.computeIfAbsent(per, d -> new IntVar[parts.size()]);
      if (of[p] == null) {
        int[] table = domains.get(per);
        of[p] = model.intVar(per + "" + p, 0, names.get(per).size() - 1);
        model.element(of[p], table, at[p]).post();
      }
      return of[p];
    }

    private void apart(PlacementConstraint r, PlacementConstraint.AntiAffinity a) {
      List<IntVar> each = new ArrayList<>();
      for (int u = 0; u < at.length; u++) {
        if (of(r.scope(), parts.get(u)) && of(a.other(), parts.get(u))) {
          each.add(in(u, a.level()));
        }
      }
      if (each.size() > 1 && !ofKinds) {
        model.allDifferent(each.toArray(new IntVar[0])).post();
      }
      for (int u = 0; u < at.length; u++) {
        for (int w = 0; w < at.length; w++) {
          boolean both = of(r.scope(), parts.get(w)) && of(a.other(), parts.get(u));
          if (u != w && of(r.scope(), parts.get(u)) && of(a.other(), parts.get(w)) && !both) {
            model.arithm(in(u, a.level()), "!=", in(w, a.level())).post();
          }
        }
      }
    }

    private void most(PlacementConstraint r, PlacementConstraint.SpreadLimit m) {
      int most = m.limitPerScheduler(placers);
      Map<Long, List<Integer>> kin = new TreeMap<>();
      for (int p = 0; p < at.length; p++) {
        if (of(r.scope(), parts.get(p))) {
          kin.computeIfAbsent(
                  m.perService() ? parts.get(p).vm().service() : ConstraintIndex.ANY,
                  s -> new ArrayList<>())
              .add(p);
        }
      }
      kin.forEach(
          (service, some) -> {
            Map<String, Integer> counts = held(r.scope(), m.level(), service);
            int fewestLeft =
                most - counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
            if (some.size() <= fewestLeft) {
              return;
            }
            IntVar[] vars = some.stream().map(p -> in(p, m.level())).toArray(IntVar[]::new);
            if (most == 1) {
              model.allDifferent(vars).post();
              return;
            }
            List<String> all = names.get(m.level());
            int[] values = new int[all.size()];
            IntVar[] times = new IntVar[values.length];
            for (int i = 0; i < values.length; i++) {
              values[i] = i;
              times[i] =
                  model.intVar(
                      0,
                      Math.max(
                          0, Math.min(some.size(), most - counts.getOrDefault(all.get(i), 0))));
            }
            model.globalCardinality(vars, values, times, false).post();
          });
    }

    private void near(PlacementConstraint r, PlacementConstraint.Affinity n) {
      Map<String, Integer> counts =
          held.getOrDefault(new Held(n.other(), n.level(), ConstraintIndex.ANY, true), Map.of());
      int[] already =
          java.util.stream.IntStream.range(0, names.get(n.level()).size())
              .filter(i -> counts.containsKey(names.get(n.level()).get(i)))
              .toArray();
      boolean away = already.length == 0 && !counts.isEmpty();
      for (int u = 0; u < at.length; u++) {
        if (!of(r.scope(), parts.get(u))) {
          continue;
        }
        List<Constraint> ways = new ArrayList<>();
        if (already.length > 0) {
          ways.add(model.member(in(u, n.level()), already));
        }
        for (int w = 0; w < at.length; w++) {
          if (w != u && of(n.other(), parts.get(w))) {
            ways.add(model.arithm(in(u, n.level()), "=", in(w, n.level())));
          }
        }
        if (ways.size() == 1) {
          ways.get(0).post();
        } else if (!ways.isEmpty()) {
          model.or(ways.stream().map(Constraint::reify).toArray(BoolVar[]::new)).post();
        } else if (away) {
          impossible = true;
        }
      }
    }

    private interface OfPart {
      double of(int part);
    }

    /** No machine takes more than it has; only where that could happen at all. */
    private void pack(OfPart size, OfPart has) {
      int[] sizes = new int[at.length];
      long sum = 0;
      for (int p = 0; p < sizes.length; p++) {
        sizes[p] = (int) Math.floor(size.of(p) * SCALE);
        sum += sizes[p];
      }
      IntVar[] loads = new IntVar[spots.size()];
      boolean tight = false;
      for (int m = 0; m < loads.length; m++) {
        long most = Math.max(0, (long) Math.ceil(Math.min(has.of(m), 1e6) * SCALE));
        tight |= most < sum;
        loads[m] = model.intVar(0, (int) Math.min(most, Math.min(sum, Integer.MAX_VALUE / 4)));
      }
      if (tight) {
        model.binPacking(at, sizes, loads, 0).post();
      }
    }

    FeasibilityResult outcome() {
      if (impossible) {
        return new FeasibilityResult(
            FeasibilityResult.Verdict.INFEASIBLE, Map.of(), List.of(), false);
      }
      model.getSolver().setSearch(Search.domOverWDegSearch(at));
      model.getSolver().limitFail(FAILS);
      model.getSolver().addStopCriterion(stop::getAsBoolean);
      if (model.getSolver().solve()) {
        return new FeasibilityResult(
            FeasibilityResult.Verdict.FEASIBLE, inOrder(), List.of(), false);
      }
      return new FeasibilityResult(
          model.getSolver().isStopCriterionMet()
              ? FeasibilityResult.Verdict.UNKNOWN
              : FeasibilityResult.Verdict.INFEASIBLE,
          Map.of(),
          List.of(),
          false);
    }

    /** Those without a near first: others look for them. */
    private Map<String, String> inOrder() {
      Map<String, String> places = new LinkedHashMap<>();
      for (boolean seeks : new boolean[] {false, true}) {
        for (int p = 0; p < at.length; p++) {
          if (seeks(parts.get(p)) == seeks) {
            places.put(parts.get(p).id(), spots.get(at[p].getValue()).name());
          }
        }
      }
      return places;
    }
  }

  private boolean seeks(GroupMember p) {
    return rules.stream()
        .anyMatch(r -> r.clause() instanceof PlacementConstraint.Affinity && of(r.scope(), p));
  }
}
