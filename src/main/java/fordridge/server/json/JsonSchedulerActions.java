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
 * Carries out what the scheduler decides, on the connections to clients and machines. It is called
 * from within an input; what may lead to another input is entered behind it. Confined to the event
 * loop.
 */
final class JsonSchedulerActions implements SchedulerActions {
  private final SchedulerEventLoop loop;
  private final InputGate gate;
  private final ClientResponder clients;
  private final RequestLog requestLog;
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
      Consumer<String> log) {
    this.loop = loop;
    this.gate = gate;
    this.clients = clients;
    this.settings = settings;
    this.requestLog = requestLog;
    this.log = log;
  }

  /** To be called once before the scheduler starts, which needs the actions to be made. */
  void attach(SchedulerInputs<String> inputs, MachineRegistry machines, ActiveRequests requests) {
    this.inputs = inputs;
    this.machines = machines;
    this.requests = requests;
  }

  /** Other settings hold from the next attempt on. */
  void setSettings(ServerSettings newSettings) {
    settings = newSettings;
  }

  @Override
  public boolean isInputRead() {
    return gate.mayDecide();
  }

  @Override
  public void sendAttempt(PlacementAttempt attempt, Duration within) {
    gate.enterWhenRead(InputKind.OFFER, () -> offer(attempt, within));
    loop.enterBehindReadsAfter(within, InputKind.ATTEMPT_TIMEOUT, () -> attemptTimedOut(attempt));
  }

  private void offer(PlacementAttempt attempt, Duration within) {
    if (attempt.isInFlight()) {
      Duration timeLeft = within.minus(loop.now().minus(attempt.sentAt));
      boolean isIdempotent = settings.isIdempotent(attempt.vm.priorityClass);
      machines.poolOf(attempt).offer(attempt, timeLeft, isIdempotent, loop.now());
    }
  }

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {
    loop.enterBehind(() -> cancelIfPending(attempt, Outcome.CANCELLED));
  }

  private void attemptTimedOut(PlacementAttempt attempt) {
    if (machines.poolOf(attempt).isKnownToRun(attempt)) {
      // Only its answer is late. Withdrawn, it would end, and be placed again: it is waited for
      // until its client's deadline.
      requestLog.vms().answerAwaited(attempt, machines.handleOf(attempt.machine).id());
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
    clients.reject(vm, retryAfter);
    requestLog.rejected(vm, loop.clock());
    requests.forgetIfOver(vm);
  }

  @Override
  public void fail(Vm vm) {
    clients.fail(vm);
    requestLog.failed(vm, loop.clock());
    requests.forgetIfOver(vm);
  }

  @Override
  public void migrate(Vm vm) {
    clients.notifyMigrated(vm, loop.now());
    MachineConnectionPool pool = machines.poolOf(vm.acceptedAttempt);
    pool.terminate(vm.acceptedAttempt, loop.now());
  }

  @Override
  public void probe(Machine machine) {
    loop.enterBehind(() -> machines.poolOf(machine).probe(loop.now()));
  }

  @Override
  public void scheduleTimer(Duration delay) {
    loop.enterAfter(delay, InputKind.SCHEDULER_TIMER, inputs.scheduler::timerFired);
  }

  @Override
  public void log(String line) {
    log.accept(line);
  }

  /** The list is watched from the start; an empty change confirms it to the scheduler. */
  @Override
  public void watchMachineList(boolean on) {
    loop.enterBehind(() -> inputs.list(false, false, List.of()));
  }

  /** Nothing to do: the list is pushed here. */
  @Override
  public void fetchMachineList() {}
}
