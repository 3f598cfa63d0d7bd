package fordridge.emulator;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A machine as a model: one offer looked at at a time, a line limit, accept multiples, starts that
 * take work, a cold ramp, use that varies, pressure, evictions, push-outs and drains. Free of
 * sockets and clocks: the time comes in, so that it runs behind a socket or in virtual time alike.
 * A model, not a measurement of real machines.
 */
final class MachineModel {
  enum Reason {
    UNTOLD,
    NO_CORES,
    NO_MEMORY,
    LINE_FULL,
    NOT_HERE
  }

  enum EndKind {
    DONE,
    ERROR,
    EVICTED,
    PUSHED_OUT,
    SENT_AWAY,
    CANCELLED
  }

  enum State {
    IN_LINE,
    STARTING,
    RUNNING,
    ENDED,
    REFUSED
  }

  /** What stands still about a machine; spans and sizes as drawn for the day. */
  record MachineSpec(
      String name,
      String kind,
      String zone,
      int cell,
      double cores,
      double memory,
      double speed,
      int line,
      Duration admit,
      int starts,
      double acceptCores,
      double acceptMemory,
      double coldFrom,
      Duration warmAfter,
      double fallMultiple,
      Duration fallOver,
      double coldBears,
      int kept,
      double setup,
      Duration sample,
      boolean preempts,
      String drainManner,
      Duration work) {}

  /** How VMs of a flavour use what they asked for. */
  record UsageModel(double cores, double memory, double sigma, double calm, double fade) {}

  /** A claim on this machine. */
  static final class HostedVm {
    final String placer;
    final String vm;
    final int number;
    final String priorityClass;
    final String tenant;
    final String client;
    final long service;
    final double cores;
    final double memory;
    final int priority;
    final Duration takenAt;
    final Duration by;
    final Duration lasts;
    State state = State.IN_LINE;
    Duration runningSince;
    Duration overAt;
    double coresUse;
    double memoryUse;
    double swing = 1;

    HostedVm(
        String placer,
        String vm,
        int number,
        String priorityClass,
        String tenant,
        String client,
        long service,
        double cores,
        double memory,
        int priority,
        Duration takenAt,
        Duration by,
        Duration lasts) {
      this.placer = placer;
      this.vm = vm;
      this.number = number;
      this.priorityClass = priorityClass;
      this.tenant = tenant;
      this.client = client;
      this.service = service;
      this.cores = cores;
      this.memory = memory;
      this.priority = priority;
      this.takenAt = takenAt;
      this.by = by;
      this.lasts = lasts;
    }

    String key() {
      return placer + " " + vm + "#" + number;
    }
  }

  /** What the machine says, to whoever carries it. */
  interface Listener {
    void accepted(HostedVm t);

    void refused(HostedVm t, Reason why);

    void started(HostedVm t);

    void finished(HostedVm t, EndKind how, boolean ran);

    void cores(HostedVm t, double amount);

    void memory(HostedVm t, double amount);

    void served(HostedVm t, double share);

    void pressed(HostedVm t, double share);

    void report(String placer, long probe);

    /** It was pushed over while cold. */
    void fell();
  }

  /** Troubles in force; whoever plays the day sets them. */
  static final class ActiveFault {
    double slow = 1;
    double errors;
    boolean paused;

    /** Refused without a reason above this rate a second: by customer or by flavour. */
    String throttled;

    boolean throttleByTenant;
    double throttleRate;
    Duration throttleDelay = Duration.ZERO;

    /** Share of the cores that another program takes. */
    double neighbour;

    /** Multiplies what VMs use. */
    double use = 1;
  }

  private record Event(Duration at, long order, Runnable what) {}

  private record Item(HostedVm task, String placer, long probe) {}

  private static final Duration REMEMBERS = Duration.ofSeconds(90);

  final MachineSpec make;
  final ActiveFault trouble = new ActiveFault();
  private final Listener says;
  private final UniformRandomProvider chance;
  private final ContinuousSampler spread;
  private final Map<String, UsageModel> uses;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::order));
  private final Map<String, HostedVm> tasks = new LinkedHashMap<>();
  private final Deque<HostedVm> past = new ArrayDeque<>();
  private final Deque<Item> line = new ArrayDeque<>();
  private final Deque<HostedVm> toStart = new ArrayDeque<>();
  private final LinkedHashMap<Long, Duration> kept = new LinkedHashMap<>();
  private final Deque<Duration> slowStartAttempts = new ArrayDeque<>();
  private final Deque<Duration> throttleTaken = new ArrayDeque<>();
  private long order;
  private int starting;
  private boolean looking;
  private boolean draining;
  private boolean down;
  private Duration now = Duration.ZERO;
  private Duration bornAt;
  private double sampledCores;
  private double sampledMemory;
  long incarnation = 1;

  MachineModel(MachineSpec make, Map<String, UsageModel> uses, long seed, Listener says) {
    this.make = make;
    this.uses = uses;
    this.says = says;
    chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    spread = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(chance), -0.02, 0.2);
    sample();
  }

  // ---- Time
  // ------------------------------------------------------------------------------------------

  private void at(Duration when, Runnable what) {
    long mine = incarnation;
    events.add(
        new Event(
            when,
            order++,
            () -> {
              if (mine == incarnation && !down) {
                what.run();
              }
            }));
  }

  /** When the machine has something to do next, or null. */
  Duration next() {
    return events.isEmpty() ? null : events.peek().at();
  }

  /** Lets time pass. A paused machine does late what fell due meanwhile. */
  void tick(Duration to) {
    while (!trouble.paused && !events.isEmpty() && events.peek().at().compareTo(to) <= 0) {
      Event e = events.poll();
      now = e.at.compareTo(now) > 0 ? e.at : now;
      e.what.run();
    }
    now = to.compareTo(now) > 0 ? to : now;
  }

  // ---- What it is asked
  // ------------------------------------------------------------------------------

  void offer(HostedVm t) {
    if (down) {
      return;
    }
    HostedVm known = tasks.get(t.key());
    if (known != null) {
      // A repeat: answered as the first was, and never a second copy.
      repeat(known);
      return;
    }
    coldOffer();
    if (down) {
      return;
    }
    if (line.size() >= make.line) {
      refuse(t, Reason.LINE_FULL);
      return;
    }
    tasks.put(t.key(), t);
    line.addLast(new Item(t, t.placer, 0));
    look();
  }

  private void repeat(HostedVm known) {
    switch (known.state) {
      case RUNNING -> says.started(known);
      case REFUSED -> says.refused(known, Reason.NOT_HERE);
      case ENDED -> says.finished(known, EndKind.ERROR, true);
      default -> {}
    }
  }

  void probe(String placer, long number) {
    if (!down) {
      line.addLast(new Item(null, placer, number));
      look();
    }
  }

  /**
   * Not to start any more, or to stop: the placer waits no longer, or the VM is no longer wanted.
   */
  void end(String key) {
    HostedVm t = tasks.get(key);
    if (t == null || down) {
      return;
    }
    switch (t.state) {
      case RUNNING -> finish(t, EndKind.CANCELLED);
      case IN_LINE, STARTING -> handBack(t, EndKind.CANCELLED);
      default -> says.finished(t, EndKind.CANCELLED, t.state == State.ENDED);
    }
  }

  Collection<HostedVm> held(String placer) {
    List<HostedVm> some = new ArrayList<>();
    for (HostedVm t : tasks.values()) {
      if (t.placer.equals(placer)) {
        some.add(t);
      }
    }
    return some;
  }

  // ---- Offers
  // ----------------------------------------------------------------------------------------

  private void look() {
    if (looking || line.isEmpty()) {
      return;
    }
    looking = true;
    Item i = line.peekFirst();
    double part = i.task == null ? 0.1 : 1;
    at(
        now.plus(times(make.admit, part * trouble.slow)),
        () -> {
          looking = false;
          Item first = line.pollFirst();
          if (first == null) {
            return;
          }
          if (first.task == null) {
            says.report(first.placer, first.probe);
          } else if (first.task.state == State.IN_LINE) {
            admit(first.task);
          }
          look();
        });
  }

  private void admit(HostedVm t) {
    if (trouble.errors > 0 && chance.nextDouble() < trouble.errors) {
      over(t, State.ENDED);
      says.finished(t, EndKind.ERROR, false);
      return;
    }
    if (throttled(t)) {
      Duration later = now.plus(trouble.throttleDelay);
      at(
          later,
          () -> {
            if (t.state == State.IN_LINE) {
              refuse(t, Reason.UNTOLD);
            }
          });
      return;
    }
    if (draining || now.compareTo(t.by) >= 0) {
      refuse(t, Reason.NOT_HERE);
      return;
    }
    double cores = t.cores;
    double memory = t.memory;
    for (HostedVm o : tasks.values()) {
      boolean counts = o.state == State.RUNNING || o.state == State.STARTING;
      cores += counts ? o.cores : 0;
      memory += counts ? o.memory : 0;
    }
    double overCores = cores - make.acceptCores * make.cores;
    double overMemory = memory - make.acceptMemory * make.memory;
    if ((overCores > 1e-9 || overMemory > 1e-9)
        && !(make.preempts && pushOut(t, overCores, overMemory))) {
      refuse(t, overCores > 1e-9 ? Reason.NO_CORES : Reason.NO_MEMORY);
      return;
    }
    t.state = State.STARTING;
    says.accepted(t);
    toStart.addLast(t);
    startNext();
  }

  private boolean throttled(HostedVm t) {
    String who = trouble.throttleByTenant ? t.tenant : t.priorityClass;
    if (trouble.throttled == null || !trouble.throttled.equals(who)) {
      return false;
    }
    while (!throttleTaken.isEmpty()
        && throttleTaken.peekFirst().plusSeconds(1).compareTo(now) <= 0) {
      throttleTaken.removeFirst();
    }
    if (throttleTaken.size() >= Math.max(1, trouble.throttleRate)) {
      return true;
    }
    throttleTaken.addLast(now);
    return false;
  }

  /**
   * Makes room by pushing out lower priorities, latest started first; none is pushed if that is not
   * enough.
   */
  private boolean pushOut(HostedVm t, double overCores, double overMemory) {
    List<HostedVm> lower = new ArrayList<>();
    tasks.values().stream()
        .filter(o -> o.state == State.RUNNING && o.priority < t.priority)
        .forEach(lower::add);
    lower.sort(
        Comparator.<HostedVm>comparingInt(o -> o.priority)
            .thenComparing(o -> o.runningSince, Comparator.reverseOrder()));
    List<HostedVm> out = new ArrayList<>();
    for (HostedVm o : lower) {
      if (overCores <= 1e-9 && overMemory <= 1e-9) {
        break;
      }
      overCores -= o.cores;
      overMemory -= o.memory;
      out.add(o);
    }
    if (overCores > 1e-9 || overMemory > 1e-9) {
      return false;
    }
    out.forEach(o -> finish(o, EndKind.PUSHED_OUT));
    return true;
  }

  private void refuse(HostedVm t, Reason why) {
    over(t, State.REFUSED);
    says.refused(t, why);
  }

  // ---- Starts
  // ----------------------------------------------------------------------------------------

  private void startNext() {
    while (starting < make.starts && !toStart.isEmpty()) {
      HostedVm t = toStart.pollFirst();
      if (t.state != State.STARTING) {
        continue;
      }
      if (now.compareTo(t.by) >= 0) {
        refuse(t, Reason.NOT_HERE);
        continue;
      }
      starting++;
      boolean program =
          kept.containsKey(t.service)
              || tasks.values().stream()
                  .anyMatch(o -> o.state == State.RUNNING && o.service == t.service);
      double work =
          (program ? 1 : make.setup) * spread.sample() * trouble.slow / make.speed / pace();
      at(
          now.plus(times(make.work, work)),
          () -> {
            starting--;
            if (t.state == State.STARTING) {
              run(t);
            }
            startNext();
          });
    }
  }

  private void run(HostedVm t) {
    if (now.compareTo(t.by) >= 0) {
      refuse(t, Reason.NOT_HERE);
      return;
    }
    UsageModel use = uses.get(t.priorityClass);
    t.state = State.RUNNING;
    t.runningSince = now;
    t.coresUse = Math.min(2.5, use.cores * Math.exp(use.sigma * (spread.sample() - 1)));
    t.memoryUse = Math.min(1.6, use.memory * Math.exp(use.sigma * (spread.sample() - 1)));
    says.started(t);
    if (t.lasts.compareTo(Duration.ZERO) > 0) {
      at(
          now.plus(t.lasts),
          () -> {
            if (t.state == State.RUNNING) {
              finish(t, EndKind.DONE);
            }
          });
    }
  }

  private void finish(HostedVm t, EndKind how) {
    over(t, State.ENDED);
    kept.remove(t.service);
    kept.put(t.service, now);
    Iterator<Long> oldest = kept.keySet().iterator();
    while (kept.size() > make.kept) {
      oldest.next();
      oldest.remove();
    }
    says.finished(t, how, true);
  }

  private void handBack(HostedVm t, EndKind how) {
    line.removeIf(i -> i.task == t);
    over(t, State.REFUSED);
    says.finished(t, how, false);
  }

  /**
   * It stays known for a while, so that a repeat and a returning placer are answered by what became
   * of it.
   */
  private void over(HostedVm t, State state) {
    t.state = state;
    t.overAt = now;
    tasks.putIfAbsent(t.key(), t);
    past.addLast(t);
    while (!past.isEmpty() && past.peekFirst().overAt.plus(REMEMBERS).compareTo(now) < 0) {
      HostedVm old = past.removeFirst();
      tasks.remove(old.key(), old);
    }
  }

  // ---- Load
  // ------------------------------------------------------------------------------------------

  private double pace() {
    if (bornAt == null) {
      return 1;
    }
    double age = (double) now.minus(bornAt).toNanos() / Math.max(1, make.warmAfter.toNanos());
    return Math.min(1, make.coldFrom + (1 - make.coldFrom) * age);
  }

  private boolean cold() {
    return bornAt != null && now.minus(bornAt).compareTo(make.warmAfter) < 0;
  }

  /** Starts a second that it can do now. */
  double capacity() {
    return make.starts * pace() * make.speed / (make.work.toNanos() / 1e9);
  }

  private void coldOffer() {
    if (!cold()) {
      return;
    }
    slowStartAttempts.addLast(now);
    while (slowStartAttempts.peekFirst().plus(make.fallOver).compareTo(now) < 0) {
      slowStartAttempts.removeFirst();
    }
    double bears =
        Math.max(make.coldBears, make.fallMultiple * capacity() * make.fallOver.toNanos() / 1e9);
    if (slowStartAttempts.size() > bears) {
      down = true;
      says.fell();
    }
  }

  private double usedMemoryNow() {
    double used = 0;
    for (HostedVm t : tasks.values()) {
      if (t.state == State.RUNNING) {
        double grown = Math.min(1, 0.4 + 0.6 * now.minus(t.runningSince).toMillis() / 5000.0);
        used += t.memory * Math.min(1.6, t.memoryUse * trouble.use) * grown;
      }
    }
    return used;
  }

  private double usedCoresNow() {
    double used = trouble.neighbour * make.cores;
    for (HostedVm t : tasks.values()) {
      used +=
          t.state == State.RUNNING
              ? t.cores * Math.min(2.5, t.coresUse * t.swing * trouble.use)
              : 0;
    }
    return used + starting;
  }

  /** Now and then: use moves, reports are refreshed, memory is watched, notes go out. */
  private void sample() {
    for (HostedVm t : tasks.values()) {
      if (t.state == State.RUNNING && chance.nextDouble() < 0.1) {
        t.swing = 0.75 + chance.nextDouble() / 2;
      }
    }
    sampledMemory = usedMemoryNow();
    while (sampledMemory > make.memory) {
      HostedVm out = null;
      for (HostedVm t : tasks.values()) {
        if (t.state == State.RUNNING
            && (out == null
                || t.priority < out.priority
                || t.priority == out.priority && t.memoryUse > out.memoryUse)) {
          out = t;
        }
      }
      if (out == null) {
        break;
      }
      finish(out, EndKind.EVICTED);
      sampledMemory = usedMemoryNow();
    }
    sampledCores = usedCoresNow();
    notes();
    at(now.plus(make.sample), this::sample);
  }

  private void notes() {
    Map<String, HostedVm> worst = new HashMap<>();
    double busy = sampledCores / make.cores;
    double pressure = sampledMemory / make.memory;
    for (HostedVm t : List.copyOf(tasks.values())) {
      if (t.state != State.RUNNING) {
        continue;
      }
      if (chance.nextDouble() < make.sample.toMillis() / 3000.0) {
        says.cores(t, t.cores * t.coresUse * t.swing * trouble.use);
        says.memory(t, t.memory * Math.min(1.6, t.memoryUse * trouble.use));
      }
      worst.putIfAbsent(t.placer, t);
    }
    for (HostedVm t : worst.values()) {
      UsageModel use = uses.get(t.priorityClass);
      double share = use.fade <= 0 ? 1 : Math.max(0, Math.min(1, 1 - (busy - use.calm) / use.fade));
      if (share < 0.95 && chance.nextDouble() < 0.3) {
        says.served(t, share);
      }
      if (pressure > 0.85 && chance.nextDouble() < 0.3) {
        says.pressed(t, pressure);
      }
    }
  }

  double spareCores() {
    return make.cores - sampledCores;
  }

  double spareMemory() {
    return make.memory - sampledMemory;
  }

  double busy() {
    return Math.min(1, sampledCores / make.cores);
  }

  /** What nobody has asked for, as the registry would tell it. */
  double freeCores() {
    return make.cores - asked(true);
  }

  double freeMemory() {
    return make.memory - asked(false);
  }

  private double asked(boolean ofCores) {
    double sum = 0;
    for (HostedVm t : tasks.values()) {
      if (t.state == State.RUNNING || t.state == State.STARTING) {
        sum += ofCores ? t.cores : t.memory;
      }
    }
    return sum;
  }

  int running() {
    int n = 0;
    for (HostedVm t : tasks.values()) {
      n += t.state == State.RUNNING ? 1 : 0;
    }
    return n;
  }

  // ---- Troubles
  // --------------------------------------------------------------------------------------

  /** Accepts nothing more; sends away as its manner says: none, at_once, or paced over a span. */
  void drain(Duration over) {
    draining = true;
    List<HostedVm> running = new ArrayList<>();
    tasks.values().stream().filter(t -> t.state == State.RUNNING).forEach(running::add);
    if (make.drainManner.equals("none")) {
      return;
    }
    for (int i = 0; i < running.size(); i++) {
      HostedVm t = running.get(i);
      Duration when =
          make.drainManner.equals("at_once")
              ? now
              : now.plus(times(over, (i + 1.0) / running.size()));
      at(
          when,
          () -> {
            if (t.state == State.RUNNING) {
              finish(t, EndKind.SENT_AWAY);
            }
          });
    }
  }

  boolean draining() {
    return draining;
  }

  /** Forgets all: whatever ran is lost. It comes up cold. */
  void restart(Duration at) {
    incarnation++;
    now = at.compareTo(now) > 0 ? at : now;
    events.clear();
    tasks.clear();
    past.clear();
    line.clear();
    toStart.clear();
    kept.clear();
    slowStartAttempts.clear();
    starting = 0;
    looking = false;
    draining = false;
    down = false;
    bornAt = now;
    sample();
  }

  /** Loses the programs that it kept. */
  void flush() {
    kept.clear();
  }

  void die() {
    down = true;
  }

  boolean isDown() {
    return down;
  }

  Duration bornAt() {
    return bornAt;
  }

  private static Duration times(Duration d, double by) {
    return Duration.ofNanos((long) (d.toNanos() * by));
  }
}
