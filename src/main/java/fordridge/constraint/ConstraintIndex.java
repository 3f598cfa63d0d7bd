package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Scope;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.roaringbitmap.RoaringBitmap;

/**
 * A set of rules against one placer's VMs and the machines it knows: which machines a VM may go to,
 * kept as bitmaps and counters that change as VMs come and go, so that the cost of a placing does
 * not grow with what runs. Free of I/O.
 *
 * <p>It counts a VM in its place from the instant its claim is sent until it is known not to be
 * there; so a claim that may still run keeps its place. What it counts are this placer's VMs: a
 * bound that is meant over all placers is held by each keeping to its share of it.
 */
public final class ConstraintIndex {
  /** VMs of a scope (and of one service, where each service counts by itself) by domain. */
  private final class Counter {
    final TopologyLevel per;
    final boolean sure;
    final Map<String, Integer> at = new HashMap<>();

    /** Machines of domains that hold any. */
    final RoaringBitmap occupied = new RoaringBitmap();

    int total;

    Counter(TopologyLevel per, boolean sure) {
      this.per = per;
      this.sure = sure;
    }

    int count(String domain) {
      return at.getOrDefault(domain, 0);
    }

    void add(String domain, int by) {
      int n = at.merge(domain, by, Integer::sum);
      total += by;
      if (n == 0) {
        at.remove(domain);
        occupied.andNot(members(per, domain));
      } else if (n == by) {
        occupied.or(members(per, domain));
      }
    }
  }

  /** Counted over all services: no number that a service has. */
  static final long ANY = Long.MIN_VALUE;

  /** With {@code sure}, without those of which it is not known whether they run. */
  private record CounterKey(Scope scope, TopologyLevel per, long service, boolean sure) {
    CounterKey(Scope scope, TopologyLevel per, long service) {
      this(scope, per, service, false);
    }
  }

  /** What of the rules touches VMs of one kin; found once. */
  private static final class ConstraintState {
    final List<PlacementConstraint> about = new ArrayList<>();

    /** Rules of others that keep apart from these. */
    final List<PlacementConstraint> against = new ArrayList<>();

    RoaringBitmap allowed;
    long allowedAt = -1;

    /** The same but for what it must be near. */
    RoaringBitmap anyNear;

    long anyNearAt = -1;

    /** Where each preference is met. */
    final Map<PlacementConstraint, RoaringBitmap> met = new LinkedHashMap<>();

    long metAt = -1;
  }

  private final List<PlacementConstraint> rules;
  private final int placers;
  private final Map<String, Integer> index = new LinkedHashMap<>();
  private final List<MachineTopology> spots = new ArrayList<>();
  private final RoaringBitmap present = new RoaringBitmap();

  /** Of these, the ones that drain: what runs there counts, and nothing new goes there. */
  private final RoaringBitmap drains = new RoaringBitmap();

  private final Map<TopologyLevel, Map<String, RoaringBitmap>> members = new HashMap<>();
  private final Map<PlacementConstraint, RoaringBitmap> on = new HashMap<>();
  private final Map<CounterKey, Counter> counters = new HashMap<>();

  /** Counters that each kin's VMs are counted in. */
  private final Map<VmAttributes, List<Counter>> countedIn = new HashMap<>();

  private final Map<VmAttributes, ConstraintState> matters = new HashMap<>();
  private final Map<Object, Placed> placed = new LinkedHashMap<>();
  private final Set<Object> doubted = new HashSet<>();
  private long version;

  private record Placed(VmAttributes kin, int spot) {}

  /**
   * Takes rules that {@code placers} placers each keep by themselves; refuses what they could not.
   */
  public ConstraintIndex(List<PlacementConstraint> rules, int placers)
      throws UnsatisfiableConstraintsException {
    this.rules = List.copyOf(rules);
    this.placers = placers;
    for (PlacementConstraint r : rules) {
      if (r.clause() instanceof PlacementConstraint.SpreadLimit m
          && m.clusterWide()
          && r.isRequired()
          && m.limit() < placers) {
        throw new UnsatisfiableConstraintsException(
            "rule '"
                + r.name()
                + "' (line "
                + r.line()
                + "): at most "
                + m.limit()
                + " per "
                + m.level()
                + " over all placers cannot be shared among "
                + placers
                + " placers that do not talk; "
                + "allow at least "
                + placers
                + ", or say it of one placer's own VMs");
      }
    }
  }

  public static final int MAX_IMPROVABLE_REPORTED = 100;

  public List<PlacementConstraint> constraints() {
    return rules;
  }

  // ---- Machines
  // --------------------------------------------------------------------------------------

  /**
   * All machines that there are; VMs on those that left stay counted where they were until they are
   * known gone.
   */
  public void machineListReceived(Collection<MachineTopology> all) {
    present.clear();
    for (MachineTopology s : all) {
      Integer i = index.get(s.name());
      if (i == null) {
        i = spots.size();
        index.put(s.name(), i);
        spots.add(s);
      } else if (!spots.get(i).equals(s)) {
        spots.set(i, s);
      }
      present.add(i);
    }
    members.clear();
    on.clear();
    for (int i = 0; i < spots.size(); i++) {
      for (TopologyLevel d : TopologyLevel.values()) {
        members
            .computeIfAbsent(d, x -> new HashMap<>())
            .computeIfAbsent(domain(i, d), x -> new RoaringBitmap())
            .add(i);
      }
    }
    recount();
  }

  /** Which of the machines drain, by name. */
  public void drainingMachinesChanged(Collection<String> names) {
    drains.clear();
    names.stream().map(index::get).filter(Objects::nonNull).forEach(i -> drains.add((int) i));
    version++;
  }

  /** After labels changed: every VM is counted where its machine stands now. */
  private void recount() {
    counters.clear();
    countedIn.clear();
    matters.clear();
    version++;
    placed.forEach((id, p) -> count(id, p, 1));
  }

  private String domain(int spot, TopologyLevel per) {
    return domain(spots.get(spot), per);
  }

  static String domain(MachineTopology s, TopologyLevel per) {
    return switch (per) {
      case MACHINE -> s.name();
      case CELL -> s.zone() + "/" + s.cell();
      case ZONE -> s.zone();
    };
  }

  private RoaringBitmap members(TopologyLevel per, String domain) {
    return members.getOrDefault(per, Map.of()).getOrDefault(domain, EMPTY);
  }

  private static final RoaringBitmap EMPTY = new RoaringBitmap();

  // ---- VMs
  // -------------------------------------------------------------------------------------------

  /** A claim for a VM goes out to a machine; {@code id} is the claim's own. */
  public void attemptSent(Object id, VmAttributes vm, String machine) {
    Integer spot = index.get(machine);
    if (spot == null || placed.containsKey(id)) {
      return;
    }
    Placed p = new Placed(vm, spot);
    placed.put(id, p);
    count(id, p, 1);
    version++;
  }

  /**
   * It may run or not, and nobody waits for it: it keeps its place against every bound, but draws
   * no other near.
   */
  public void attemptOutcomeUnknown(Object id) {
    Placed p = placed.get(id);
    if (p != null && doubted.add(id)) {
      count(p, -1, true);
      version++;
    }
  }

  /** It is known not to be there any more. */
  public void attemptEnded(Object id) {
    Placed p = placed.remove(id);
    if (p != null) {
      count(p, -1, false);
      if (!doubted.remove(id)) {
        count(p, -1, true);
      }
      version++;
    }
  }

  public int attemptCount() {
    return placed.size();
  }

  private void count(Placed p, int by, boolean sure) {
    for (Counter c : countedIn.computeIfAbsent(p.kin, this::countersOf)) {
      if (c.sure == sure) {
        c.add(domain(p.spot, c.per), by);
      }
    }
  }

  /** Counted, or taken out for a while, in all that it counts in. */
  private void count(Object id, Placed p, int by) {
    count(p, by, false);
    if (!doubted.contains(id)) {
      count(p, by, true);
    }
  }

  private List<Counter> countersOf(VmAttributes k) {
    List<Counter> some = new ArrayList<>();
    for (PlacementConstraint r : rules) {
      for (CounterKey key : keys(r, k.service())) {
        if (key.scope.covers(k)) {
          Counter c = counter(key);
          if (!some.contains(c)) {
            some.add(c);
          }
        }
      }
    }
    return some;
  }

  private Counter counter(CounterKey key) {
    return counters.computeIfAbsent(key, k -> new Counter(k.per, k.sure));
  }

  /** What a rule counts. */
  private static List<CounterKey> keys(PlacementConstraint r, long service) {
    if (r.clause() instanceof PlacementConstraint.Affinity n) {
      return List.of(
          new CounterKey(n.other(), n.level(), ANY, true),
          new CounterKey(n.other(), n.level(), ANY));
    }
    if (r.clause() instanceof PlacementConstraint.AntiAffinity a) {
      return List.of(
          new CounterKey(a.other(), a.level(), ANY), new CounterKey(r.scope(), a.level(), ANY));
    }
    if (r.clause() instanceof PlacementConstraint.SpreadLimit m) {
      return List.of(new CounterKey(r.scope(), m.level(), m.perService() ? service : ANY));
    }
    if (r.clause() instanceof PlacementConstraint.SpreadSkew s) {
      return List.of(new CounterKey(r.scope(), s.level(), s.perService() ? service : ANY));
    }
    return List.of();
  }

  // ---- Where a VM may go
  // -----------------------------------------------------------------------------

  /** Whether all required rules let it go there. */
  public boolean isAllowed(VmAttributes vm, String machine) {
    if (rules.isEmpty()) {
      return true;
    }
    Integer spot = index.get(machine);
    return spot != null && allowed(vm).contains(spot);
  }

  /**
   * As {@link #isAllowed}, for a VM whose place near others is settled by a plan for all of its
   * group.
   */
  public boolean isAllowedIgnoringAffinity(VmAttributes vm, String machine) {
    Integer spot = index.get(machine);
    VmAttributes k = vm;
    ConstraintState m = matters.computeIfAbsent(k, this::matter);
    if (m.anyNearAt != version) {
      m.anyNear = open(m, k, false);
      m.anyNearAt = version;
    }
    return spot != null && m.anyNear.contains(spot);
  }

  private RoaringBitmap allowed(VmAttributes k) {
    ConstraintState m = matters.computeIfAbsent(k, this::matter);
    if (m.allowedAt != version) {
      m.allowed = open(m, k, true);
      m.allowedAt = version;
    }
    return m.allowed;
  }

  private RoaringBitmap open(ConstraintState m, VmAttributes k, boolean near) {
    RoaringBitmap a = RoaringBitmap.andNot(present, drains);
    for (PlacementConstraint r : m.about) {
      if (r.isRequired() && (near || !(r.clause() instanceof PlacementConstraint.Affinity))) {
        narrow(a, r, k);
      }
    }
    for (PlacementConstraint r : m.against) {
      PlacementConstraint.AntiAffinity apart = (PlacementConstraint.AntiAffinity) r.clause();
      a.andNot(counter(new CounterKey(r.scope(), apart.level(), ANY)).occupied);
    }
    return a;
  }

  private ConstraintState matter(VmAttributes k) {
    ConstraintState m = new ConstraintState();
    for (PlacementConstraint r : rules) {
      if (r.scope().covers(k)) {
        m.about.add(r);
      }
      if (r.isRequired()
          && r.clause() instanceof PlacementConstraint.AntiAffinity a
          && a.other().covers(k)) {
        m.against.add(r);
      }
    }
    return m;
  }

  /** Takes out of {@code a} what the rule keeps a VM of that kin from. */
  private void narrow(RoaringBitmap a, PlacementConstraint r, VmAttributes k) {
    if (r.clause() instanceof PlacementConstraint.MachineLabels o) {
      a.and(on.computeIfAbsent(r, x -> where(o.predicate())));
    } else if (r.clause() instanceof PlacementConstraint.Affinity n) {
      Counter c = nearTo(n);
      if (c.total > 0) {
        a.and(c.occupied);
      }
    } else if (r.clause() instanceof PlacementConstraint.AntiAffinity ap) {
      a.andNot(counter(new CounterKey(ap.other(), ap.level(), ANY)).occupied);
    } else if (r.clause() instanceof PlacementConstraint.SpreadLimit m) {
      int most = m.limitPerScheduler(placers);
      Counter c = counter(new CounterKey(r.scope(), m.level(), m.perService() ? k.service() : ANY));
      c.at.forEach(
          (domain, n) -> {
            if (n >= most) {
              a.andNot(members(m.level(), domain));
            }
          });
    } else if (r.clause() instanceof PlacementConstraint.SpreadSkew s) {
      Counter c = counter(new CounterKey(r.scope(), s.level(), s.perService() ? k.service() : ANY));
      int least = least(a, s.level(), c);
      c.at.forEach(
          (domain, n) -> {
            if (n + 1 - least > s.maxSkew()) {
              a.andNot(members(s.level(), domain));
            }
          });
    }
  }

  /** Those that are sure to run or on their way; where there are none, those that may. */
  private Counter nearTo(PlacementConstraint.Affinity n) {
    Counter sure = counter(new CounterKey(n.other(), n.level(), ANY, true));
    return sure.total > 0 ? sure : counter(new CounterKey(n.other(), n.level(), ANY));
  }

  /** The fewest in any domain that the VM could go to by the rules before this one. */
  private int least(RoaringBitmap a, TopologyLevel per, Counter c) {
    int least = Integer.MAX_VALUE;
    for (Map.Entry<String, RoaringBitmap> e : members.getOrDefault(per, Map.of()).entrySet()) {
      int n = c.count(e.getKey());
      if (n < least && RoaringBitmap.intersects(a, e.getValue())) {
        least = n;
      }
    }
    return least;
  }

  private RoaringBitmap where(PlacementConstraint.LabelPredicate p) {
    RoaringBitmap b = new RoaringBitmap();
    for (int i = 0; i < spots.size(); i++) {
      if (p.matches(spots.get(i))) {
        b.add(i);
      }
    }
    return b;
  }

  /** Whether any rule speaks of such VMs. */
  public boolean hasConstraintsFor(VmAttributes vm) {
    if (rules.isEmpty()) {
      return false;
    }
    ConstraintState m = matters.computeIfAbsent(vm, this::matter);
    return !m.about.isEmpty() || !m.against.isEmpty();
  }

  /**
   * A smallest set of required rules that no machine of the list can meet together whatever runs
   * where, each needed for that; empty where there is a machine that can.
   */
  public List<PlacementConstraint> findUnsatisfiableConstraints(VmAttributes vm) {
    if (rules.isEmpty() || present.isEmpty()) {
      return List.of();
    }
    List<PlacementConstraint> fixed = new ArrayList<>();
    for (PlacementConstraint r : matters.computeIfAbsent(vm, this::matter).about) {
      if (r.isRequired() && r.clause() instanceof PlacementConstraint.MachineLabels) {
        fixed.add(r);
      }
    }
    if (!meets(fixed).isEmpty()) {
      return List.of();
    }
    for (PlacementConstraint r : List.copyOf(fixed)) {
      List<PlacementConstraint> without = new ArrayList<>(fixed);
      without.remove(r);
      if (meets(without).isEmpty()) {
        fixed = without;
      }
    }
    return fixed;
  }

  private RoaringBitmap meets(List<PlacementConstraint> fixed) {
    RoaringBitmap a = present.clone();
    fixed.forEach(
        r ->
            a.and(
                on.computeIfAbsent(
                    r, x -> where(((PlacementConstraint.MachineLabels) r.clause()).predicate()))));
    return a;
  }

  /**
   * The question whether some VMs can run all at once beside what runs now; {@code room} is asked
   * for every machine by name. It is a copy: what changes later does not bear on it.
   */
  public GroupFeasibility groupFeasibility(
      List<GroupMember> parts, Function<String, MachineCapacity> room) {
    List<PlacementConstraint> some = new ArrayList<>();
    Map<GroupFeasibility.Held, Map<String, Integer>> held = new HashMap<>();
    for (PlacementConstraint r : rules) {
      boolean speaks = false;
      for (GroupMember p : parts) {
        boolean about = r.scope().covers(p.vm());
        if (r.isRequired()
            && (about
                || r.clause() instanceof PlacementConstraint.AntiAffinity a
                    && a.other().covers(p.vm()))) {
          speaks = true;
          if (r.clause() instanceof PlacementConstraint.Affinity n) {
            held.put(
                new GroupFeasibility.Held(n.other(), n.level(), ANY, true),
                Map.copyOf(nearTo(n).at));
            continue;
          }
          for (CounterKey key : keys(r, p.vm().service())) {
            held.put(
                new GroupFeasibility.Held(key.scope, key.per, key.service, false),
                Map.copyOf(counter(key).at));
          }
        }
      }
      if (speaks) {
        some.add(r);
      }
    }
    List<MachineTopology> now = new ArrayList<>();
    RoaringBitmap.andNot(present, drains).forEach((int i) -> now.add(spots.get(i)));
    return new GroupFeasibility(
        now,
        now.stream().map(s -> room.apply(s.name())).toList(),
        parts,
        some,
        placers,
        held,
        false);
  }

  /** The weight of the preferences that a machine goes against; 0 where it meets them all. */
  public double preferencePenalty(VmAttributes vm, String machine) {
    if (rules.isEmpty()) {
      return 0;
    }
    VmAttributes k = vm;
    Integer spot = index.get(machine);
    ConstraintState m = matters.computeIfAbsent(k, this::matter);
    if (m.metAt != version) {
      m.metAt = version;
      m.about.stream()
          .filter(r -> !r.isRequired())
          .forEach(
              r -> {
                RoaringBitmap one = RoaringBitmap.andNot(present, drains);
                narrow(one, r, k);
                m.met.put(r, one);
              });
    }
    double sum = 0;
    for (Map.Entry<PlacementConstraint, RoaringBitmap> e : m.met.entrySet()) {
      sum += spot == null || e.getValue().contains(spot) ? 0 : e.getKey().weight();
    }
    return sum;
  }

  private boolean against(PlacementConstraint r, VmAttributes k, int spot) {
    RoaringBitmap one = RoaringBitmap.andNot(present, drains);
    one.add(spot);
    narrow(one, r, k);
    return !one.contains(spot);
  }

  // ---- For those who ask why
  // -------------------------------------------------------------------------

  /**
   * Every rule, required or preferred, that speaks against the machine; none where it may go there.
   */
  public List<RejectionReason> explainRejection(VmAttributes vm, String machine) {
    VmAttributes k = vm;
    Integer spot = index.get(machine);
    List<RejectionReason> some = new ArrayList<>();
    if (spot == null || !present.contains(spot)) {
      some.add(
          RejectionReason.withoutConstraint(
              RejectionReason.Cause.MACHINE_NOT_LISTED,
              "no machine '" + machine + "' in the list"));
      return some;
    }
    if (drains.contains(spot)) {
      some.add(
          RejectionReason.withoutConstraint(
              RejectionReason.Cause.MACHINE_DRAINING, "it drains: nothing new goes there"));
    }
    ConstraintState m = matters.computeIfAbsent(k, this::matter);
    for (PlacementConstraint r : m.about) {
      if (against(r, k, spot)) {
        some.add(
            RejectionReason.violated(
                r,
                (r.isRequired() ? "required" : "preferred, weight " + Math.round(r.weight()))
                    + ": "
                    + r.clause()
                    + detail(r, k, spot)));
      }
    }
    for (PlacementConstraint r : m.against) {
      PlacementConstraint.AntiAffinity a = (PlacementConstraint.AntiAffinity) r.clause();
      Counter c = counter(new CounterKey(r.scope(), a.level(), ANY));
      if (c.occupied.contains(spot)) {
        some.add(
            RejectionReason.violated(
                r,
                "required of others: "
                    + r.scope()
                    + " keeps apart from these, and "
                    + c.count(domain(spot, a.level()))
                    + " of it run in "
                    + a.level()
                    + " "
                    + domain(spot, a.level())));
      }
    }
    return some;
  }

  private String detail(PlacementConstraint r, VmAttributes k, int spot) {
    for (CounterKey key : keys(r, k.service())) {
      String d = domain(spot, key.per);
      return " (" + counter(key).count(d) + " in " + key.per + " " + d + ")";
    }
    return " (it is kind "
        + spots.get(spot).kind()
        + ", zone "
        + spots.get(spot).zone()
        + ", cell "
        + spots.get(spot).cell()
        + ")";
  }

  /**
   * VMs that run where a new set, or their machine's new labels, would not let them go: named, not
   * stopped.
   */
  public Map<Object, List<RejectionReason>> findViolatingPlacements() {
    Map<Object, List<RejectionReason>> some = new LinkedHashMap<>();
    for (Map.Entry<Object, Placed> e : new ArrayList<>(placed.entrySet())) {
      Placed p = e.getValue();
      List<RejectionReason> why = new ArrayList<>();
      withoutAttempt(
          e.getKey(), () -> why.addAll(explainRejection(p.kin, spots.get(p.spot).name())));
      why.removeIf(
          x ->
              x.constraint().isEmpty()
                  ? drains.contains(p.spot)
                  : !x.constraint().get().isRequired());
      if (!why.isEmpty()) {
        some.put(e.getKey(), why);
      }
    }
    return some;
  }

  /** Looks at the book as if one VM were not there. */
  public void withoutAttempt(Object id, Runnable look) {
    Placed p = placed.get(id);
    if (p == null) {
      look.run();
      return;
    }
    count(id, p, -1);
    version++;
    look.run();
    count(id, p, 1);
    version++;
  }

  /**
   * VMs that a shortage put where they go against preferences that a machine open to them would
   * meet better now, at most so many as are of use to a reader ({@link #MAX_IMPROVABLE_REPORTED});
   * with what speaks against where they are, and one of the machines.
   */
  public Map<Object, List<RejectionReason>> findImprovablePlacements(int most) {
    Map<Object, List<RejectionReason>> some = new LinkedHashMap<>();
    for (Map.Entry<Object, Placed> e : new ArrayList<>(placed.entrySet())) {
      VmAttributes k = e.getValue().kin;
      if (some.size() < most
          && matters.computeIfAbsent(k, this::matter).about.stream()
              .anyMatch(r -> !r.isRequired())) {
        withoutAttempt(
            e.getKey(), () -> stray(e.getKey(), k, spots.get(e.getValue().spot).name(), some));
      }
    }
    return some;
  }

  private void stray(
      Object id, VmAttributes k, String here, Map<Object, List<RejectionReason>> some) {
    double constraintPenalty = preferencePenalty(k, here);
    if (constraintPenalty == 0) {
      return;
    }
    for (int spot : allowed(k)) {
      String there = spots.get(spot).name();
      if (preferencePenalty(k, there) < constraintPenalty) {
        List<RejectionReason> why = explainRejection(k, here);
        why.removeIf(r -> r.cause() != RejectionReason.Cause.PREFERENCE);
        why.add(
            RejectionReason.withoutConstraint(
                RejectionReason.Cause.BETTER_MACHINE_AVAILABLE,
                "machine " + there + " would do better"));
        some.put(id, why);
        return;
      }
    }
  }

  /** The same VMs and machines under another set; the old book is done with. */
  public ConstraintIndex withConstraints(List<PlacementConstraint> others, int amongPlacers)
      throws UnsatisfiableConstraintsException {
    ConstraintIndex b = new ConstraintIndex(others, amongPlacers);
    List<MachineTopology> now = new ArrayList<>();
    present.forEach((int i) -> now.add(spots.get(i)));
    b.spots.addAll(spots);
    b.index.putAll(index);
    b.placed.putAll(placed);
    b.doubted.addAll(doubted);
    b.machineListReceived(now);
    b.drains.or(drains);
    return b;
  }

  @Override
  public String toString() {
    return rules.size()
        + " rules, "
        + present.getCardinality()
        + " machines, "
        + placed.size()
        + " VMs"
        + Objects.toString(counters.size(), "");
  }
}
