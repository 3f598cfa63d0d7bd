package fordridge.server.grpc;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import fordridge.observability.Metrics;
import fordridge.runtime.SchedulerInputs;
import fordridge.scheduling.SchedulerActions;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.SchedulerSettingsMapper;
import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * A second module under the settings of a move to come. It hears what the placer's own module
 * hears, acts on nothing, and what it would have done otherwise is counted by kind: {@code machine}
 * (another machine), {@code hold} (ours placed at once, it would not), {@code place} (the other way
 * round), {@code answer} (another final answer, or one where ours placed), {@code retry_after}, and
 * what ours does not do at all: {@code probe}, {@code note}, {@code list_ask}. A VM's fate on a
 * machine is ours; where the two chose different machines it counts as if the other had taken it
 * too. So the counts tell of decisions, not of what would have come of them.
 */
final class ShadowScheduler implements SchedulerActions {
  /** A VM as the watching module has it, and what both said of it in the end. */
  private static final class ShadowVm {
    final Vm real;
    final Vm own;
    String realAnswer;
    String ownAnswer;
    Duration realAdvice;
    Duration ownAdvice;

    ShadowVm(Vm real, Vm own) {
      this.real = real;
      this.own = own;
    }
  }

  private final SchedulerInputs<String> inputs;
  private final Metrics metrics;
  private final DeploymentSettings now;
  private final BiConsumer<Duration, Runnable> later;
  private final Function<Machine, String> nameOf;
  private final Function<String, Machine> ours;

  /** Asked what customers' rules say of our VMs. */
  private final SchedulerActions rules;

  private final Map<Vm, ShadowVm> byReal = new IdentityHashMap<>();
  private final Map<Vm, ShadowVm> byOwn = new IdentityHashMap<>();
  private final Map<Machine, String> names = new HashMap<>();

  ShadowScheduler(
      DeploymentSettings now,
      DeploymentSettings next,
      int position,
      long seed,
      ToLongFunction<String> number,
      Metrics metrics,
      BiConsumer<Duration, Runnable> later,
      Function<Machine, String> nameOf,
      Function<String, Machine> ours,
      SchedulerActions rules) {
    this.now = now;
    this.metrics = metrics;
    this.later = later;
    this.nameOf = nameOf;
    this.ours = ours;
    this.rules = rules;
    inputs = new SchedulerInputs<>(this, number);
    inputs.scheduler.start(seed, SchedulerSettingsMapper.of(next, position));
  }

  // ---- What the placer's own module heard
  // ------------------------------------------------------------

  void at(Duration clock) {
    inputs.scheduler.advanceTo(clock);
  }

  void shared(int among) {
    inputs.scheduler.schedulerCountChanged(among);
  }

  void list(boolean whole, boolean old, List<SchedulerInputs.ListedMachine<String>> lines) {
    lines.forEach(l -> names.put(inputs.machine(l.key()), l.key()));
    inputs.list(whole, old, lines);
  }

  void report(String machine, double spareCores, double spareMemory, double busy, Duration at) {
    inputs.report(inputs.machine(machine), spareCores, spareMemory, busy, at);
  }

  void reported(String machine) {
    inputs.scheduler.loadReported(machine == null ? null : inputs.machine(machine));
  }

  void heard(String note) {
    inputs.scheduler.gossipReceived(note);
  }

  void stops() {
    inputs.scheduler.shutdownStarted();
  }

  void probed(String machine, boolean ok, Duration took) {
    inputs.scheduler.probeCompleted(inputs.machine(machine), ok, ok, took);
  }

  private ShadowVm twin(Vm real) {
    Vm own = new Vm(real.id);
    own.priorityClass = real.priorityClass;
    own.tenant = real.tenant;
    own.service = real.service;
    own.cores = real.cores;
    own.memory = real.memory;
    own.isClientRetry = real.isClientRetry;
    own.arrivedAt = real.arrivedAt;
    own.deadline = real.deadline;
    own.expectedLifetime = real.expectedLifetime;
    ShadowVm t = new ShadowVm(real, own);
    byReal.put(real, t);
    byOwn.put(own, t);
    inputs.add(own);
    return t;
  }

  void runsAlready(Vm real, String machine) {
    inputs.scheduler.vmAdopted(twin(real).own, inputs.machine(machine));
  }

  /** A new VM, before ours decides on it: what rules allow is as ours will find it. */
  void arrives(Vm real) {
    inputs.scheduler.vmRequested(twin(real).own);
  }

  /** Ours has decided: what both did at once is compared. */
  void arrived(Vm real) {
    ShadowVm t = byReal.get(real);
    if (t == null) {
      return;
    }
    Vm own = t.own;
    if (real.attempts.isEmpty() != own.attempts.isEmpty()) {
      metrics.shadowDiffered(
          own.attempts.isEmpty() ? Metrics.ShadowDifference.HOLD : Metrics.ShadowDifference.PLACE);
    } else if (!own.attempts.isEmpty()
        && !Objects.equals(
            nameOf.apply(real.attempts.get(0).machine), names.get(own.attempts.get(0).machine))) {
      metrics.shadowDiffered(Metrics.ShadowDifference.MACHINE);
    }
  }

  void bound(Vm real) {
    ShadowVm t = byReal.get(real);
    PlacementAttempt own = t == null ? null : out(t);
    if (own != null && own.acceptedAt == null) {
      inputs.scheduler.attemptAccepted(own);
    }
  }

  /** A note on a VM that runs. */
  void told(Vm real, BiConsumer<fordridge.scheduling.Scheduler, PlacementAttempt> what) {
    ShadowVm t = byReal.get(real);
    if (t != null && t.own.acceptedAttempt != null && t.own.acceptedAttempt.isInFlight()) {
      what.accept(inputs.scheduler, t.own.acceptedAttempt);
    }
  }

  void ended(PlacementAttempt real, Outcome end, OutcomeReason why, boolean over) {
    ShadowVm t = byReal.get(real.vm);
    if (t == null) {
      return;
    }
    PlacementAttempt own = out(t);
    boolean sameMachine =
        own != null && Objects.equals(nameOf.apply(real.machine), names.get(own.machine));
    if (own != null && (over || sameMachine)) {
      inputs.scheduler.attemptEnded(own, end, why, over);
    } else if (own != null && own.acceptedAt == null) {
      inputs.scheduler.attemptAccepted(own);
    }
    if (over) {
      drop(t);
    }
  }

  void left(Vm real) {
    ShadowVm t = byReal.get(real);
    if (t != null) {
      PlacementAttempt own = out(t);
      inputs.scheduler.clientLeft(t.own);
      if (own != null) {
        inputs.scheduler.attemptEnded(own, Outcome.CANCELLED, OutcomeReason.UNSPECIFIED, true);
      }
      drop(t);
    }
  }

  /** Ours gave its final answer without a bind. */
  void answered(Vm real, String how, Duration advice) {
    ShadowVm t = byReal.get(real);
    if (t != null) {
      t.realAnswer = how;
      t.realAdvice = advice;
      compare(t);
    }
  }

  private void compare(ShadowVm t) {
    if (t.realAnswer == null && t.ownAnswer == null || !byReal.containsKey(t.real)) {
      return;
    }
    boolean ownPlaced = t.ownAnswer == null && out(t) != null;
    boolean realPlaced = t.realAnswer == null && t.real.inFlightAttempts() > 0;
    if (ownPlaced || realPlaced) {
      metrics.shadowDiffered(Metrics.ShadowDifference.ANSWER);
      left(t.real);
    } else if (t.realAnswer != null && t.ownAnswer != null) {
      if (!t.realAnswer.equals(t.ownAnswer)) {
        metrics.shadowDiffered(Metrics.ShadowDifference.ANSWER);
      } else if (!t.realAdvice.equals(t.ownAdvice)) {
        metrics.shadowDiffered(Metrics.ShadowDifference.RETRY_AFTER);
      }
      drop(t);
    }
  }

  private static PlacementAttempt out(ShadowVm t) {
    PlacementAttempt last = t.own.lastAttempt();
    return last != null && last.isInFlight() ? last : null;
  }

  private void drop(ShadowVm t) {
    if (out(t) == null && !t.own.isFinished) {
      inputs.scheduler.clientLeft(t.own);
    }
    byReal.remove(t.real);
    byOwn.remove(t.own);
    inputs.forget(t.own);
  }

  // ---- What this one would do: nothing of it is done
  // ------------------------------------------------

  @Override
  public void sendAttempt(PlacementAttempt c, Duration within) {
    ShadowVm t = byOwn.get(c.vm);
    if (t != null && t.realAnswer != null) {
      later.accept(Duration.ZERO, () -> compare(t));
    }
  }

  @Override
  public void reject(Vm own, Duration retryAfter) {
    answers(own, "denied", retryAfter);
  }

  @Override
  public void fail(Vm own) {
    answers(own, "errored", Duration.ZERO);
  }

  private void answers(Vm own, String how, Duration advice) {
    ShadowVm t = byOwn.get(own);
    if (t != null) {
      t.ownAnswer = how;
      t.ownAdvice = advice;
      later.accept(Duration.ZERO, () -> compare(t));
    }
  }

  @Override
  public void migrate(Vm own) {
    metrics.shadowDiffered(Metrics.ShadowDifference.MOVE);
  }

  /** Customers' rules speak to both alike. */
  @Override
  public double constraintPenalty(Vm own, Machine m) {
    ShadowVm t = byOwn.get(own);
    return t == null ? 0 : rules.constraintPenalty(t.real, ours.apply(names.get(m)));
  }

  @Override
  public boolean isConstrained(Vm own) {
    ShadowVm t = byOwn.get(own);
    return t != null && rules.isConstrained(t.real);
  }

  @Override
  public void cancelAttempt(PlacementAttempt c) {}

  @Override
  public void probe(Machine m) {
    // Ours may ask in the same input, behind this; then its answer is this one's too.
    later.accept(
        Duration.ZERO,
        () -> {
          if (!ours.apply(names.get(m)).probing) {
            metrics.shadowDiffered(Metrics.ShadowDifference.PROBE);
            // Nobody was asked: it is told neither of trouble nor of a report, and may ask again.
            later.accept(
                now.connections().connectTimeout(),
                () ->
                    inputs.scheduler.probeCompleted(
                        m, true, false, now.connections().connectTimeout()));
          }
        });
  }

  @Override
  public void gossip(String note) {
    if (!now.gossip().isEnabled()) {
      metrics.shadowDiffered(Metrics.ShadowDifference.NOTE);
    }
  }

  @Override
  public void scheduleTimer(Duration in) {
    later.accept(in, inputs.scheduler::timerFired);
  }

  @Override
  public void log(String line) {}

  @Override
  public void watchMachineList(boolean on) {
    if (now.cluster().isListPushed()) {
      metrics.shadowDiffered(Metrics.ShadowDifference.LIST_ASK);
    }
    later.accept(Duration.ZERO, () -> inputs.list(false, false, List.of()));
  }

  @Override
  public void fetchMachineList() {}
}
