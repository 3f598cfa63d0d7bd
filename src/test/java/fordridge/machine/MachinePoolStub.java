package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;

/** A pool whose transport and listener do nothing; tests override the methods that they check. */
abstract class MachinePoolStub implements MachineTransport, MachineConnectionListener {
  private static final ConnectionTimeouts TIMEOUTS =
      new ConnectionTimeouts(Duration.ofMillis(250), Duration.ofSeconds(3));

  final OfferConnectionQuota offers;
  final Machine machine;
  final MachineConnectionPool pool;

  MachinePoolStub(int machineId) {
    this(machineId, new OfferConnectionQuota());
  }

  /** One of several pools that share the connections which may carry placement requests. */
  MachinePoolStub(int machineId, OfferConnectionQuota offers) {
    this.offers = offers;
    machine = new Machine(machineId);
    pool = new MachineConnectionPool(machine, TIMEOUTS, offers, new RetainedEntries(), this, this);
  }

  PlacementAttempt newAttempt(String vmId, Duration now) {
    PlacementAttempt attempt = new PlacementAttempt(new Vm(vmId), machine, 0, now);
    attempt.vm.attempts.add(attempt);
    return attempt;
  }

  @Override
  public boolean canOpen() {
    return true;
  }

  @Override
  public void open(MachineConnection connection) {}

  @Override
  public void close(MachineConnection connection, MachineConnectionCloseReason reason) {}

  @Override
  public boolean isConnected(MachineConnection connection) {
    return false;
  }

  @Override
  public boolean isWritable(MachineConnection connection) {
    return true;
  }

  @Override
  public boolean confirmSend(PlacementAttempt attempt) {
    return true;
  }

  @Override
  public boolean failedLocally(MachineConnection connection) {
    return false;
  }

  @Override
  public boolean requestPlacement(
      MachineConnection connection, PlacementAttempt attempt, Duration timeLeft) {
    return true;
  }

  @Override
  public void cancel(MachineConnection connection, String vmId) {}

  @Override
  public void terminate(MachineConnection connection, String vmId) {}

  @Override
  public void probe(MachineConnection connection) {}

  @Override
  public void attemptAccepted(PlacementAttempt attempt, String description) {}

  @Override
  public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {}

  @Override
  public void unknownVmTerminated(VmTermination termination, Machine ended) {}

  @Override
  public void unknownVmAccepted(String vmId, Machine accepting) {}

  @Override
  public void attemptEndedUnanswered(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    throw new AssertionError("unexpected unanswered end of " + attempt.vm.id);
  }

  @Override
  public void attemptWithdrawn(PlacementAttempt attempt, boolean flushed) {}

  @Override
  public void ping(MachineConnection connection) {}

  @Override
  public void releaseSent(String vmId, Machine asked) {}

  @Override
  public void releaseSettled(String vmId, Machine asked) {}

  @Override
  public void machineFailed(Machine failed, MachineFailure failure, int runningVms) {}

  @Override
  public void probeCompleted(
      Machine probed, boolean healthy, boolean withLoadReport, Duration roundTrip) {}
}
