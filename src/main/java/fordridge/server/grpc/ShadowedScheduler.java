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
 * The scheduler and its {@link ShadowScheduler}, if one is configured: each input goes to the
 * scheduler and then to the shadow, except that the shadow gets a new VM first. A shadow that
 * throws on an input is dropped, and the scheduler continues without it. Confined to the event
 * loop.
 */
final class ShadowedScheduler {
  private final SchedulerInputs<String> inputs;
  private final SchedulerLog log;

  /** Null if no shadow is configured, or after it was dropped. */
  private ShadowScheduler shadow;

  ShadowedScheduler(SchedulerActions actions, SchedulerLog log) {
    inputs = new SchedulerInputs<>(actions, SchedulerInputs::machineId);
    this.log = log;
  }

  /** The scheduler itself, with its VMs and machines by name. */
  SchedulerInputs<String> inputs() {
    return inputs;
  }

  void setShadow(ShadowScheduler newShadow) {
    shadow = newShadow;
  }

  void advanceTo(Duration now) {
    inputs.scheduler.advanceTo(now);
    forwardToShadow(s -> s.advanceTo(now));
  }

  void machineListReceived(
      boolean isSnapshot, boolean isStale, List<ListedMachine<String>> machines) {
    inputs.machineListReceived(isSnapshot, isStale, machines);
    forwardToShadow(s -> s.machineListReceived(isSnapshot, isStale, machines));
  }

  void schedulerCountChanged(int count) {
    inputs.scheduler.schedulerCountChanged(count);
    forwardToShadow(s -> s.schedulerCountChanged(count));
  }

  /** Passes the VM to the shadow first, so that both see the same constraint state. */
  void vmRequested(Vm vm) {
    inputs.addVm(vm);
    forwardToShadow(s -> s.vmRequested(vm));
    inputs.scheduler.vmRequested(vm);
    forwardToShadow(s -> s.vmDecided(vm));
  }

  void vmAdopted(Vm vm, Machine machine, String machineName) {
    inputs.addVm(vm);
    inputs.scheduler.vmAdopted(vm, machine);
    forwardToShadow(s -> s.vmAdopted(vm, machineName));
  }

  void attemptAccepted(PlacementAttempt attempt) {
    inputs.scheduler.attemptAccepted(attempt);
    forwardToShadow(s -> s.vmAccepted(attempt.vm));
  }

  void attemptEnded(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason, boolean wasAccepted) {
    inputs.scheduler.attemptEnded(attempt, outcome, reason, wasAccepted || attempt.vm.isFinished);
    forwardToShadow(s -> s.attemptEnded(attempt, outcome, reason, wasAccepted));
  }

  /** A report on an accepted VM; {@code input} is the scheduler's input for it. */
  void vmReported(PlacementAttempt attempt, BiConsumer<Scheduler, PlacementAttempt> input) {
    input.accept(inputs.scheduler, attempt);
    forwardToShadow(s -> s.vmReported(attempt.vm, input));
  }

  void requestAbandoned(Vm vm) {
    inputs.scheduler.requestAbandoned(vm);
    forwardToShadow(s -> s.requestAbandoned(vm));
  }

  /** Sets a machine's load, which both schedulers read on their next input. */
  void setLoad(Machine machine, String machineName, LoadReport report, Duration now) {
    inputs.loadReported(
        machine, report.spareCores(), report.spareMemory(), report.utilization(), now);
    forwardToShadow(s -> s.setLoad(machineName, report, now));
  }

  void loadReported(Machine machine, String machineName) {
    inputs.scheduler.loadReported(machine);
    forwardToShadow(s -> s.loadReported(machineName));
  }

  /** The cluster changed in a way that may allow any pending VM to be placed. */
  void capacityMayHaveChanged() {
    inputs.scheduler.loadReported(null);
    forwardToShadow(ShadowScheduler::capacityMayHaveChanged);
  }

  void probeCompleted(
      Machine machine, String machineName, boolean isHealthy, boolean withLoadReport) {
    inputs.scheduler.probeCompleted(machine, isHealthy, withLoadReport);
    forwardToShadow(s -> s.probeCompleted(machineName, isHealthy));
  }

  void gossipReceived(String message) {
    inputs.scheduler.gossipReceived(message);
    forwardToShadow(s -> s.gossipReceived(message));
  }

  void shutdownStarted() {
    inputs.scheduler.shutdownStarted();
    forwardToShadow(ShadowScheduler::shutdownStarted);
  }

  /** Reports to the shadow that the scheduler rejected a VM, for comparison; not an input. */
  void vmRejected(Vm vm, Duration retryAfter) {
    forwardToShadow(s -> s.vmRejected(vm, retryAfter));
  }

  /** Reports to the shadow that the scheduler failed a VM, for comparison; not an input. */
  void vmFailed(Vm vm) {
    forwardToShadow(s -> s.vmFailed(vm));
  }

  private void forwardToShadow(Consumer<ShadowScheduler> input) {
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
