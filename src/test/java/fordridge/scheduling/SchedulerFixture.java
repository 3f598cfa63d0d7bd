package fordridge.scheduling;

import fordridge.model.GossipCodec;
import fordridge.model.Machine;
import fordridge.model.Machine.Lifecycle;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SchedulerSettings;
import fordridge.model.SettingsValues;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A scheduler whose actions are recorded and checked against the five invariants (docs/design.md),
 * and a generator of random legal inputs for it.
 */
final class SchedulerFixture implements SchedulerActions {
  static final Duration DRAIN_GRACE = Duration.ofMillis(500);
  private static final List<Lifecycle> LIFECYCLES =
      List.of(Lifecycle.LIVE, Lifecycle.DRAINING, Lifecycle.GONE);
  private static final Outcome[] AFTER_ACCEPTANCE = {
    Outcome.DONE, Outcome.RESET, Outcome.CANCELLED
  };
  private static final Outcome[] BEFORE_ACCEPTANCE = {
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.UNREACHABLE,
    Outcome.RESET,
    Outcome.TIMEOUT,
    Outcome.NOT_SENT
  };
  final Map<String, Object> values = new HashMap<>();
  final List<Machine> machines = new ArrayList<>();
  final Map<Machine, Duration> goneSince = new HashMap<>();
  final List<Vm> vms = new ArrayList<>();
  final List<PlacementAttempt> attempts = new ArrayList<>();
  final Set<Vm> finished = new HashSet<>();
  final List<String> actions = new ArrayList<>();
  final Map<Machine, List<Duration>> slowStartAttempts = new HashMap<>();
  Scheduler scheduler = new Scheduler(this);
  Duration now = Duration.ofSeconds(5);
  Duration timerAt;
  boolean isWatching;

  /** The result of {@link SchedulerActions#isAllInputRead}. */
  boolean isAllInputRead = true;

  String tenant = "";
  int rejectedCount;
  int failedCount;
  int probeCount;
  final List<Duration> retryAfters = new ArrayList<>();
  final List<String> gossip = new ArrayList<>();

  SchedulerFixture(boolean isPushed, String scope) {
    String[] kinds = {"small", "big"};
    values.put("kinds", List.of(kinds));
    values.put("discovery", isPushed ? "push" : "ask");
    values.put("nInstances", 2L);
    values.put("position", 1L);
    values.put("tickUs", 2000L);
    values.put("zone", "z0");
    values.put("lanes", 3L);
    String[] semantics = {"retryable", "dedup", "fragile"};
    for (int i = 0; i < 3; i++) {
      String lane = "lanes." + i + ".";
      values.put(lane + "name", semantics[i]);
      values.put(lane + "semantics", semantics[i]);
      values.put(lane + "dedupScope", scope);
      values.put(lane + "windowUs", 3000000L);
      values.put(lane + "promiseUs", 600000L);
      values.put(lane + "giveUpUs", 5000000L);
    }
    values.put("extra.precedence", List.of(0L, 1L, 2L));
    values.put("extra.kindByClass", List.of(-1L, -1L, 1L));
    values.put("extra.classSpread", List.of("off", "cell", "machine"));
    values.put("extra.classMost", List.of(9L, 3L, 2L));
    values.put("extra.cpuOfKind", List.of(16L, 32L));
    values.put("extra.memoryByKind", List.of(32L, 64L));
    values.put("extra.admitCores", 2.5);
    values.put("extra.memBooking", 1.5);
    values.put("extra.freeInList", true);
    values.put("extra.coldBears", 8.0);
    values.put("extra.saysYes", "running");
    values.put("extra.settleUs", 3000000L);
    values.put("caps.mostTries", 3L);
    values.put("caps.retryAfter", true);
    values.put("caps.maxRetryAfterUs", 3000000L);
    values.put("caps.probes", true);
    values.put("loadReport.via", "on_probe");
    values.put("obligations.drainGraceUs", 500000L);
    values.put("obligations.askWithinUs", 10000000L);
    values.put("obligations.warmAfterUs", 10000000L);
    values.put("obligations.overloadForUs", 1000000L);
    values.put("obligations.coldFrom", 0.2);
  }

  void start(long seed, int count) {
    scheduler.advanceTo(now);
    scheduler.start(seed, settings());
    scheduler.machineListStarted(true, true);
    for (int i = 0; i < count; i++) {
      scheduler.machineListed(createMachine(i), Lifecycle.LIVE, null);
    }
    scheduler.machineListCompleted();
  }

  SchedulerSettings settings() {
    return SchedulerSettingsReader.read(new SettingsValues(values));
  }

  /** Changes a setting and applies it to the scheduler. */
  void changeSetting(String name, Object value) {
    values.put(name, value);
    scheduler.settingsChanged(settings());
  }

  /**
   * A fixture with a started scheduler, one of two in the cluster, and the given number of
   * machines.
   */
  static SchedulerFixture started(int machines) {
    SchedulerFixture fixture = new SchedulerFixture(true, "cell");
    fixture.start(1, machines);
    return fixture;
  }

  /**
   * A fixture with a started scheduler, one of the given number that may gossip, and two machines.
   */
  static SchedulerFixture gossiping(long schedulers) {
    SchedulerFixture fixture = new SchedulerFixture(true, "cell");
    fixture.values.put("nInstances", schedulers);
    fixture.values.put("caps.peerMessages", true);
    fixture.values.put("prices.peer", 0.01);
    fixture.start(1, 2);
    return fixture;
  }

  /** Completes a probe of the machine with a load report. */
  void reportLoad(Machine machine, double spareCores, double spareMemory) {
    machine.spareCores = spareCores;
    machine.spareMemory = spareMemory;
    machine.reportedAt = now;
    scheduler.probeCompleted(machine, true, true);
  }

  private Machine createMachine(int index) {
    Machine machine = new Machine(100 + index);
    machine.kind = index % 2 == 0 ? "small" : "big";
    machine.zone = "z" + index % 3;
    machine.cell = index % 2;
    machine.freeCores = index % 2 == 0 ? 16 : 32;
    machine.freeMemory = index % 2 == 0 ? 32 : 64;
    machines.add(machine);
    return machine;
  }

  /**
   * Lists up to 12 new machines, which are in slow start, or lists up to 12 existing ones as gone.
   */
  private void changeFleet(boolean grow) {
    scheduler.machineListStarted(false, false);
    for (int i = 0, n = Math.min(machines.size(), 12); i < n; i++) {
      Machine m = grow ? createMachine(machines.size()) : machines.get(i);
      goneSince.remove(m);
      if (grow) {
        slowStartAttempts.put(m, new ArrayList<>());
      } else {
        goneSince.put(m, now);
      }
      scheduler.machineListed(m, grow ? Lifecycle.LIVE : Lifecycle.GONE, grow ? now : null);
    }
    scheduler.machineListCompleted();
  }

  void listMachine(Machine machine, Lifecycle lifecycle, Duration startedAt) {
    goneSince.remove(machine);
    if (lifecycle != Lifecycle.LIVE) {
      goneSince.put(machine, now);
    }
    if (startedAt != null) {
      slowStartAttempts.put(machine, new ArrayList<>());
    }
    scheduler.machineListStarted(false, false);
    scheduler.machineListed(machine, lifecycle, startedAt);
    scheduler.machineListCompleted();
  }

  Vm request(String priorityClass, double cores, double memory, long service) {
    Vm vm = new Vm("vm" + vms.size());
    vm.priorityClass = priorityClass;
    vm.tenant = tenant;
    vm.cores = cores;
    vm.memory = memory;
    vm.service = service;
    vm.arrivedAt = now;
    vm.deadline = now.plusSeconds(5);
    vms.add(vm);
    scheduler.vmRequested(vm);
    return vm;
  }

  /** Advances the time in ticks of 10 ms and lets timers fire and attempts time out. */
  void advance(Duration span) {
    Duration end = now.plus(span);
    while (now.compareTo(end) < 0) {
      now = now.plusMillis(10);
      scheduler.advanceTo(now);
      for (PlacementAttempt attempt : List.copyOf(attempts)) {
        if (attempt.isInFlight()
            && attempt.acceptedAt == null
            && now.compareTo(attempt.sentAt.plus(attempt.timeout)) >= 0) {
          end(attempt, Outcome.TIMEOUT, OutcomeReason.UNSPECIFIED);
        }
      }
      if (timerAt != null && now.compareTo(timerAt) >= 0) {
        timerAt = null;
        scheduler.timerFired();
      }
      for (Vm vm : vms) {
        check(
            vm.acceptedAttempt != null
                || vm.isFinished
                || now.compareTo(vm.deadline.plusMillis(10)) < 0,
            "invariant 1: " + vm.id + " has no final response at its deadline");
      }
    }
  }

  void accept(PlacementAttempt attempt) {
    finished.add(attempt.vm);
    scheduler.attemptAccepted(attempt);
  }

  void end(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    boolean wasAccepted = attempt.acceptedAt != null;
    scheduler.attemptEnded(attempt, outcome, reason, wasAccepted || attempt.vm.isFinished);
  }

  /** Passes one random legal input to the scheduler. */
  void randomInput(Random random) {
    scheduler.advanceTo(now);
    Machine machine = machines.get(random.nextInt(machines.size()));
    List<PlacementAttempt> inFlight =
        attempts.stream().filter(PlacementAttempt::isInFlight).toList();
    PlacementAttempt attempt =
        inFlight.isEmpty() ? null : inFlight.get(random.nextInt(inFlight.size()));
    String[] classes = {"retryable", "dedup", "fragile"};
    switch (random.nextInt(50) == 0 ? 13 : random.nextInt(13)) {
      case 0, 1, 2, 3 ->
          request(
              classes[random.nextInt(3)],
              0.5 + random.nextInt(6),
              1 + random.nextInt(9),
              random.nextInt(5));
      case 4, 5 -> acceptIfUnanswered(attempt);
      case 6, 7 -> endRandomly(attempt, random);
      case 8 -> listMachine(machine, LIFECYCLES.get(random.nextInt(3)), null);
      case 9 -> listMachine(machine, Lifecycle.LIVE, now.minusMillis(random.nextInt(2000)));
      case 10 -> probeRandomly(machine, random);
      case 11 -> gossipRandomly(machine, random);
      case 13 -> changeFleet(machines.size() < 60 && random.nextBoolean());
      default -> failListOrAbandonVm(random);
    }
  }

  private void acceptIfUnanswered(PlacementAttempt attempt) {
    if (attempt != null && attempt.acceptedAt == null && !attempt.vm.isFinished) {
      accept(attempt);
    }
  }

  private void endRandomly(PlacementAttempt attempt, Random random) {
    if (attempt == null) {
      return;
    }
    Outcome[] outcomes = attempt.acceptedAt != null ? AFTER_ACCEPTANCE : BEFORE_ACCEPTANCE;
    Outcome outcome = outcomes[random.nextInt(outcomes.length)];
    OutcomeReason[] reasons = OutcomeReason.values();
    end(attempt, outcome, reasons[random.nextInt(reasons.length)]);
  }

  private void probeRandomly(Machine machine, Random random) {
    machine.spareCores = random.nextDouble() * machine.cores;
    machine.spareMemory = random.nextDouble() * machine.memory;
    machine.reportedAt = now;
    scheduler.probeCompleted(machine, random.nextBoolean(), true);
  }

  private void gossipRandomly(Machine machine, Random random) {
    char[] figures = new char[random.nextInt(4)];
    for (int i = 0; i < figures.length; i++) {
      figures[i] = GossipCodec.digit(random.nextInt(94));
    }
    long id = random.nextInt(3) == 0 ? 7 : machine.id;
    scheduler.gossipReceived(GossipCodec.machineName(id) + new String(figures));
  }

  private void failListOrAbandonVm(Random random) {
    if (random.nextInt(4) == 0) {
      scheduler.machineListFailed();
    } else if (!vms.isEmpty()) {
      Vm vm = vms.get(random.nextInt(vms.size()));
      if (!vm.isFinished) {
        finished.add(vm);
        scheduler.requestAbandoned(vm);
      }
    }
  }

  static void check(boolean isTrue, String violation) {
    if (!isTrue) {
      throw new AssertionError(violation);
    }
  }

  private static boolean hasNeverRun(PlacementAttempt attempt) {
    return attempt.outcome == Outcome.FULL
        || attempt.outcome == Outcome.UNREACHABLE
        || attempt.outcome == Outcome.NOT_SENT;
  }

  private boolean isInSameScope(Machine a, Machine b) {
    return switch ((String) values.get("lanes.1.dedupScope")) {
      case "all" -> true;
      case "zone" -> a.zone.equals(b.zone);
      default -> a.cell == b.cell;
    };
  }

  @Override
  public boolean isAllInputRead() {
    return isAllInputRead;
  }

  @Override
  public void sendAttempt(PlacementAttempt attempt, Duration timeout) {
    Machine machine = attempt.machine;
    actions.add(now + " attempt " + attempt.vm.id + " " + machine.id);
    check(
        !finished.contains(attempt.vm),
        "invariant 1: an attempt after the final response for a VM");
    Duration gone = goneSince.get(machine);
    check(
        gone == null || now.compareTo(gone.plus(DRAIN_GRACE)) <= 0,
        "invariant 3: sent to a machine that is gone");
    checkEarlierAttempts(attempt);
    checkSpread(attempt);
    checkSlowStart(machine);
    attempts.add(attempt);
  }

  private void checkEarlierAttempts(PlacementAttempt attempt) {
    String priorityClass = attempt.vm.priorityClass;
    for (PlacementAttempt other : attempts) {
      if (other.vm == attempt.vm && other != attempt) {
        check(!other.isInFlight(), "invariant 2: two attempts in flight at once");
        if (!hasNeverRun(other) && !priorityClass.equals("retryable")) {
          check(priorityClass.equals("dedup"), "invariant 2: a non-idempotent VM is offered again");
          check(
              isInSameScope(other.machine, attempt.machine),
              "invariant 2: offered again outside the idempotency scope");
          check(
              now.compareTo(other.sentAt.plusSeconds(3)) < 0,
              "invariant 2: offered again after the deduplication window");
        }
      }
    }
  }

  private void checkSpread(PlacementAttempt attempt) {
    boolean isByMachine = attempt.vm.priorityClass.equals("fragile");
    int inDomain = 1;
    for (PlacementAttempt other : attempts) {
      boolean isNear =
          isByMachine
              ? other.machine == attempt.machine
              : other.machine.cell == attempt.machine.cell;
      boolean isSameService = other.vm.service == attempt.vm.service;
      inDomain += other.isInFlight() && isSameService && isNear ? 1 : 0;
    }
    int limit =
        switch (attempt.vm.priorityClass) {
          case "fragile" -> 2;
          case "dedup" -> 3;
          default -> Integer.MAX_VALUE;
        };
    check(
        inDomain <= limit,
        "invariant 5: more VMs of a service in one domain than the spread limit");
  }

  private void checkSlowStart(Machine machine) {
    if (machine.startedAt == null
        || now.minus(machine.startedAt).compareTo(Duration.ofSeconds(10)) >= 0) {
      return;
    }
    List<Duration> sent = slowStartAttempts.get(machine);
    sent.add(now);
    boolean hasManySchedulers = values.get("nInstances").equals(300L);
    Duration from = now.minusSeconds(hasManySchedulers ? 10 : 1);
    long recent = sent.stream().filter(time -> time.compareTo(from) > 0).count();
    check(
        recent <= (hasManySchedulers ? 1 : 4),
        "invariant 4: more than this scheduler's share of the attempts that a machine in slow start withstands");
  }

  private void finish(Vm vm) {
    actions.add(now + " response " + vm.id);
    check(finished.add(vm), "invariant 1: a second final response for " + vm.id);
    check(
        now.compareTo(vm.deadline.plusMillis(10)) <= 0,
        "invariant 1: a final response after the deadline");
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    finish(vm);
    rejectedCount++;
    retryAfters.add(retryAfter);
    boolean mayHaveRun = vm.attempts.stream().anyMatch(c -> !hasNeverRun(c));
    check(
        !mayHaveRun
            || vm.priorityClass.equals("retryable")
            || (vm.priorityClass.equals("dedup") && values.get("lanes.1.dedupScope").equals("all")),
        "invariant 2: rejected though it may have run");
  }

  @Override
  public void fail(Vm vm) {
    finish(vm);
    failedCount++;
  }

  @Override
  public void migrate(Vm vm) {
    check(vm.acceptedAttempt != null, "a migration of a VM that does not run");
    finished.add(vm);
  }

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {
    actions.add(now + " cancel");
  }

  @Override
  public void probe(Machine machine) {
    actions.add(now + " probe " + machine.id);
    probeCount++;
  }

  @Override
  public void gossip(String message) {
    check(
        message.length() >= 3 && message.length() <= 5,
        "a gossip message without 3 to 5 characters");
    gossip.add(message);
  }

  @Override
  public void scheduleTimer(Duration delay) {
    timerAt = now.plus(delay);
  }

  @Override
  public void log(String line) {
    actions.add(line);
  }

  @Override
  public void watchMachineList(boolean enabled) {
    isWatching = enabled;
  }

  @Override
  public void fetchMachineList() {
    actions.add(now + " fetch");
  }
}
