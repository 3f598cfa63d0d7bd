package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Domain;
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
  /** A machine's labels. */
  public record MachineTopology(String name, String kind, String zone, int cell) {}

  /** Why a VM may not go to a machine, in the customer's words. */
  public record Reason(PlacementConstraint rule, String what) {}

  /** A set that promises what no placer can keep. */
  public static final class UnsatisfiableConstraintsException extends Exception {
    private static final long serialVersionUID = 1L;

    UnsatisfiableConstraintsException(String what) {
      super(what);
    }
  }

  /** VMs of a scope (and of one service, where each service counts by itself) by domain. */
  private final class Counter {
    final Domain per;
    final boolean sure;
    final Map<String, Integer> at = new HashMap<>();

    /** Machines of domains that hold any. */
    final RoaringBitmap occupied = new RoaringBitmap();

    int total;

    Counter(Domain per, boolean sure) {
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
  private record CounterKey(Scope scope, Domain per, long service, boolean sure) {
    CounterKey(Scope scope, Domain per, long service) {
      this(scope, per, service, false);
    }
  }

  private record VmKind(String tenant, String priorityClass, long service) {}

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

  private final Map<Domain, Map<String, RoaringBitmap>> members = new HashMap<>();
  private final Map<PlacementConstraint, RoaringBitmap> on = new HashMap<>();
  private final Map<CounterKey, Counter> counters = new HashMap<>();

  /** Counters that each kin's VMs are counted in. */
  private final Map<VmKind, List<Counter>> countedIn = new HashMap<>();

  private final Map<VmKind, ConstraintState> matters = new HashMap<>();
  private final Map<Object, Placed> placed = new LinkedHashMap<>();
  private final Set<Object> doubted = new HashSet<>();
  private long version;

  private record Placed(VmKind kin, int spot) {}

  /**
   * Takes rules that {@code placers} placers each keep by themselves; refuses what they could not.
   */
  public ConstraintIndex(List<PlacementConstraint> rules, int placers)
      throws UnsatisfiableConstraintsException {
    this.rules = List.copyOf(rules);
    this.placers = placers;
    for (PlacementConstraint r : rules) {
      if (r.clause() instanceof PlacementConstraint.Most m
          && m.overall()
          && r.required()
          && m.most() < placers) {
        throw new UnsatisfiableConstraintsException(
            "rule '"
                + r.name()
                + "' (line "
                + r.line()
                + "): at most "
                + m.most()
                + " per "
                + m.per()
                + " over all placers cannot be shared among "
                + placers
                + " placers that do not talk; "
                + "allow at least "
                + placers
                + ", or say it of one placer's own VMs");
      }
    }
  }

  public static final int MOST_STRAYED = 100;

  public List<PlacementConstraint> rules() {
    return rules;
  }

  // ---- Machines
  // --------------------------------------------------------------------------------------

  /**
   * All machines that there are; VMs on those that left stay counted where they were until they are
   * known gone.
   */
  public void machines(Collection<MachineTopology> all) {
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
      for (Domain d : Domain.values()) {
        members
            .computeIfAbsent(d, x -> new HashMap<>())
            .computeIfAbsent(domain(i, d), x -> new RoaringBitmap())
            .add(i);
      }
    }
    recount();
  }

  /** Which of the machines drain, by name. */
  public void draining(Collection<String> names) {
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

  private String domain(int spot, Domain per) {
    return domain(spots.get(spot), per);
  }

  static String domain(MachineTopology s, Domain per) {
    return switch (per) {
      case MACHINE -> s.name();
      case CELL -> s.zone() + "/" + s.cell();
      case ZONE -> s.zone();
    };
  }

  private RoaringBitmap members(Domain per, String domain) {
    return members.getOrDefault(per, Map.of()).getOrDefault(domain, EMPTY);
  }

  private static final RoaringBitmap EMPTY = new RoaringBitmap();

  // ---- VMs
  // -------------------------------------------------------------------------------------------

  /** A claim for a VM goes out to a machine; {@code id} is the claim's own. */
  public void goes(Object id, String tenant, String priorityClass, long service, String machine) {
    Integer spot = index.get(machine);
    if (spot == null || placed.containsKey(id)) {
      return;
    }
    Placed p = new Placed(new VmKind(tenant, priorityClass, service), spot);
    placed.put(id, p);
    count(id, p, 1);
    version++;
  }

  /**
   * It may run or not, and nobody waits for it: it keeps its place against every bound, but draws
   * no other near.
   */
  public void doubted(Object id) {
    Placed p = placed.get(id);
    if (p != null && doubted.add(id)) {
      count(p, -1, true);
      version++;
    }
  }

  /** It is known not to be there any more. */
  public void gone(Object id) {
    Placed p = placed.remove(id);
    if (p != null) {
      count(p, -1, false);
      if (!doubted.remove(id)) {
        count(p, -1, true);
      }
      version++;
    }
  }

  public int size() {
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

  private List<Counter> countersOf(VmKind k) {
    List<Counter> some = new ArrayList<>();
    for (PlacementConstraint r : rules) {
      for (CounterKey key : keys(r, k.service)) {
        if (key.scope.covers(k.tenant, k.priorityClass, k.service)) {
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
    if (r.clause() instanceof PlacementConstraint.Near n) {
      return List.of(
          new CounterKey(n.other(), n.per(), ANY, true), new CounterKey(n.other(), n.per(), ANY));
    }
    if (r.clause() instanceof PlacementConstraint.Apart a) {
      return List.of(
          new CounterKey(a.other(), a.per(), ANY), new CounterKey(r.scope(), a.per(), ANY));
    }
    if (r.clause() instanceof PlacementConstraint.Most m) {
      return List.of(new CounterKey(r.scope(), m.per(), m.eachService() ? service : ANY));
    }
    if (r.clause() instanceof PlacementConstraint.Skew s) {
      return List.of(new CounterKey(r.scope(), s.per(), s.eachService() ? service : ANY));
    }
    return List.of();
  }

  // ---- Where a VM may go
  // -----------------------------------------------------------------------------

  /** Whether all required rules let it go there. */
  public boolean allows(String tenant, String priorityClass, long service, String machine) {
    if (rules.isEmpty()) {
      return true;
    }
    Integer spot = index.get(machine);
    return spot != null && allowed(new VmKind(tenant, priorityClass, service)).contains(spot);
  }

  /**
   * As {@link #allows}, for a VM whose place near others is settled by a plan for all of its group.
   */
  public boolean allowsButNear(String tenant, String priorityClass, long service, String machine) {
    Integer spot = index.get(machine);
    VmKind k = new VmKind(tenant, priorityClass, service);
    ConstraintState m = matters.computeIfAbsent(k, this::matter);
    if (m.anyNearAt != version) {
      m.anyNear = open(m, k, false);
      m.anyNearAt = version;
    }
    return spot != null && m.anyNear.contains(spot);
  }

  private RoaringBitmap allowed(VmKind k) {
    ConstraintState m = matters.computeIfAbsent(k, this::matter);
    if (m.allowedAt != version) {
      m.allowed = open(m, k, true);
      m.allowedAt = version;
    }
    return m.allowed;
  }

  private RoaringBitmap open(ConstraintState m, VmKind k, boolean near) {
    RoaringBitmap a = RoaringBitmap.andNot(present, drains);
    for (PlacementConstraint r : m.about) {
      if (r.required() && (near || !(r.clause() instanceof PlacementConstraint.Near))) {
        narrow(a, r, k);
      }
    }
    for (PlacementConstraint r : m.against) {
      PlacementConstraint.Apart apart = (PlacementConstraint.Apart) r.clause();
      a.andNot(counter(new CounterKey(r.scope(), apart.per(), ANY)).occupied);
    }
    return a;
  }

  private ConstraintState matter(VmKind k) {
    ConstraintState m = new ConstraintState();
    for (PlacementConstraint r : rules) {
      if (r.scope().covers(k.tenant, k.priorityClass, k.service)) {
        m.about.add(r);
      }
      if (r.required()
          && r.clause() instanceof PlacementConstraint.Apart a
          && a.other().covers(k.tenant, k.priorityClass, k.service)) {
        m.against.add(r);
      }
    }
    return m;
  }

  /** Takes out of {@code a} what the rule keeps a VM of that kin from. */
  private void narrow(RoaringBitmap a, PlacementConstraint r, VmKind k) {
    if (r.clause() instanceof PlacementConstraint.On o) {
      a.and(on.computeIfAbsent(r, x -> where(o.where())));
    } else if (r.clause() instanceof PlacementConstraint.Near n) {
      Counter c = nearTo(n);
      if (c.total > 0) {
        a.and(c.occupied);
      }
    } else if (r.clause() instanceof PlacementConstraint.Apart ap) {
      a.andNot(counter(new CounterKey(ap.other(), ap.per(), ANY)).occupied);
    } else if (r.clause() instanceof PlacementConstraint.Most m) {
      int most = share(m, placers);
      Counter c = counter(new CounterKey(r.scope(), m.per(), m.eachService() ? k.service : ANY));
      c.at.forEach(
          (domain, n) -> {
            if (n >= most) {
              a.andNot(members(m.per(), domain));
            }
          });
    } else if (r.clause() instanceof PlacementConstraint.Skew s) {
      Counter c = counter(new CounterKey(r.scope(), s.per(), s.eachService() ? k.service : ANY));
      int least = least(a, s.per(), c);
      c.at.forEach(
          (domain, n) -> {
            if (n + 1 - least > s.skew()) {
              a.andNot(members(s.per(), domain));
            }
          });
    }
  }

  /** Those that are sure to run or on their way; where there are none, those that may. */
  private Counter nearTo(PlacementConstraint.Near n) {
    Counter sure = counter(new CounterKey(n.other(), n.per(), ANY, true));
    return sure.total > 0 ? sure : counter(new CounterKey(n.other(), n.per(), ANY));
  }

  /** How many one placer may have. */
  static int share(PlacementConstraint.Most m, int placers) {
    return m.overall() ? Math.max(1, m.most() / placers) : m.most();
  }

  /** The fewest in any domain that the VM could go to by the rules before this one. */
  private int least(RoaringBitmap a, Domain per, Counter c) {
    int least = Integer.MAX_VALUE;
    for (Map.Entry<String, RoaringBitmap> e : members.getOrDefault(per, Map.of()).entrySet()) {
      int n = c.count(e.getKey());
      if (n < least && RoaringBitmap.intersects(a, e.getValue())) {
        least = n;
      }
    }
    return least;
  }

  private RoaringBitmap where(PlacementConstraint.Predicate p) {
    RoaringBitmap b = new RoaringBitmap();
    for (int i = 0; i < spots.size(); i++) {
      if (holds(p, spots.get(i))) {
        b.add(i);
      }
    }
    return b;
  }

  static boolean holds(PlacementConstraint.Predicate p, MachineTopology s) {
    if (p instanceof PlacementConstraint.Label l) {
      return l.values()
          .contains(
              switch (l.field()) {
                case "kind" -> s.kind();
                case "zone" -> s.zone();
                case "cell" -> Integer.toString(s.cell());
                default -> s.name();
              });
    }
    if (p instanceof PlacementConstraint.Not n) {
      return !holds(n.of(), s);
    }
    if (p instanceof PlacementConstraint.Both b) {
      return holds(b.a(), s) && holds(b.b(), s);
    }
    PlacementConstraint.Either e = (PlacementConstraint.Either) p;
    return holds(e.a(), s) || holds(e.b(), s);
  }

  /** Whether any rule speaks of such VMs. */
  public boolean touches(String tenant, String priorityClass, long service) {
    if (rules.isEmpty()) {
      return false;
    }
    ConstraintState m =
        matters.computeIfAbsent(new VmKind(tenant, priorityClass, service), this::matter);
    return !m.about.isEmpty() || !m.against.isEmpty();
  }

  /**
   * A smallest set of required rules that no machine of the list can meet together whatever runs
   * where, each needed for that; empty where there is a machine that can.
   */
  public List<PlacementConstraint> conflict(String tenant, String priorityClass, long service) {
    if (rules.isEmpty() || present.isEmpty()) {
      return List.of();
    }
    List<PlacementConstraint> fixed = new ArrayList<>();
    for (PlacementConstraint r :
        matters.computeIfAbsent(new VmKind(tenant, priorityClass, service), this::matter).about) {
      if (r.required() && r.clause() instanceof PlacementConstraint.On) {
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
                on.computeIfAbsent(r, x -> where(((PlacementConstraint.On) r.clause()).where()))));
    return a;
  }

  /**
   * The question whether some VMs can run all at once beside what runs now; {@code room} is asked
   * for every machine by name. It is a copy: what changes later does not bear on it.
   */
  public GroupFeasibility together(
      List<GroupFeasibility.Part> parts, Function<String, GroupFeasibility.Room> room) {
    List<PlacementConstraint> some = new ArrayList<>();
    Map<GroupFeasibility.Held, Map<String, Integer>> held = new HashMap<>();
    for (PlacementConstraint r : rules) {
      boolean speaks = false;
      for (GroupFeasibility.Part p : parts) {
        boolean about = r.scope().covers(p.tenant(), p.priorityClass(), p.service());
        if (r.required()
            && (about
                || r.clause() instanceof PlacementConstraint.Apart a
                    && a.other().covers(p.tenant(), p.priorityClass(), p.service()))) {
          speaks = true;
          if (r.clause() instanceof PlacementConstraint.Near n) {
            held.put(
                new GroupFeasibility.Held(n.other(), n.per(), ANY, true), Map.copyOf(nearTo(n).at));
            continue;
          }
          for (CounterKey key : keys(r, p.service())) {
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
  public double constraintPenalty(
      String tenant, String priorityClass, long service, String machine) {
    if (rules.isEmpty()) {
      return 0;
    }
    VmKind k = new VmKind(tenant, priorityClass, service);
    Integer spot = index.get(machine);
    ConstraintState m = matters.computeIfAbsent(k, this::matter);
    if (m.metAt != version) {
      m.metAt = version;
      m.about.stream()
          .filter(r -> !r.required())
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

  private boolean against(PlacementConstraint r, VmKind k, int spot) {
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
  public List<Reason> why(String tenant, String priorityClass, long service, String machine) {
    VmKind k = new VmKind(tenant, priorityClass, service);
    Integer spot = index.get(machine);
    List<Reason> some = new ArrayList<>();
    if (spot == null || !present.contains(spot)) {
      some.add(new Reason(null, "no machine '" + machine + "' in the list"));
      return some;
    }
    if (drains.contains(spot)) {
      some.add(new Reason(null, "it drains: nothing new goes there"));
    }
    ConstraintState m = matters.computeIfAbsent(k, this::matter);
    for (PlacementConstraint r : m.about) {
      if (against(r, k, spot)) {
        some.add(
            new Reason(
                r,
                (r.required() ? "required" : "preferred, weight " + Math.round(r.weight()))
                    + ": "
                    + r.clause()
                    + detail(r, k, spot)));
      }
    }
    for (PlacementConstraint r : m.against) {
      PlacementConstraint.Apart a = (PlacementConstraint.Apart) r.clause();
      Counter c = counter(new CounterKey(r.scope(), a.per(), ANY));
      if (c.occupied.contains(spot)) {
        some.add(
            new Reason(
                r,
                "required of others: "
                    + r.scope()
                    + " keeps apart from these, and "
                    + c.count(domain(spot, a.per()))
                    + " of it run in "
                    + a.per()
                    + " "
                    + domain(spot, a.per())));
      }
    }
    return some;
  }

  private String detail(PlacementConstraint r, VmKind k, int spot) {
    for (CounterKey key : keys(r, k.service)) {
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
  public Map<Object, List<Reason>> misfits() {
    Map<Object, List<Reason>> some = new LinkedHashMap<>();
    for (Map.Entry<Object, Placed> e : new ArrayList<>(placed.entrySet())) {
      Placed p = e.getValue();
      List<Reason> why = new ArrayList<>();
      without(
          e.getKey(),
          () ->
              why.addAll(
                  why(p.kin.tenant, p.kin.priorityClass, p.kin.service, spots.get(p.spot).name())));
      why.removeIf(x -> x.rule() == null ? drains.contains(p.spot) : !x.rule().required());
      if (!why.isEmpty()) {
        some.put(e.getKey(), why);
      }
    }
    return some;
  }

  /** Looks at the book as if one VM were not there. */
  public void without(Object id, Runnable look) {
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
   * meet better now, at most so many as are of use to a reader ({@link #MOST_STRAYED}); with what
   * speaks against where they are, and one of the machines.
   */
  public Map<Object, List<Reason>> strayed(int most) {
    Map<Object, List<Reason>> some = new LinkedHashMap<>();
    for (Map.Entry<Object, Placed> e : new ArrayList<>(placed.entrySet())) {
      VmKind k = e.getValue().kin;
      if (some.size() < most
          && matters.computeIfAbsent(k, this::matter).about.stream().anyMatch(r -> !r.required())) {
        without(e.getKey(), () -> stray(e.getKey(), k, spots.get(e.getValue().spot).name(), some));
      }
    }
    return some;
  }

  private void stray(Object id, VmKind k, String here, Map<Object, List<Reason>> some) {
    double constraintPenalty = constraintPenalty(k.tenant, k.priorityClass, k.service, here);
    if (constraintPenalty == 0) {
      return;
    }
    for (int spot : allowed(k)) {
      String there = spots.get(spot).name();
      if (constraintPenalty(k.tenant, k.priorityClass, k.service, there) < constraintPenalty) {
        List<Reason> why = why(k.tenant, k.priorityClass, k.service, here);
        why.removeIf(r -> r.rule() == null || r.rule().required());
        why.add(new Reason(null, "machine " + there + " would do better"));
        some.put(id, why);
        return;
      }
    }
  }

  /** The same VMs and machines under another set; the old book is done with. */
  public ConstraintIndex with(List<PlacementConstraint> others, int amongPlacers)
      throws UnsatisfiableConstraintsException {
    ConstraintIndex b = new ConstraintIndex(others, amongPlacers);
    List<MachineTopology> now = new ArrayList<>();
    present.forEach((int i) -> now.add(spots.get(i)));
    b.spots.addAll(spots);
    b.index.putAll(index);
    b.placed.putAll(placed);
    b.doubted.addAll(doubted);
    b.machines(now);
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
