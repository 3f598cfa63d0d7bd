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

/** A door that checks the five rules at every act, and hands on seeded, legal but odd inputs. */
final class SchedulerFixture implements SchedulerActions {
  static final Duration GRACE = Duration.ofMillis(500);
  final Map<String, Object> terms = new HashMap<>();
  final List<Machine> machines = new ArrayList<>();
  final Map<Machine, Duration> toldGone = new HashMap<>();
  final List<Vm> vms = new ArrayList<>();
  final List<PlacementAttempt> attempts = new ArrayList<>();
  final Set<Vm> answered = new HashSet<>();
  final List<String> acts = new ArrayList<>();
  final Map<Machine, List<Duration>> slowStartAttempts = new HashMap<>();
  Scheduler scheduler = new Scheduler(this);
  Duration now = Duration.ofSeconds(5);
  Duration wakeAt;
  boolean subscribed;
  String tenant = "";
  int denied;
  int errored;
  int probes;
  final List<Duration> advice = new ArrayList<>();
  final List<String> notes = new ArrayList<>();

  SchedulerFixture(boolean pushed, String scope) {
    String[] kinds = {"small", "big"};
    terms.put("kinds", List.of(kinds));
    terms.put("discovery", pushed ? "push" : "ask");
    terms.put("nInstances", 2L);
    terms.put("position", 1L);
    terms.put("tickUs", 2000L);
    terms.put("zone", "z0");
    terms.put("lanes", 3L);
    String[] semantics = {"retryable", "dedup", "fragile"};
    for (int i = 0; i < 3; i++) {
      String lane = "lanes." + i + ".";
      terms.put(lane + "name", semantics[i]);
      terms.put(lane + "semantics", semantics[i]);
      terms.put(lane + "dedupScope", scope);
      terms.put(lane + "windowUs", 3000000L);
      terms.put(lane + "promiseUs", 600000L);
      terms.put(lane + "giveUpUs", 5000000L);
    }
    terms.put("extra.precedence", List.of(0L, 1L, 2L));
    terms.put("extra.kindByClass", List.of(-1L, -1L, 1L));
    terms.put("extra.classSpread", List.of("off", "cell", "machine"));
    terms.put("extra.classMost", List.of(9L, 3L, 2L));
    terms.put("extra.cpuOfKind", List.of(16L, 32L));
    terms.put("extra.memoryByKind", List.of(32L, 64L));
    terms.put("extra.admitCores", 2.5);
    terms.put("extra.memBooking", 1.5);
    terms.put("extra.freeInList", true);
    terms.put("extra.coldBears", 8.0);
    terms.put("extra.saysYes", "running");
    terms.put("extra.settleUs", 3000000L);
    terms.put("caps.mostTries", 3L);
    terms.put("caps.retryAfter", true);
    terms.put("caps.maxRetryAfterUs", 3000000L);
    terms.put("caps.probes", true);
    terms.put("loadReport.via", "on_probe");
    terms.put("obligations.drainGraceUs", 500000L);
    terms.put("obligations.askWithinUs", 10000000L);
    terms.put("obligations.warmAfterUs", 10000000L);
    terms.put("obligations.overloadForUs", 1000000L);
    terms.put("obligations.coldFrom", 0.2);
  }

  void begin(long seed, int count) {
    scheduler.advanceTo(now);
    scheduler.start(seed, settings());
    scheduler.machineListStarted(true, true);
    for (int i = 0; i < count; i++) {
      scheduler.machineListed(machine(i), Lifecycle.LIVE, null);
    }
    scheduler.machineListCompleted();
  }

  SchedulerSettings settings() {
    return SchedulerSettingsReader.read(new SettingsValues(terms));
  }

  /** Tells the scheduler that a setting changed. */
  void change(String name, Object value) {
    terms.put(name, value);
    scheduler.settingsChanged(settings());
  }

  private Machine machine(int i) {
    Machine m = new Machine(100 + i);
    m.kind = i % 2 == 0 ? "small" : "big";
    m.zone = "z" + i % 3;
    m.cell = i % 2;
    m.freeCores = i % 2 == 0 ? 16 : 32;
    m.freeMemory = i % 2 == 0 ? 32 : 64;
    machines.add(m);
    return m;
  }

  /** One change of the list: the fleet doubles with cold machines, or most of it goes. */
  private void resize(boolean grow) {
    scheduler.machineListStarted(false, false);
    for (int i = 0, n = Math.min(machines.size(), 12); i < n; i++) {
      Machine m = grow ? machine(machines.size()) : machines.get(i);
      toldGone.remove(m);
      if (grow) {
        slowStartAttempts.put(m, new ArrayList<>());
      } else {
        toldGone.put(m, now);
      }
      scheduler.machineListed(m, grow ? Lifecycle.LIVE : Lifecycle.GONE, grow ? now : null);
    }
    scheduler.machineListCompleted();
  }

  void list(Machine m, Lifecycle lifecycle, Duration startedAt) {
    toldGone.remove(m);
    if (lifecycle != Lifecycle.LIVE) {
      toldGone.put(m, now);
    }
    if (startedAt != null) {
      slowStartAttempts.put(m, new ArrayList<>());
    }
    scheduler.machineListStarted(false, false);
    scheduler.machineListed(m, lifecycle, startedAt);
    scheduler.machineListCompleted();
  }

  Vm arrive(String priorityClass, double cores, double memory, long service) {
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

  /** Lets time pass, in ticks, with wakes in time and time-outs of claims. */
  void pass(Duration span) {
    Duration end = now.plus(span);
    while (now.compareTo(end) < 0) {
      now = now.plusMillis(10);
      scheduler.advanceTo(now);
      for (PlacementAttempt c : List.copyOf(attempts)) {
        if (c.isInFlight()
            && c.acceptedAt == null
            && now.compareTo(c.sentAt.plus(c.timeout)) >= 0) {
          end(c, Outcome.TIMEOUT, OutcomeReason.UNSPECIFIED);
        }
      }
      if (wakeAt != null && now.compareTo(wakeAt) >= 0) {
        wakeAt = null;
        scheduler.timerFired();
      }
      for (Vm vm : vms) {
        check(
            vm.acceptedAttempt != null
                || vm.isFinished
                || now.compareTo(vm.deadline.plusMillis(10)) < 0,
            "rule 1: " + vm.id + " has no answer in time");
      }
    }
  }

  void bind(PlacementAttempt c) {
    answered.add(c.vm);
    scheduler.attemptAccepted(c);
  }

  void end(PlacementAttempt c, Outcome how, OutcomeReason why) {
    boolean wasBound = c.acceptedAt != null;
    scheduler.attemptEnded(c, how, why, wasBound || c.vm.isFinished);
  }

  /** One odd but legal happening. */
  void happen(Random r) {
    scheduler.advanceTo(now);
    Machine m = machines.get(r.nextInt(machines.size()));
    List<PlacementAttempt> open = attempts.stream().filter(PlacementAttempt::isInFlight).toList();
    PlacementAttempt c = open.isEmpty() ? null : open.get(r.nextInt(open.size()));
    String[] priorityClasses = {"retryable", "dedup", "fragile"};
    switch (r.nextInt(50) == 0 ? 13 : r.nextInt(13)) {
      case 0, 1, 2, 3 ->
          arrive(priorityClasses[r.nextInt(3)], 0.5 + r.nextInt(6), 1 + r.nextInt(9), r.nextInt(5));
      case 4, 5 -> {
        if (c != null && c.acceptedAt == null && !c.vm.isFinished) {
          bind(c);
        }
      }
      case 6, 7 -> {
        if (c != null) {
          Outcome[] ends =
              c.acceptedAt != null
                  ? new Outcome[] {Outcome.DONE, Outcome.RESET, Outcome.CANCELLED}
                  : new Outcome[] {
                    Outcome.ERROR,
                    Outcome.FULL,
                    Outcome.UNREACHABLE,
                    Outcome.RESET,
                    Outcome.TIMEOUT,
                    Outcome.NOT_SENT
                  };
          end(
              c,
              ends[r.nextInt(ends.length)],
              OutcomeReason.values()[r.nextInt(OutcomeReason.values().length)]);
        }
      }
      case 8 -> list(m, Lifecycle.values()[r.nextInt(3)], null);
      case 9 -> list(m, Lifecycle.LIVE, now.minusMillis(r.nextInt(2000)));
      case 10 -> {
        m.spareCores = r.nextDouble() * m.cores;
        m.spareMemory = r.nextDouble() * m.memory;
        m.reportedAt = now;
        scheduler.probeCompleted(m, r.nextBoolean(), true);
      }
      case 11 -> {
        char[] what = new char[r.nextInt(4)];
        for (int i = 0; i < what.length; i++) {
          what[i] = GossipCodec.digit(r.nextInt(94));
        }
        scheduler.gossipReceived(
            GossipCodec.machineName(r.nextInt(3) == 0 ? 7 : m.id) + new String(what));
      }
      case 13 -> resize(machines.size() < 60 && r.nextBoolean());
      default -> {
        if (r.nextInt(4) == 0) {
          scheduler.machineListFailed();
        } else if (!vms.isEmpty()) {
          Vm vm = vms.get(r.nextInt(vms.size()));
          if (!vm.isFinished) {
            answered.add(vm);
            scheduler.clientLeft(vm);
          }
        }
      }
    }
  }

  static void check(boolean kept, String what) {
    if (!kept) {
      throw new AssertionError(what);
    }
  }

  private static boolean hasNeverRun(PlacementAttempt c) {
    return c.outcome == Outcome.FULL
        || c.outcome == Outcome.UNREACHABLE
        || c.outcome == Outcome.NOT_SENT;
  }

  private boolean sameGroup(Machine a, Machine b) {
    return switch ((String) terms.get("lanes.1.dedupScope")) {
      case "all" -> true;
      case "zone" -> a.zone.equals(b.zone);
      default -> a.cell == b.cell;
    };
  }

  @Override
  public void sendAttempt(PlacementAttempt c, Duration within) {
    acts.add(now + " claim " + c.vm.id + " " + c.machine.id);
    check(!answered.contains(c.vm), "rule 1: a claim after the answer for " + c.vm.id);
    Duration told = toldGone.get(c.machine);
    check(
        told == null || now.compareTo(told.plus(GRACE)) <= 0,
        "rule 3: sent to a machine told gone");
    int inPlace = 1;
    for (PlacementAttempt o : attempts) {
      if (o.vm == c.vm && o != c) {
        check(!o.isInFlight(), "rule 2: two claims out at once");
        if (!hasNeverRun(o) && !c.vm.priorityClass.equals("retryable")) {
          check(c.vm.priorityClass.equals("dedup"), "rule 2: a one-shot sent again");
          check(sameGroup(o.machine, c.machine), "rule 2: out of its group");
          check(now.compareTo(o.sentAt.plusSeconds(3)) < 0, "rule 2: out of its window");
        }
      }
      boolean near =
          c.vm.priorityClass.equals("fragile")
              ? o.machine == c.machine
              : o.machine.cell == c.machine.cell;
      inPlace += o.isInFlight() && o.vm.service == c.vm.service && near ? 1 : 0;
    }
    int most =
        c.vm.priorityClass.equals("fragile")
            ? 2
            : c.vm.priorityClass.equals("dedup") ? 3 : Integer.MAX_VALUE;
    check(inPlace <= most, "rule 5: more of a service in one place than the most");
    Machine m = c.machine;
    if (m.startedAt != null && now.minus(m.startedAt).compareTo(Duration.ofSeconds(10)) < 0) {
      List<Duration> sent = slowStartAttempts.get(m);
      sent.add(now);
      boolean hundreds = terms.get("nInstances").equals(300L);
      long recent =
          sent.stream().filter(t -> t.compareTo(now.minusSeconds(hundreds ? 10 : 1)) > 0).count();
      check(
          recent <= (hundreds ? 1 : 4),
          "rule 4: more than this placer's part of what a cold machine bears");
    }
    attempts.add(c);
  }

  private void answer(Vm vm) {
    acts.add(now + " answer " + vm.id);
    check(answered.add(vm), "rule 1: a second final answer for " + vm.id);
    check(now.compareTo(vm.deadline.plusMillis(10)) <= 0, "rule 1: an answer too late");
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    answer(vm);
    denied++;
    advice.add(retryAfter);
    boolean mayHaveRun = vm.attempts.stream().anyMatch(c -> !hasNeverRun(c));
    check(
        !mayHaveRun
            || vm.priorityClass.equals("retryable")
            || vm.priorityClass.equals("dedup") && terms.get("lanes.1.dedupScope").equals("all"),
        "rule 2: denied");
  }

  @Override
  public void fail(Vm vm) {
    answer(vm);
    errored++;
  }

  @Override
  public void migrate(Vm vm) {
    check(vm.acceptedAttempt != null, "a move of what is not placed");
    answered.add(vm);
  }

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {
    acts.add(now + " cancel");
  }

  @Override
  public void probe(Machine machine) {
    acts.add(now + " probe " + machine.id);
    probes++;
  }

  @Override
  public void gossip(String note) {
    check(note.length() >= 3 && note.length() <= 5, "a note of another length");
    notes.add(note);
  }

  @Override
  public void scheduleTimer(Duration in) {
    wakeAt = now.plus(in);
  }

  @Override
  public void log(String line) {
    acts.add(line);
  }

  @Override
  public void watchMachineList(boolean on) {
    subscribed = on;
  }

  @Override
  public void fetchMachineList() {
    acts.add(now + " lookup");
  }
}
