package fordridge.server.json;

import fordridge.eventloop.InputGate;
import fordridge.json.MachineClient;
import fordridge.json.RequestPayload;
import fordridge.machine.ConnectFailure;
import fordridge.machine.LoadReport;
import fordridge.machine.MachineConnection;
import fordridge.machine.MachineConnectionCloseReason;
import fordridge.machine.MachineConnectionPool;
import fordridge.machine.VmReportKind;
import fordridge.machine.VmTermination;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import fordridge.runtime.InputKind;
import fordridge.runtime.SchedulerInputs;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * One machine and its connections: submits the events of the connections as inputs of the
 * scheduler. Confined to the event loop.
 */
final class MachineHandle implements MachineClient.Listener {
  private final String id;
  private final Machine machine;
  private final SchedulerEventLoop loop;
  private final InputGate gate;
  private final SchedulerInputs<String> inputs;
  private final ActiveRequests requests;
  private final RequestLog requestLog;
  private final MachineAcknowledgements acknowledgements;
  private MachineClient client;
  private MachineConnectionPool pool;

  /** When a placement request was last written to the machine; null if none was. */
  private Duration lastOfferAt;

  private long loadReportCount;
  private boolean isStopped;

  /** The machine that has taken over the address and the VMs of the process there; or null. */
  private MachineHandle successor;

  MachineHandle(
      String id,
      SchedulerEventLoop loop,
      InputGate gate,
      SchedulerInputs<String> inputs,
      ActiveRequests requests,
      RequestLog requestLog,
      Predicate<String> isNoticeUndelivered) {
    this.id = id;
    this.loop = loop;
    this.gate = gate;
    this.inputs = inputs;
    this.requests = requests;
    this.requestLog = requestLog;
    machine = inputs.machine(id);
    acknowledgements =
        new MachineAcknowledgements(
            vmId ->
                isNoticeUndelivered.test(vmId) || pool.hasUnclaimedTermination(vmId, loop.clock()),
            this::acknowledge);
  }

  /** Sets the client and the pool; to be called once, before any other method. */
  void attach(MachineClient client, MachineConnectionPool pool) {
    this.client = client;
    this.pool = pool;
  }

  String id() {
    return id;
  }

  Machine machine() {
    return machine;
  }

  MachineClient client() {
    return client;
  }

  MachineConnectionPool pool() {
    return pool;
  }

  Optional<Duration> lastOfferAt() {
    return Optional.ofNullable(lastOfferAt);
  }

  long loadReportCount() {
    return loadReportCount;
  }

  /** The part of the request that is forwarded; called as the placement request is written. */
  RequestPayload payloadToOffer(Vm vm) {
    lastOfferAt = loop.clock();
    requestLog.offerWritten(vm, id, machine.hostedServices.get(vm.service), lastOfferAt);
    return requests.payloadOf(vm);
  }

  @Override
  public void messageReceived() {
    pool.messageReceived(loop.clock());
  }

  @Override
  public void connectionEstablished(MachineConnection connection) {
    requestLog.vmLog().machineConnectionUp(id, loop.clock().minus(connection.openedAt()));
    gate.submitAfterRead(
        InputKind.MACHINE_CONNECTED, () -> pool.connectionEstablished(connection, loop.now()));
  }

  @Override
  public void connectionWritable(MachineConnection connection) {
    gate.submitAfterRead(
        InputKind.MACHINE_WRITABLE, () -> pool.connectionWritable(connection, loop.now()));
  }

  @Override
  public void connectionFailed(MachineConnection connection, ConnectFailure failure) {
    Duration openFor = loop.clock().minus(connection.openedAt());
    requestLog.vmLog().machineConnectionFailed(id, failure, openFor);
    loop.submit(
        InputKind.MACHINE_CONNECT_FAILED,
        () -> pool.connectionFailed(connection, failure, loop.now()));
  }

  @Override
  public void connectionLost(MachineConnection connection, String reason) {
    Duration openFor = loop.clock().minus(connection.openedAt());
    List<String> requestIds = connection.placementRequestIds();
    requestLog.vmLog().machineConnectionLost(id, reason, openFor, requestIds);
    loop.submit(
        InputKind.MACHINE_CONNECTION_LOST, () -> pool.connectionLost(connection, loop.now()));
  }

  @Override
  public void connectionClosing(MachineConnection connection, MachineConnectionCloseReason reason) {
    Duration openFor = loop.clock().minus(connection.openedAt());
    requestLog.vmLog().machineConnectionClosed(id, reason, openFor);
  }

  @Override
  public void connectionClosed(MachineConnection connection, boolean isReadToEnd) {
    loop.submit(
        InputKind.MACHINE_CONNECTION_LOST,
        () -> pool.connectionClosed(connection, isReadToEnd, loop.now()));
  }

  @Override
  public void vmAccepted(MachineConnection connection, String vmId, String description) {
    loop.submit(
        InputKind.VM_ACCEPTED, () -> pool.vmAccepted(connection, vmId, description, loop.now()));
  }

  /** Another machine has taken over the address and the VMs of the process there. */
  void setSuccessor(MachineHandle newSuccessor) {
    successor = newSuccessor;
  }

  /** The pool that knows the VM; its messages may still arrive on connections of this machine. */
  private MachineConnectionPool poolOf(String vmId) {
    boolean isTakenOver = successor != null && successor.pool.findRunningAttempt(vmId).isPresent();
    return isTakenOver ? successor.pool : pool;
  }

  private void acknowledge(MachineConnection connection, String vmId) {
    if (!isStopped) {
      client.acknowledge(connection, vmId);
    }
  }

  /** Applies timeouts and sends acknowledgements that are due; to be called periodically. */
  void tick() {
    pool.tick(loop.now());
    acknowledgements.sendDue();
  }

  /**
   * Ignores termination notices and sends no acknowledgements from now on: no client is left to be
   * notified.
   */
  void stopListening() {
    isStopped = true;
  }

  @Override
  public void vmTerminated(MachineConnection connection, VmTermination termination) {
    if (isStopped) {
      return;
    }
    loop.submit(
        InputKind.VM_TERMINATED,
        () -> {
          poolOf(termination.vmId()).vmTerminated(connection, termination, loop.now());
          // Queued after the notice to the client.
          loop.enqueue(() -> acknowledgements.terminationReceived(connection, termination.vmId()));
        });
  }

  @Override
  public void probeAnswered(MachineConnection connection, boolean healthy, boolean withLoadReport) {
    loop.submit(
        InputKind.PROBE_ANSWERED,
        () -> pool.probeAnswered(connection, healthy, withLoadReport, loop.now()));
  }

  @Override
  public void vmReported(
      MachineConnection connection, String vmId, VmReportKind kind, double value) {
    loop.submit(
        InputKind.VM_REPORTED,
        () -> {
          pool.vmReported(connection, vmId);
          Optional<PlacementAttempt> running = pool.findRunningAttempt(vmId);
          if (running.isPresent()) {
            reportVm(running.get(), kind, value);
          }
        });
  }

  @Override
  public void terminationAcknowledged(MachineConnection connection, String vmId) {
    loop.submit(InputKind.VM_TERMINATED, () -> poolOf(vmId).terminationAcknowledged(vmId));
  }

  private void reportVm(PlacementAttempt attempt, VmReportKind kind, double value) {
    if (kind != VmReportKind.STARTED && !Double.isFinite(value)) {
      return;
    }
    switch (kind) {
      case STARTED -> inputs.scheduler.vmStarted(attempt);
      case CORE_USAGE -> inputs.scheduler.coreUsageReported(attempt, value);
      case MEMORY_USAGE -> inputs.scheduler.memoryUsageReported(attempt, value);
      case SERVICE_LEVEL -> inputs.scheduler.serviceLevelReported(attempt, value);
      case MEMORY_PRESSURE -> inputs.scheduler.memoryPressureReported(attempt, value);
      case UNKNOWN -> {}
    }
  }

  @Override
  public void loadReported(LoadReport report, boolean answersProbe) {
    loop.submit(
        InputKind.LOAD_REPORTED,
        () -> {
          loadReportCount++;
          inputs.loadReported(
              machine, report.spareCores(), report.spareMemory(), report.utilization(), loop.now());
          if (!answersProbe) {
            inputs.scheduler.loadReported(machine);
          }
        });
  }
}
