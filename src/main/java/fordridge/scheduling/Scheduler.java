package fordridge.scheduling;

import static fordridge.model.Durations.ofSeconds;
import static fordridge.model.Durations.scale;
import static fordridge.model.Durations.toSeconds;

import fordridge.model.*;
import fordridge.model.Machine.Lifecycle;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.*;
import java.util.function.*;

/**
 * All decisions of one placer: utilization-aware placing after UBIS (docs/design.md), with the
 * guards that its users' five rules need. One object is one instance; it shares nothing and keeps
 * no thread.
 *
 * <p>To call it: {@link #at} with the time, then one input ({@link #start} first, {@link #listed}
 * between {@link #listBegins} and {@link #listEnds}, {@link #arrives}, {@link #bound}, {@link
 * #ended} and so on). It acts through {@link SchedulerActions} before the call returns. The state
 * it works on is in {@code fordridge.model}.
 */
public final class Scheduler {
  /**
   * One step of the list gone through after every input: where the condition holds, the effect
   * follows.
   */
  private record Rule(BooleanSupplier when, Runnable then) {}

  /** Settings of a priority class and what was learned of it. */
  private static final class ClassState {
    PriorityClass settings;
    double life;
    double startWarm;
    double startCold;

    /** How many came, new or again. */
    double seen;
  }

  static final Duration DEFAULT_DETECTION_TIMEOUT = Duration.ofSeconds(3);
  static final Duration DEFAULT_POLL_INTERVAL = Duration.ofSeconds(10);
  static final Duration DEFAULT_START_OBJECTIVE = Duration.ofSeconds(1);
  static final Duration DEFAULT_START_DEADLINE = Duration.ofSeconds(5);
  static final int DEFAULT_MAX_ATTEMPTS = 4;
  static final Duration DEFAULT_WARM_UP_TIME = Duration.ofSeconds(20);
  static final Duration DEFAULT_OVERLOAD_SPAN = Duration.ofSeconds(1);
  static final double DEFAULT_INITIAL_SHARE = 0.2;

  private static final double THRESHOLD = 0.9;

  /**
   * That of memory for flavours under the top rank: those above find the rest in time when it is
   * full.
   */
  private static final double SPARING = 0.75;

  private static final int SAMPLE = 3;

  /** What reports told to other placers may cost, as a part of what all VMs are worth. */
  private static final double TALK = 0.005;

  /**
   * Grief from which a machine is left alone, if it also stands out from the fleet by as many
   * times.
   */
  private static final double SHUNNED = 3;

  private final SchedulerActions actions;
  private final SchedulerState me = new SchedulerState();
  private final Map<String, ClassState> priorityClasses = new TreeMap<>();

  /** Customers and flavours as notes number them. */
  private final List<TenantClass> kins = new ArrayList<>();

  /** Kinds of machine that some flavour cannot do without. */
  private final Set<String> neededKinds = new HashSet<>();

  private final List<Rule> rules =
      List.of(
          // The list first: nothing is placed on hearsay that the terms no longer count as told.
          new Rule(this::listWanted, this::askForList),
          new Rule(() -> me.stopping && !me.held.isEmpty(), () -> giveUp(me.held.takeFirst())),
          // What can be placed is placed before anything is given up.
          new Rule(() -> !me.untried.isEmpty(), () -> tryOrHold(me.untried.removeFirst())),
          new Rule(
              () -> me.lookAgain && !me.held.isEmpty() && !me.now.equals(me.lookedAt),
              this::tryHeld),
          new Rule(() -> me.now.compareTo(me.probeAt) >= 0, this::probeStale),
          new Rule(
              () -> me.wakeAt == null && (!me.held.isEmpty() || asks() && !me.following),
              this::setWake));
  private int topRank;
  private boolean whole;
  private Duration settle;
  private double usedCores = Double.NaN;
  private double usedMemory = Double.NaN;
  private double askedCores;
  private double knownPart;
  private double usedPerAsk;
  private double usedPerAskMemory;

  /** What own VMs have been told to use, as a share of their asks. */
  private RunningMean coresRatio;

  private RunningMean memoryRatio;
  private double fleetGrief;
  private Duration summedAt;

  public Scheduler(SchedulerActions actions) {
    this.actions = actions;
  }

  public void advanceTo(Duration now) {
    if (!now.equals(me.now)) {
      me.without.clear();
    }
    me.now = now;
  }

  public void start(long seed, SchedulerSettings settings) {
    me.chance = new SeededRandom(seed);
    me.startedAt = me.now;
    me.settings = settings;
    me.placers = settings.schedulerCount();
    // Until notes tell, use is what lets a machine bear all it accepts: a high guess opens too
    // many.
    coresRatio = new RunningMean(1 / me.settings.capacity().acceptedCoresFactor());
    memoryRatio = new RunningMean(1 / me.settings.capacity().acceptedMemoryFactor());
    readTerms();
    settleRules();
  }

  /**
   * Other terms hold from now on; flavours keep what was learned; none may leave or change its
   * effect.
   */
  public void settingsChanged(SchedulerSettings settings) {
    me.settings = settings;
    readTerms();
    lookAgain();
  }

  private void readTerms() {
    settle = me.settings.detectionTimeout();
    neededKinds.clear();
    topRank = 0;
    for (PriorityClass c : me.settings.priorityClasses()) {
      ClassState f = priorityClasses.computeIfAbsent(c.name(), name -> new ClassState());
      f.settings = c;
      topRank = Math.max(topRank, c.rank());
      if (f.life == 0) {
        f.life = Math.max(1, c.startValueSeconds());
        f.startWarm = toSeconds(c.startObjective()) / 2;
        f.startCold = 2 * toSeconds(c.startObjective());
      }
      if (c.requiredKind() != null) {
        neededKinds.add(c.requiredKind());
      }
    }
    kins.clear();
    for (String tenant : me.settings.tenants()) {
      priorityClasses.keySet().forEach(f -> kins.add(new TenantClass(tenant, f)));
    }
  }

  /**
   * A list follows: whole (what it does not name is gone) or changes; {@code old} if it may be
   * stale.
   */
  public void machineListStarted(boolean isWhole, boolean old) {
    whole = isWhole;
    if (!old) {
      me.asked = false;
      me.following = true;
    }
    me.heardListAt = me.now;
    if (whole) {
      me.machines.forEach(m -> m.listedAt = null);
    }
  }

  public void machineListed(Machine m, Lifecycle lifecycle, Duration startedAt) {
    if (!m.isListed) {
      m.isListed = true;
      me.machines.add(m);
      me.byName.put(
          GossipCodec.name(m.id), me.byName.containsKey(GossipCodec.name(m.id)) ? null : m);
    }
    if (startedAt != null && !startedAt.equals(m.startedAt)) {
      m.programs.values().removeIf(p -> p.held == 0);
      m.reportedAt = null;
      m.ejectedUntil = Duration.ZERO;
    }
    MachineKind kind = MachineKind.UNKNOWN;
    for (MachineKind k : me.settings.machineKinds()) {
      if (k.name().equals(m.kind)) {
        kind = k;
        break;
      }
    }
    m.cores = kind.cores();
    m.memory = kind.memory();
    m.startedAt = startedAt;
    m.lifecycle = lifecycle;
    m.listedAt = me.now;
  }

  public void machineListCompleted() {
    if (whole) {
      for (Machine m : me.machines) {
        if (m.listedAt == null) {
          m.lifecycle = Lifecycle.GONE;
        }
      }
    }
    meanUse();
    lookAgain();
  }

  public void machineListFailed() {
    me.asked = false;
    me.following = false;
    me.askListAt = me.now.plus(scale(settle, 1.0 / 4));
    settleRules();
  }

  public void vmRequested(Vm vm) {
    me.arrivals++;
    priorityClass(vm).seen++;
    me.untried.add(vm);
    settleRules();
  }

  /** A VM that runs already: it counts as placed by this placer. */
  public void vmAdopted(Vm vm, Machine m) {
    PlacementAttempt c = new PlacementAttempt(vm, m, 0, me.now);
    vm.attempts.add(c);
    vm.acceptedAttempt = c;
    c.acceptedAt = me.now;
    c.runningSince = me.now;
    holds(c);
    settleRules();
  }

  public void attemptAccepted(PlacementAttempt c) {
    c.machine.unansweredAttempts.remove(c);
    c.acceptedAt = me.now;
    Machine.RejectionBackoff r = refusal(c.vm.tenantClass(), c.machine);
    r.span = r.span.dividedBy(2);
    r.tookAt = me.now;
    c.vm.acceptedAttempt = c;
    if (me.settings.attempts().acceptance() == SchedulerSettings.AcceptanceMode.RUNNING) {
      started(c);
    }
    lookAgain();
  }

  /** A bound VM runs (told where the yes comes at acceptance). */
  public void vmStarted(PlacementAttempt c) {
    if (c.runningSince == null) {
      started(c);
    }
    settleRules();
  }

  public void coreUsageReported(PlacementAttempt c, double amount) {
    coresRatio.hear(amount / c.vm.cores, 64);
  }

  public void memoryUsageReported(PlacementAttempt c, double amount) {
    memoryRatio.hear(amount / c.vm.memory, 64);
  }

  /** A VM is served this share of what it needs. */
  public void serviceLevelReported(PlacementAttempt c, double share) {
    recordFault(c.machine, (1 - share) / 2);
  }

  /** Memory of the machine is getting short: this share is in use. */
  public void memoryPressureReported(PlacementAttempt c, double share) {
    recordFault(c.machine, share / 2);
  }

  public void clientLeft(Vm vm) {
    vm.isFinished = true;
    me.held.remove(vm);
    me.untried.remove(vm);
    settleRules();
  }

  /** The outcome of a claim; {@code over} if the VM needs no answer any more. */
  public void attemptEnded(PlacementAttempt c, Outcome end, OutcomeReason why, boolean over) {
    Machine m = c.machine;
    Vm vm = c.vm;
    boolean wasBound = c.acceptedAt != null;
    c.outcome = end;
    m.unansweredAttempts.remove(c);
    Machine.HostedService p = m.programs.get(vm.service);
    if (--p.held == 0) {
      me.hosts.computeIfPresent(vm.service, (s, on) -> on.remove(m) && on.isEmpty() ? null : on);
    }
    p.lastHeld = me.now;
    m.hostedAttempts.remove(c);
    if (c.hasNeverRun()) {
      m.reservedSinceList.remove(c);
      m.reservedSinceReport.remove(c);
    }
    if (wasBound && end == Outcome.DONE) {
      ClassState f = priorityClass(vm);
      f.life += (toSeconds(me.now.minus(c.acceptedAt)) - f.life) / 16;
    }
    blame(c, end, why, wasBound);
    if (over || wasBound) {
      vm.isFinished = true;
      me.held.remove(vm);
    } else if (!vm.isFinished && vm.inFlightAttempts() == 0) {
      me.untried.add(vm);
    }
    lookAgain();
  }

  /**
   * Something changed, for a machine or at large; told to the others if it is a report, and whole.
   */
  public void loadReported(Machine m) {
    if (m != null
        && me.tellEvery != null
        && me.now.equals(m.reportedAt)
        && Double.isFinite(m.spareCores + m.spareMemory)
        && (m.gossipedAt == null || since(m.gossipedAt).compareTo(me.tellEvery) >= 0)) {
      m.gossipedAt = me.now;
      tell(
          m,
          ""
              + GossipCodec.share(1 - m.spareCores / m.cores)
              + GossipCodec.share(1 - m.spareMemory / m.memory));
    }
    lookAgain();
  }

  public void probeCompleted(Machine m, boolean ok, boolean told, Duration took) {
    m.probing = false;
    if (ok && told) {
      loadReported(m);
    } else if (!ok) {
      recordFault(m, 1);
      tell(m, "");
    }
    lookAgain();
  }

  private void tell(Machine m, String what) {
    if (me.tellEvery != null) {
      actions.gossip(GossipCodec.name(m.id) + what);
    }
  }

  /**
   * A note from another placer, on a machine that our own list names (else it is passed over): what
   * it tells goes by its length. No figure: no answer. One: customer and flavour whose VMs it turns
   * away. Two: cores and memory in use, as good as a report of our own.
   */
  public void gossipReceived(String note) {
    Machine m = note.length() < 3 || note.length() > 5 ? null : me.byName.get(note.substring(0, 3));
    if (m == null) {
      return;
    }
    String what = note.substring(3);
    if (what.isEmpty()) {
      m.ejectedUntil =
          Collections.max(List.of(m.ejectedUntil, me.now.plus(scale(settle, 1.0 / 3))));
    } else if (what.length() == 1) {
      int kin = GossipCodec.whole(what.charAt(0));
      if (kin >= 0 && kin < kins.size()) {
        Machine.RejectionBackoff r = refusal(kins.get(kin), m);
        r.until = Collections.max(List.of(r.until, me.now.plus(scale(settle, 2))));
      }
    } else {
      m.spareCores = (1 - GossipCodec.share(what.charAt(0))) * m.cores;
      m.spareMemory = (1 - GossipCodec.share(what.charAt(1))) * m.memory;
      m.utilization = Double.NaN;
      m.reportedAt = me.now;
      m.gossipedAt = me.now;
      lookAgain();
    }
  }

  /** So many placers share the cluster from now on. */
  public void schedulerCountChanged(int among) {
    me.placers = among;
    lookAgain();
  }

  /** Nothing more is placed: what is held is answered at once, what is out when its claim ends. */
  public void shutdownStarted() {
    me.stopping = true;
    settleRules();
  }

  public void timerFired() {
    me.wakeAt = null;
    lookAgain();
  }

  private void lookAgain() {
    me.lookAgain = true;
    me.without.clear();
    settleRules();
  }

  private void settleRules() {
    for (int i = 0; i < rules.size(); ) {
      Rule r = rules.get(i);
      if (r.when().getAsBoolean()) {
        r.then().run();
        i = 0;
      } else {
        i++;
      }
    }
  }

  private boolean asks() {
    return me.settings.discovery().mode() == SchedulerSettings.DiscoveryMode.WATCH;
  }

  private boolean listWanted() {
    return asks() && !me.following && !me.asked && me.now.compareTo(me.askListAt) >= 0;
  }

  private void askForList() {
    me.asked = true;
    actions.watchMachineList(true);
  }

  /**
   * Rule 3 where the list must be asked for: silence for long enough counts as having been told.
   */
  private boolean listTrusted() {
    // The rule gives four times as long after a call that failed, and only such calls leave it
    // unheard.
    Duration told = me.settings.discovery().pollInterval();
    return !asks() || me.following || since(me.heardListAt).compareTo(told.multipliedBy(4)) < 0;
  }

  private void tryOrHold(Vm vm) {
    if (me.now.compareTo(hopelessAt(vm)) >= 0 || spokenFor(vm) || !placeOrTell(vm)) {
      hold(vm);
    }
  }

  /**
   * In groups of VMs that differ in nothing a machine is chosen by: one without room speaks for
   * all.
   */
  private void hold(Vm vm) {
    if (me.now.compareTo(hopelessAt(vm)) >= 0) {
      giveUp(vm);
      return;
    }
    ClassState f = priorityClass(vm);
    PlacementAttempt last = vm.lastAttempt();
    // Where a claim may have run, earlier machines bind the choice too: such a VM speaks for itself
    // only.
    Object own =
        f.settings.retrySafety() != RetrySafety.IDEMPOTENT && mayHaveRun(vm) != null
            ? vm
            : last == null ? null : last.machine;
    long service =
        f.settings.spreadDomain() == TopologyDomain.NONE && !actions.isConstrained(vm)
            ? 0L
            : vm.service;
    // Behind the others of its rank once its first start can hardly come in time: kept in the order
    // of
    // arrival, an overload would make every start late.
    Duration inTime = vm.arrivedAt.plus(scale(f.settings.startObjective(), 3.0 / 4));
    boolean late = vm.isClientRetry || me.now.compareTo(inTime) >= 0;
    me.held.add(
        vm,
        2 * f.settings.rank() + (late ? 0 : 1),
        List.of(vm.tenantClass(), vm.cores, vm.memory, service, Optional.ofNullable(own), late),
        late ? hopelessAt(vm) : Collections.min(List.of(inTime, hopelessAt(vm))));
  }

  /**
   * Once an instant, whatever is due to be given up or to count as late first; then each group is
   * asked through its oldest VM, by priority, late ones behind, then by age, and asked again only
   * while its VMs find room. So the work for one input grows with the number of shapes held, not of
   * VMs.
   */
  private void tryHeld() {
    me.lookAgain = false;
    me.lookedAt = me.now;
    for (Vm vm = me.held.due(me.now); vm != null; vm = me.held.due(me.now)) {
      hold(vm);
    }
    for (Vm vm = me.held.after(null); vm != null; vm = me.held.after(vm)) {
      if (!spokenFor(vm) && placeOrTell(vm)) {
        me.held.remove(vm);
      }
    }
  }

  private boolean placeOrTell(Vm vm) {
    Machine m = pick(vm);
    boolean plain =
        vm.attempts.isEmpty()
            && priorityClass(vm).settings.spreadDomain() == TopologyDomain.NONE
            && !me.refusedAt.containsKey(vm.tenantClass())
            && !actions.isConstrained(vm);
    if (m != null) {
      attempt(vm, m);
    } else if (plain || noRoomFor(vm)) {
      me.without.add(vm);
    }
    return m != null;
  }

  /**
   * Not for its claims, refusals or its service's spread, but as no machine has room for so much.
   */
  private boolean noRoomFor(Vm vm) {
    ClassState f = priorityClass(vm);
    return withRoom(vm, me.machines.stream().filter(m -> open(f, m)).toList()).isEmpty();
  }

  /** A VM of the flavour that asks for no more found no room since anything could have grown it. */
  private boolean spokenFor(Vm vm) {
    for (Vm o : me.without) {
      if (o.priorityClass.equals(vm.priorityClass)
          && o.cores <= vm.cores
          && o.memory <= vm.memory) {
        return true;
      }
    }
    return false;
  }

  /** Regular room, and only failing that opportunistic room; among what has it, the picker. */
  private Machine pick(Vm vm) {
    PlacementAttempt last = vm.lastAttempt();
    // The last claim waits after a refusal: spent at once, all of them fall on the same late list.
    boolean waits =
        last != null
            && last.outcome == Outcome.FULL
            && vm.attempts.size() + 1 >= me.settings.attempts().maxAttempts()
            && me.now.minus(last.sentAt).compareTo(scale(settle, 1.0 / 6)) < 0;
    if (waits || !listTrusted()) {
      return null;
    }
    if (!me.now.equals(summedAt)) {
      summedAt = me.now;
      me.booked.removeIf(this::clearBooks);
      meanUse();
    }
    List<Machine> can = new ArrayList<>(me.machines);
    ClassState f = priorityClass(vm);
    can.removeIf(m -> !eligible(vm, f, m));
    // While such VMs are refused without a reason, those that took one lately come first: machines
    // that
    // refuse stay empty, and by room alone would draw every try.
    boolean refused = since(me.refusedAt.get(vm.tenantClass())).compareTo(scale(settle, 2)) < 0;
    List<Machine> proven = refused ? can.stream().filter(m -> took(vm, m)).toList() : List.of();
    List<Machine> room = proven.isEmpty() ? proven : withRoom(vm, proven);
    // So do machines where the service runs or, by a hash that all placers share, should run.
    if (room.isEmpty()) {
      List<Machine> used = me.settings.prices().machineInUse() > 0 ? narrow(can, this::inUse) : can;
      List<Machine> homes = RendezvousHashing.of(vm.service, used, SAMPLE);
      room = withRoom(vm, narrow(used, m -> knowsProgram(m, vm.service) || homes.contains(m)));
    }
    // Where machines in use have a price, an empty one is opened only when none in use has room.
    if (room.isEmpty() && me.settings.prices().machineInUse() > 0) {
      room = withRoom(vm, narrow(can, this::inUse));
    }
    room = room.isEmpty() ? withRoom(vm, can) : room;
    // Customers' preferences among what has room; all alike where there are none.
    double least = room.stream().mapToDouble(m -> actions.constraintPenalty(vm, m)).min().orElse(0);
    room = narrow(room, m -> actions.constraintPenalty(vm, m) <= least);
    room = shared(vm, narrow(room, m -> load(m) <= THRESHOLD), room);
    if (priorityClass(vm).settings.requiredKind() == null) {
      // Kinds that some flavour cannot do without are spared, but not till the others are fuller.
      List<Machine> others = narrow(room, m -> !neededKinds.contains(m.kind));
      room = mean(others, this::load) <= mean(room, this::load) ? others : room;
    }
    room = narrow(room, m -> knowsProgram(m, vm.service));
    if (me.settings.prices().otherZone() > 0) {
      room = narrow(room, m -> m.zone.equals(me.settings.zone()));
    }
    return room.isEmpty() ? null : leastGrieved(vm, room);
  }

  /** Regular room first; where none has it, opportunistic room (all flavours are opted in). */
  private List<Machine> withRoom(Vm vm, List<Machine> can) {
    List<Machine> room = shared(vm, having(can, m -> regularRoom(vm, m)), List.of());
    return room.isEmpty() ? having(can, m -> opportunisticRoom(vm, m)) : room;
  }

  /**
   * What all placers prefer by the same late list, others fill before the list tells: where they
   * bind more than the preferred machines have room for, only the part of the VMs that these can
   * hold goes there.
   */
  private List<Machine> shared(Vm vm, List<Machine> preferred, List<Machine> otherwise) {
    double shown = preferred.stream().mapToDouble(m -> m.room).sum();
    return me.chance.next() * unseen(priorityClass(vm)) < shown ? preferred : otherwise;
  }

  /**
   * Cores that others have bound since what the list shows, if all asked for is renewed each life.
   */
  private double unseen(ClassState f) {
    double n = me.placers;
    Duration age = since(me.heardListAt).plus(scale(settle, 1.0 / 3));
    return askedCores / f.life * (n - 1) / n * toSeconds(age);
  }

  private static List<Machine> having(List<Machine> from, ToDoubleFunction<Machine> room) {
    List<Machine> some = new ArrayList<>();
    for (Machine m : from) {
      m.room = room.applyAsDouble(m) * m.cores;
      if (m.room > 0) {
        some.add(m);
      }
    }
    return some;
  }

  private static List<Machine> narrow(List<Machine> from, Predicate<Machine> to) {
    List<Machine> some = new ArrayList<>(from);
    some.removeIf(to.negate());
    return some.isEmpty() ? from : some;
  }

  /**
   * The picker's sample. Where none of the machines is known to have the program, those that rank
   * first for the service, by a hash that all placers share: so they meet where it runs without a
   * word. Else drawn by room: many placers see the same late list, and where each draws evenly, or
   * takes the emptiest, all fill the same few machines before the list shows it.
   */
  private Machine leastGrieved(Vm vm, List<Machine> room) {
    boolean known = knowsProgram(room.get(0), vm.service);
    List<Machine> homes = known ? room : RendezvousHashing.of(vm.service, room, SAMPLE);
    Machine best = null;
    for (int i = 0; i < SAMPLE && i < room.size(); i++) {
      Machine drawn = known ? byRoom(room) : homes.get(i);
      if (best == null || pressure(drawn) < pressure(best)) {
        best = drawn;
      }
    }
    return best;
  }

  private Machine byRoom(List<Machine> room) {
    double at = me.chance.next() * room.stream().mapToDouble(m -> m.room).sum();
    Machine drawn = null;
    for (int k = 0; k < room.size() && at >= 0; k++) {
      drawn = room.get(k);
      at -= drawn.room;
    }
    return drawn;
  }

  private boolean eligible(Vm vm, ClassState f, Machine m) {
    return (m.refusals.isEmpty() || me.now.compareTo(refusal(vm.tenantClass(), m).until) >= 0)
        && open(f, m)
        && allowedAgain(vm, f, m)
        && spreadKept(vm, f, m)
        && actions.constraintPenalty(vm, m) < Double.POSITIVE_INFINITY;
  }

  /**
   * Open to such VMs, whoever owns them, whatever became of their claims, wherever their service
   * runs.
   */
  private boolean open(ClassState f, Machine m) {
    return m.lifecycle == Lifecycle.LIVE
        && (f.settings.requiredKind() == null || f.settings.requiredKind().equals(m.kind))
        && me.now.compareTo(m.ejectedUntil) >= 0
        && coldPaceKept(m)
        && trusted(f, m);
  }

  /**
   * Refusals without a reason, by customer and flavour: a machine that is truly full says of what;
   * one that does not turns these away whatever its room. They leave it alone for spans that grow,
   * and halve with each VM taken; others go on. It also answers a quota or a wrong limit; it may
   * hurt where reasons are never told, as room that frees is then found later.
   */
  private static Machine.RejectionBackoff refusal(TenantClass kin, Machine m) {
    return m.refusals.computeIfAbsent(kin, k -> new Machine.RejectionBackoff());
  }

  private boolean took(Vm vm, Machine m) {
    return !m.refusals.isEmpty()
        && since(refusal(vm.tenantClass(), m).tookAt).compareTo(scale(settle, 4)) < 0;
  }

  /** Room as a share of the size, by the resource that has least; 0 where the VM does not fit. */
  private static double room(Vm vm, Machine m, double cores, double memory) {
    return vm.cores <= cores && vm.memory <= memory
        ? Math.min(cores / m.cores, memory / m.memory)
        : 0;
  }

  private double regularRoom(Vm vm, Machine m) {
    return me.settings.capacity().listsFreeCapacity()
        ? room(
            vm,
            m,
            m.freeCores - m.reservedSinceList.cores,
            m.freeMemory - m.reservedSinceList.memory)
        : 0;
  }

  private double opportunisticRoom(Vm vm, Machine m) {
    ClassState f = priorityClass(vm);
    boolean late = since(vm.arrivedAt).compareTo(scale(f.settings.startObjective(), 1.0 / 8)) >= 0;
    // The more of what comes is of a lower flavour, the more of it must be kept from filling all.
    double part =
        f.settings.rank() < topRank ? Math.min(1, 2 * f.seen / Math.max(1, me.arrivals)) : 0;
    double mine = THRESHOLD - (THRESHOLD - SPARING) * part;
    double level = late ? crowd(f) : THRESHOLD;
    double moreCores = (me.settings.capacity().acceptedCoresFactor() - 1) * m.cores;
    double moreMemory = (me.settings.capacity().acceptedMemoryFactor() - 1) * m.memory;
    double allowed =
        room(
            vm,
            m,
            m.freeCores + moreCores - m.reservedSinceList.cores,
            m.freeMemory + moreMemory - m.reservedSinceList.memory);
    return Math.min(
        allowed,
        room(
            vm,
            m,
            level * m.cores - useCores(m) - m.reservedSinceReport.cores,
            mine * m.memory - useMemory(m) - m.reservedSinceReport.memory));
  }

  /**
   * How busy cores may get for a VM held for a while: where its flavour's service fades slowly, up
   * to the level at which one more start is worth what it takes from those that run; else the
   * threshold.
   */
  private double crowd(ClassState f) {
    double level =
        (f.settings.fullSpeedUtilization()
                + f.settings.degradationSpan() * (1 + f.settings.startValueSeconds() / f.life))
            / 2;
    return Math.max(
        THRESHOLD,
        Math.min(level, f.settings.fullSpeedUtilization() + f.settings.degradationSpan()));
  }

  /**
   * The share of the machine in use, by its last report or the mean, own binds since at learned
   * use; or, if that is more, the share of what it accepts that is asked there: near the top of it
   * others come first.
   */
  private double load(Machine m) {
    double most = me.settings.capacity().acceptedCoresFactor() * m.cores;
    double mostMemory = me.settings.capacity().acceptedMemoryFactor() * m.memory;
    double asked =
        Math.max(
            (m.cores - m.freeCores + m.reservedSinceList.cores) / most,
            (m.memory - m.freeMemory + m.reservedSinceList.memory) / mostMemory);
    return Math.max(
        asked,
        Math.max(
            (useCores(m) + m.reservedSinceReport.cores * coresRatio.value) / m.cores,
            (useMemory(m) + m.reservedSinceReport.memory * memoryRatio.value) / m.memory));
  }

  /**
   * What the picker compares. A report of use past the threshold weighs like a note of pressure:
   * where no notes are sent, or none of our own VMs runs there to send one, it is all that tells of
   * a crowd.
   */
  private double pressure(Machine m) {
    return faultScore(m) + Math.max(0, load(m) - THRESHOLD) / (1 - THRESHOLD);
  }

  /**
   * Own binds leave the books once a list or report that can include them was heard, and not
   * before.
   */
  private boolean clearBooks(Machine m) {
    Duration listed = me.heardListAt.minus(scale(settle, 1.0 / 3));
    while (!m.reservedSinceList.attempts.isEmpty()
        && m.reservedSinceList.attempts.peekFirst().sentAt.compareTo(listed) < 0) {
      m.reservedSinceList.remove(m.reservedSinceList.attempts.peekFirst());
    }
    Duration reported =
        fresh(m) ? m.reportedAt.minus(scale(settle, 1.0 / 6)) : me.now.minus(settle);
    m.reservedSinceReport.attempts.stream()
        .filter(
            c ->
                c.outcome != null
                    || c.runningSince != null && c.runningSince.compareTo(reported) < 0)
        .toList()
        .forEach(m.reservedSinceReport::remove);
    return m.reservedSinceList.attempts.isEmpty() && m.reservedSinceReport.attempts.isEmpty();
  }

  private boolean fresh(Machine m) {
    return m.reportedAt != null
        && !Double.isNaN(m.spareCores)
        && me.now.minus(m.reportedAt).compareTo(scale(settle, 2)) < 0;
  }

  private double useCores(Machine m) {
    return fresh(m) ? usedCores(m) : blend(usedCores, m.cores, m.cores - m.freeCores, usedPerAsk);
  }

  private double useMemory(Machine m) {
    return fresh(m)
        ? usedMemory(m)
        : blend(usedMemory, m.memory, m.memory - m.freeMemory, usedPerAskMemory);
  }

  private double usedCores(Machine m) {
    double used = m.cores - m.spareCores;
    if (me.settings.capacity().reportBasis() == SchedulerSettings.LoadReportBasis.REQUESTED) {
      used *= coresRatio.value;
    }
    return Double.isNaN(m.utilization) ? used : Math.max(used, m.utilization * m.cores);
  }

  private double usedMemory(Machine m) {
    double used = m.memory - m.spareMemory;
    return me.settings.capacity().reportBasis() == SchedulerSettings.LoadReportBasis.REQUESTED
        ? used * memoryRatio.value
        : used;
  }

  /**
   * Use of a machine without a report: the mean of reported use, as far as the fleet reports. Where
   * a placer hears of few machines their mean says little; what the list tells to be asked counts
   * instead.
   */
  private double blend(double meanUsed, double size, double asked, double perAsk) {
    return knownPart * meanUsed * size + (1 - knownPart) * asked * perAsk;
  }

  private void meanUse() {
    List<Machine> live = narrow(me.machines, m -> m.lifecycle == Lifecycle.LIVE && m.cores > 0);
    List<Machine> told = live.stream().filter(this::fresh).toList();
    fleetGrief = mean(live, this::sorrow);
    knownPart = told.size() / Math.max(1.0, live.size());
    askedCores = mean(live, m -> m.cores - m.freeCores) * live.size();
    usedCores = mean(told, m -> usedCores(m) / m.cores);
    usedMemory = mean(told, m -> usedMemory(m) / m.memory);
    double asked = mean(told, m -> 1 - m.freeCores / m.cores);
    double askedMemory = mean(told, m -> 1 - m.freeMemory / m.memory);
    // A note costs as one of 16 bytes or more, to each who hears it; a life is taken as four
    // settlings.
    double starts = askedCores / me.settings.capacity().meanVmCores() / (4 * toSeconds(settle));
    double note = (me.placers - 1) * 16 / 256 * me.settings.prices().gossipMessage();
    double every = Math.max(toSeconds(settle) / 6, live.size() * note / TALK / Math.max(1, starts));
    me.tellEvery =
        me.placers < 2 || every > toSeconds(settle) || !me.settings.monitoring().gossipAllowed()
            ? null
            : ofSeconds(every);
    usedPerAsk = asked > 0 ? usedCores / asked : coresRatio.value;
    usedPerAskMemory = askedMemory > 0 ? usedMemory / askedMemory : memoryRatio.value;
  }

  private static double mean(List<Machine> of, ToDoubleFunction<Machine> what) {
    return of.stream().mapToDouble(what).average().orElse(0);
  }

  private boolean inUse(Machine m) {
    return !m.hostedAttempts.isEmpty() || m.freeCores < m.cores * 0.999;
  }

  private boolean knowsProgram(Machine m, long service) {
    Machine.HostedService p = m.programs.get(service);
    return p != null && (p.held > 0 || me.now.minus(p.lastHeld).compareTo(settle) < 0);
  }

  // ---- Claims and the second rule
  // --------------------------------------------------------------------

  private void attempt(Vm vm, Machine m) {
    PlacementAttempt c = new PlacementAttempt(vm, m, vm.attempts.size(), me.now);
    c.isWarmStart = knowsProgram(m, vm.service);
    c.timeout = within(vm, c);
    vm.attempts.add(c);
    m.reservedSinceList.add(c);
    m.reservedSinceReport.add(c);
    me.booked.add(m);
    m.unansweredAttempts.add(c);
    m.lastAttemptAt = me.now;
    if (cold(m)) {
      m.slowStartAttempts.addLast(me.now);
    }
    holds(c);
    actions.sendAttempt(c, c.timeout);
  }

  private void holds(PlacementAttempt c) {
    c.machine.hostedAttempts.add(c);
    Machine.HostedService p =
        c.machine.programs.computeIfAbsent(c.vm.service, s -> new Machine.HostedService());
    p.held++;
    p.lastHeld = me.now;
    me.hosts.computeIfAbsent(c.vm.service, s -> new HashSet<>()).add(c.machine);
  }

  private Duration within(Vm vm, PlacementAttempt c) {
    ClassState f = priorityClass(vm);
    double start = c.isWarmStart ? f.startWarm : f.startCold;
    Duration wait =
        f.settings.retrySafety() == RetrySafety.IDEMPOTENT
            ? ofSeconds(Math.max(2 * toSeconds(f.settings.startObjective()), 4 * start))
            : scale(f.settings.startDeadline(), 0.5);
    return Collections.min(List.of(wait, vm.deadline.minus(me.now)));
  }

  /** The first claim that may have run, or null. */
  private static PlacementAttempt mayHaveRun(Vm vm) {
    return vm.attempts.stream().filter(c -> !c.hasNeverRun()).findFirst().orElse(null);
  }

  private boolean allowedAgain(Vm vm, ClassState f, Machine m) {
    PlacementAttempt ran = mayHaveRun(vm);
    if (ran == null || f.settings.retrySafety() == RetrySafety.IDEMPOTENT) {
      return vm.lastAttempt() == null || vm.lastAttempt().machine != m;
    }
    if (f.settings.retrySafety() == RetrySafety.NON_IDEMPOTENT
        || me.now.compareTo(ran.sentAt.plus(f.settings.deduplicationWindow())) >= 0) {
      return false;
    }
    return vm.attempts.stream()
        .allMatch(c -> c.hasNeverRun() || f.settings.idempotencyScope().contains(m, c.machine));
  }

  private boolean mayDeny(Vm vm) {
    ClassState f = priorityClass(vm);
    return f.settings.retrySafety() == RetrySafety.IDEMPOTENT
        || mayHaveRun(vm) == null
        || f.settings.retrySafety() == RetrySafety.IDEMPOTENT_WITH_KEY
            && f.settings.idempotencyScope() == TopologyDomain.CLUSTER;
  }

  /** When nothing more can be done for it, or it was held for as long as a VM is held. */
  private Duration hopelessAt(Vm vm) {
    ClassState f = priorityClass(vm);
    if (me.stopping || vm.attempts.size() >= me.settings.attempts().maxAttempts()) {
      return Duration.ZERO;
    }
    Duration most = vm.arrivedAt.plus(scale(vm.deadline.minus(vm.arrivedAt), 7.0 / 8));
    PlacementAttempt ran =
        f.settings.retrySafety() == RetrySafety.IDEMPOTENT ? null : mayHaveRun(vm);
    if (ran == null) {
      return most;
    }
    Duration window = ran.sentAt.plus(f.settings.deduplicationWindow());
    return f.settings.retrySafety() == RetrySafety.NON_IDEMPOTENT
        ? Duration.ZERO
        : window.compareTo(most) < 0 ? window : most;
  }

  private void giveUp(Vm vm) {
    vm.isFinished = true;
    if (mayDeny(vm)) {
      actions.reject(
          vm,
          me.settings.attempts().sendsRetryAfter()
              ? priorityClass(vm).settings.startObjective()
              : Duration.ZERO);
    } else {
      actions.fail(vm);
    }
  }

  private void setWake() {
    // In time for the shortest build timeout: a wake counted in ticks came too late where those are
    // long.
    double shortest =
        priorityClasses.values().stream()
            .mapToDouble(f -> toSeconds(f.settings.startDeadline()))
            .min()
            .orElse(1);
    me.wakeAt = me.now.plus(ofSeconds(shortest / 32));
    actions.scheduleTimer(me.wakeAt.minus(me.now));
  }

  /**
   * Rule 5: what this placer has of the service in one place, with this one, stays within the most.
   */
  private boolean spreadKept(Vm vm, ClassState f, Machine m) {
    if (f.settings.spreadDomain() == TopologyDomain.NONE) {
      return true;
    }
    int there = 1;
    for (Machine o : me.hosts.getOrDefault(vm.service, Set.of())) {
      there += f.settings.spreadDomain().contains(m, o) ? o.programs.get(vm.service).held : 0;
    }
    return there <= f.settings.maxPerDomain();
  }

  private boolean cold(Machine m) {
    return m.startedAt != null
        && me.now.minus(m.startedAt).compareTo(me.settings.slowStart().warmUpTime()) < 0;
  }

  /**
   * Rule 4, and the design's warm-up pace: this placer's part of the offers that a machine which
   * just came up bears, rising with its age from turn to turn. Where it is under one, placers take
   * turns by position, at each machine at another time: else, after an outage, a placer's turn
   * comes everywhere at once.
   */
  private boolean coldPaceKept(Machine m) {
    if (!cold(m)) {
      return true;
    }
    Duration span = me.settings.slowStart().overloadSpan();
    while (!m.slowStartAttempts.isEmpty()
        && m.slowStartAttempts.peekFirst().plus(span).compareTo(me.now) <= 0) {
      m.slowStartAttempts.removeFirst();
    }
    // What an earlier life of this placer sent there is not known: taken as its part of a span.
    if (since(me.startedAt).compareTo(span) < 0 && m.startedAt.compareTo(me.startedAt) < 0) {
      return false;
    }
    long turn = me.now.minus(m.startedAt).toNanos() / span.toNanos();
    double age = turn * toSeconds(span) / toSeconds(me.settings.slowStart().warmUpTime());
    double from = me.settings.slowStart().initialShare();
    double pace = Math.max(0.5, from + (1 - from) * age);
    double part = pace * me.settings.slowStart().attemptsPerSpan() / me.placers;
    if (part >= 1) {
      return m.slowStartAttempts.size() < (int) part;
    }
    long turns = (long) Math.ceil(2 / part);
    return m.slowStartAttempts.isEmpty() && (turn + m.id) % turns == me.settings.position() % turns;
  }

  // ---- Health
  // ----------------------------------------------------------------------------------------

  private void recordFault(Machine m, double by) {
    m.faultScore = faultScore(m) + by;
    m.faultScoreAt = me.now;
  }

  /** Recent trouble, halved over each settling time. */
  private double faultScore(Machine m) {
    return m.faultScore == 0
        ? 0
        : m.faultScore * Math.pow(2, -toSeconds(me.now.minus(m.faultScoreAt)) / toSeconds(settle));
  }

  /** How long the oldest claim there waits for an answer, in usual starts. */
  private double silence(Machine m) {
    if (m.unansweredAttempts.isEmpty()) {
      return 0;
    }
    PlacementAttempt c = m.unansweredAttempts.iterator().next();
    ClassState f = priorityClass(c.vm);
    double usual =
        Math.max(
            toSeconds(f.settings.startObjective()),
            2 * (c.isWarmStart ? f.startWarm : f.startCold));
    return toSeconds(me.now.minus(c.sentAt)) / usual;
  }

  private double sorrow(Machine m) {
    return faultScore(m) + (silence(m) > 1 ? SHUNNED : 0);
  }

  /**
   * A machine that stands out by its troubles gets one rebuildable VM at a time, until they fade.
   */
  private boolean trusted(ClassState f, Machine m) {
    double sorrow = sorrow(m);
    return sorrow < SHUNNED
        || sorrow < SHUNNED * fleetGrief
        || f.settings.retrySafety() == RetrySafety.IDEMPOTENT
            && m.unansweredAttempts.isEmpty()
            && since(m.lastAttemptAt).compareTo(scale(settle, 1.0 / 2)) > 0;
  }

  private void blame(PlacementAttempt c, Outcome end, OutcomeReason why, boolean wasBound) {
    Machine m = c.machine;
    if (c.vm.isMigrating
        || end == Outcome.DONE
        || end == Outcome.CANCELLED
        || end == Outcome.NOT_SENT) {
      return;
    }
    if (end == Outcome.FULL && why == OutcomeReason.UNSPECIFIED
        || end == Outcome.ERROR && !wasBound) {
      Machine.RejectionBackoff r = refusal(c.vm.tenantClass(), m);
      double spans = 4 * toSeconds(r.span) / toSeconds(settle);
      r.span = ofSeconds(Math.max(2, Math.min(spans, 8)) * toSeconds(settle));
      r.until = me.now.plus(r.span);
      r.tookAt = null;
      if (end == Outcome.FULL) {
        me.refusedAt.put(c.vm.tenantClass(), me.now);
      } else {
        recordFault(m, 0.5);
      }
      int kin = kins.indexOf(c.vm.tenantClass());
      if (kin >= 0) {
        tell(m, "" + GossipCodec.whole(kin));
      }
    } else if (end == Outcome.FULL) {
      m.ejectedUntil =
          me.now.plus(
              scale(
                  why == OutcomeReason.QUEUE_FULL
                      ? priorityClass(c.vm).settings.startObjective()
                      : settle,
                  0.5));
      recordFault(m, 0.5);
    } else if (end == Outcome.RESET && wasBound && why != OutcomeReason.UNSPECIFIED) {
      recordFault(m, why == OutcomeReason.EVICTED ? 1 : 0);
    } else {
      recordFault(m, wasBound ? 0.5 : 2);
      if (end == Outcome.UNREACHABLE && me.now.compareTo(m.ejectedUntil) >= 0) {
        tell(m, "");
      }
      if (end == Outcome.UNREACHABLE || wasBound) {
        // Down, however the rest of the fleet fares (a VM lost without a word tells it first): each
        // knock waits longer, so that a mass outage burns no claims. A new start opens it.
        double spans = Math.min(faultScore(m), 4 * SHUNNED) / 4;
        m.ejectedUntil = me.now.plus(ofSeconds(spans * toSeconds(settle) / 2));
      }
    }
  }

  private void started(PlacementAttempt c) {
    ClassState f = priorityClass(c.vm);
    c.runningSince = me.now;
    double took = toSeconds(me.now.minus(c.sentAt));
    if (c.isWarmStart) {
      f.startWarm += (took - f.startWarm) / 16;
    } else {
      f.startCold += (took - f.startCold) / 16;
    }
    if (took > toSeconds(f.settings.startObjective())) {
      recordFault(c.machine, 0.3);
    } else {
      recordFault(c.machine, -faultScore(c.machine) / 5);
    }
  }

  /**
   * Probes the machine whose report is oldest, if it is old and a probe a VM has been earned.
   * Seldom looked for again where none was stale: no input may cost work that grows with the fleet.
   */
  private void probeStale() {
    Duration stale = scale(settle, 1.0 / 2);
    me.probeAt = me.now.plus(scale(stale, 1.0 / 8));
    if (!me.settings.monitoring().probesAllowed()
        || me.settings.monitoring().loadReports() == SchedulerSettings.LoadReportMode.OFF) {
      return;
    }
    Machine oldest = null;
    // From a place of this placer's own: else all ask the first of the list and most are never
    // asked.
    int from = (int) (me.chance.next() * me.machines.size());
    for (int i = 0; i < me.machines.size(); i++) {
      Machine m = me.machines.get((from + i) % me.machines.size());
      if (m.lifecycle == Lifecycle.LIVE
          && !m.probing
          && since(m.probedAt).compareTo(stale) > 0
          && since(m.reportedAt).compareTo(stale) > 0
          && (oldest == null || since(m.reportedAt).compareTo(since(oldest.reportedAt)) > 0)) {
        oldest = m;
      }
    }
    if (oldest != null && me.probes < me.arrivals) {
      me.probes++;
      oldest.probing = true;
      oldest.probedAt = me.now;
      actions.probe(oldest);
      me.probeAt = me.now.plusNanos(1);
    }
  }

  private Duration since(Duration then) {
    return then == null ? me.now : me.now.minus(then);
  }

  private ClassState priorityClass(Vm vm) {
    return priorityClasses.get(vm.priorityClass);
  }
}
