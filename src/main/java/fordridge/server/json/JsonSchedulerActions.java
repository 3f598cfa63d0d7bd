package fordridge.server.json;

import fordridge.eventloop.InputGate;
import fordridge.machine.MachineConnectionPool;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.Vm;
import fordridge.runtime.InputKind;
import fordridge.runtime.SchedulerInputs;
import fordridge.scheduling.SchedulerActions;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Carries out the scheduler's decisions on the connections to clients and machines. Called while an
 * input runs; an action that may cause another input is queued to run after it. Confined to the
 * event loop.
 */
final class JsonSchedulerActions implements SchedulerActions {
  private final SchedulerEventLoop loop;
  private final InputGate gate;
  private final ClientResponder clients;
  private final RequestLog requestLog;
  private final AttemptTimers attemptTimers;
  private final Consumer<String> log;
  private ServerSettings settings;
  private SchedulerInputs<String> inputs;
  private MachineRegistry machines;
  private ActiveRequests requests;

  JsonSchedulerActions(
      SchedulerEventLoop loop,
      InputGate gate,
      ClientResponder clients,
      ServerSettings settings,
      RequestLog requestLog,
      AttemptTimers attemptTimers,
      Consumer<String> log) {
    this.loop = loop;
    this.gate = gate;
    this.clients = clients;
    this.settings = settings;
    this.requestLog = requestLog;
    this.attemptTimers = attemptTimers;
    this.log = log;
  }

  /**
   * Sets the parts that are created after these actions, as the scheduler needs the actions to be
   * created. To be called once, before the scheduler starts.
   */
  void attach(SchedulerInputs<String> inputs, MachineRegistry machines, ActiveRequests requests) {
    this.inputs = inputs;
    this.machines = machines;
    this.requests = requests;
  }

  /** Replaces the settings, from the next attempt on. */
  void setSettings(ServerSettings newSettings) {
    settings = newSettings;
  }

  @Override
  public boolean isAllInputRead() {
    return gate.mayDecide();
  }

  @Override
  public void sendAttempt(PlacementAttempt attempt, Duration timeout) {
    gate.submitAfterRead(InputKind.OFFER, () -> offer(attempt, timeout));
    attemptTimers.add(
        attempt,
        loop.submitAfterSocketRead(
            timeout, InputKind.ATTEMPT_TIMEOUT, () -> attemptTimedOut(attempt)));
  }

  private void offer(PlacementAttempt attempt, Duration timeout) {
    if (attempt.isInFlight()) {
      Duration timeLeft = timeout.minus(loop.now().minus(attempt.sentAt));
      boolean isIdempotent = settings.isIdempotent(attempt.vm.priorityClass);
      machines.poolOf(attempt).offer(attempt, timeLeft, isIdempotent, loop.now());
    }
  }

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {
    loop.enqueue(() -> cancelIfPending(attempt, Outcome.CANCELLED));
  }

  private void attemptTimedOut(PlacementAttempt attempt) {
    if (machines.poolOf(attempt).isKnownToRun(attempt)) {
      // Only the answer is late. A withdrawal would end the VM and place it again, so the answer is
      // awaited until the client's deadline.
      requestLog.vmLog().lateAnswerAwaited(attempt, machines.handleOf(attempt.machine).id());
    } else {
      cancelIfPending(attempt, Outcome.TIMEOUT);
    }
  }

  private void cancelIfPending(PlacementAttempt attempt, Outcome outcome) {
    if (attempt.isInFlight() && attempt.acceptedAt == null) {
      machines.poolOf(attempt).cancel(attempt, outcome, loop.now());
    }
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    clients.sendRejected(vm, retryAfter);
    requestLog.rejected(vm, loop.clock());
    requests.removeIfFinished(vm);
  }

  @Override
  public void fail(Vm vm) {
    clients.sendFailed(vm);
    requestLog.failed(vm, loop.clock());
    requests.removeIfFinished(vm);
  }

  @Override
  public void migrate(Vm vm) {
    clients.notifyMigrated(vm, loop.now());
    MachineConnectionPool pool = machines.poolOf(vm.acceptedAttempt);
    pool.terminate(vm.acceptedAttempt, loop.now());
  }

  @Override
  public void probe(Machine machine) {
    loop.enqueue(() -> machines.poolOf(machine).probe(loop.now()));
  }

  @Override
  public void scheduleTimer(Duration delay) {
    loop.submitAfter(delay, InputKind.SCHEDULER_TIMER, inputs.scheduler::timerFired);
  }

  @Override
  public void log(String line) {
    log.accept(line);
  }

  /** Confirms the watch to the scheduler by an empty change: the list is watched from the start. */
  @Override
  public void watchMachineList(boolean enabled) {
    loop.enqueue(() -> inputs.machineListReceived(false, false, List.of()));
  }

  /** Does nothing: the watch pushes the machine list. */
  @Override
  public void fetchMachineList() {}
}
