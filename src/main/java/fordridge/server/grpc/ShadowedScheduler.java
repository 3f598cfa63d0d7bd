package fordridge.server.grpc;

import fordridge.machine.LoadReport;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import fordridge.runtime.SchedulerInputs;
import fordridge.runtime.SchedulerInputs.ListedMachine;
import fordridge.scheduling.Scheduler;
import fordridge.scheduling.SchedulerActions;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The scheduler and, where one is configured, its {@link ShadowScheduler}: each input goes to the
 * scheduler first and then to the shadow. A shadow that fails on an input is dropped, and the
 * scheduler goes on. Confined to the event loop.
 */
final class ShadowedScheduler {
  private final SchedulerInputs<String> inputs;
  private final SchedulerLog log;

  /** Null where none is configured, or after it failed. */
  private ShadowScheduler shadow;

  ShadowedScheduler(SchedulerActions actions, SchedulerLog log) {
    inputs = new SchedulerInputs<>(actions, SchedulerInputs::number);
    this.log = log;
  }

  /** VMs and machines by name, and the scheduler itself. */
  SchedulerInputs<String> inputs() {
    return inputs;
  }

  void setShadow(ShadowScheduler started) {
    shadow = started;
  }

  void advanceTo(Duration now) {
    inputs.scheduler.advanceTo(now);
    toShadow(s -> s.advanceTo(now));
  }

  void machineListReceived(
      boolean isSnapshot, boolean isStale, List<ListedMachine<String>> machines) {
    inputs.list(isSnapshot, isStale, machines);
    toShadow(s -> s.machineListReceived(isSnapshot, isStale, machines));
  }

  void schedulerCountChanged(int count) {
    inputs.scheduler.schedulerCountChanged(count);
    toShadow(s -> s.schedulerCountChanged(count));
  }

  /** The shadow comes first: it is to find the constraints as the scheduler will. */
  void vmRequested(Vm vm) {
    inputs.add(vm);
    toShadow(s -> s.vmRequested(vm));
    inputs.scheduler.vmRequested(vm);
    toShadow(s -> s.vmDecided(vm));
  }

  void vmAdopted(Vm vm, Machine machine, String machineName) {
    inputs.add(vm);
    inputs.scheduler.vmAdopted(vm, machine);
    toShadow(s -> s.vmAdopted(vm, machineName));
  }

  void attemptAccepted(PlacementAttempt attempt) {
    inputs.scheduler.attemptAccepted(attempt);
    toShadow(s -> s.vmAccepted(attempt.vm));
  }

  void attemptEnded(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason, boolean wasAccepted) {
    inputs.scheduler.attemptEnded(attempt, outcome, reason, wasAccepted || attempt.vm.isFinished);
    toShadow(s -> s.attemptEnded(attempt, outcome, reason, wasAccepted));
  }

  /** A report on an accepted VM; {@code input} is the scheduler's input for it. */
  void vmReported(PlacementAttempt attempt, BiConsumer<Scheduler, PlacementAttempt> input) {
    input.accept(inputs.scheduler, attempt);
    toShadow(s -> s.vmReported(attempt.vm, input));
  }

  void clientLeft(Vm vm) {
    inputs.scheduler.clientLeft(vm);
    toShadow(s -> s.clientLeft(vm));
  }

  /** Sets a machine's load, which the scheduler is to find with its next input. */
  void setLoad(Machine machine, String machineName, LoadReport report, Duration now) {
    inputs.report(machine, report.spareCores(), report.spareMemory(), report.utilization(), now);
    toShadow(s -> s.setLoad(machineName, report, now));
  }

  void loadReported(Machine machine, String machineName) {
    inputs.scheduler.loadReported(machine);
    toShadow(s -> s.loadReported(machineName));
  }

  /** Something changed that may let any pending VM be placed. */
  void capacityMayHaveChanged() {
    inputs.scheduler.loadReported(null);
    toShadow(ShadowScheduler::capacityMayHaveChanged);
  }

  void probeCompleted(
      Machine machine, String machineName, boolean isHealthy, boolean withLoadReport) {
    inputs.scheduler.probeCompleted(machine, isHealthy, withLoadReport);
    toShadow(s -> s.probeCompleted(machineName, isHealthy));
  }

  void gossipReceived(String message) {
    inputs.scheduler.gossipReceived(message);
    toShadow(s -> s.gossipReceived(message));
  }

  void shutdownStarted() {
    inputs.scheduler.shutdownStarted();
    toShadow(ShadowScheduler::shutdownStarted);
  }

  /** The scheduler rejected a VM; not an input, but what the shadow's decision is compared with. */
  void vmRejected(Vm vm, Duration retryAfter) {
    toShadow(s -> s.vmRejected(vm, retryAfter));
  }

  /** The scheduler failed a VM; see {@link #vmRejected}. */
  void vmFailed(Vm vm) {
    toShadow(s -> s.vmFailed(vm));
  }

  private void toShadow(Consumer<ShadowScheduler> input) {
    if (shadow == null) {
      return;
    }
    try {
      input.accept(shadow);
    } catch (RuntimeException e) {
      shadow = null;
      log.error().setCause(e).log("shadow scheduler dropped: it failed on an input");
    }
  }
}
