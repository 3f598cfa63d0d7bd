package fordridge.server.grpc;

import fordridge.grpc.GrpcMachineTransport;
import fordridge.grpc.MachineMessageDispatcher;
import fordridge.machine.AttemptId;
import fordridge.machine.LoadReport;
import fordridge.machine.MachineStream;
import fordridge.machine.VmReportKind;
import fordridge.model.Machine;
import fordridge.model.SeededRandom;
import fordridge.v1.FromMachine;
import fordridge.v1.Holding;
import java.time.Duration;
import java.util.Optional;

/** An instance's connection to one machine: the stream, and the handling of its messages. */
final class MachineHandle
    implements GrpcMachineTransport.Listener, MachineMessageDispatcher.Listener {
  private final InstanceContext context;
  private final String name;
  private final Machine machine;
  private final GrpcMachineTransport transport;
  private final MachineStream stream;

  /** The time for which the next tick of the stream is scheduled; empty if none is. */
  private Optional<Duration> nextTickAt = Optional.empty();

  MachineHandle(InstanceContext context, String name, Machine machine) {
    this.context = context;
    this.name = name;
    this.machine = machine;
    transport = newTransport();
    stream =
        new MachineStream(
            machine,
            context.machines.streamSettings(),
            transport,
            context.attempts,
            new SeededRandom(context.seed ^ machine.id));
  }

  private GrpcMachineTransport newTransport() {
    return new GrpcMachineTransport(
        context.name,
        context.eventLoop,
        context.settings().connections().connectTimeout(),
        context.settings().connections().keepaliveInterval(),
        context.settings().connections().maxMessageBytes(),
        this,
        context.machines::completeOffer);
  }

  String name() {
    return name;
  }

  Machine machine() {
    return machine;
  }

  GrpcMachineTransport transport() {
    return transport;
  }

  MachineStream stream() {
    return stream;
  }

  /** Schedules a tick for the stream's next deadline, unless an earlier tick is scheduled. */
  void scheduleTick() {
    Optional<Duration> due = stream.nextDeadline();
    if (due.isEmpty() || (nextTickAt.isPresent() && due.get().compareTo(nextTickAt.get()) >= 0)) {
      return;
    }
    nextTickAt = due;
    context.loop.schedule(due.get().minus(context.loop.now()), this::tick);
  }

  private void tick() {
    nextTickAt = Optional.empty();
    stream.tick(context.loop.now());
    if (stream.state() == MachineStream.State.BACKING_OFF) {
      context.machines.connectionFailed(this);
    }
    scheduleTick();
  }

  @Override
  public void inventoryReceived(Holding inventory) {
    context.loop.process(
        () -> {
          MachineMessageDispatcher.dispatchInventory(inventory, stream, context.loop.now());
          context.machines.inventoryReceived(this);
        });
  }

  @Override
  public void messageReceived(FromMachine message) {
    context.loop.process(
        () ->
            MachineMessageDispatcher.dispatch(
                message, stream, transport, this, context.loop.now()));
  }

  @Override
  public void transportReady() {
    context.loop.process(() -> stream.transportReady(context.loop.now()));
  }

  @Override
  public void connectionLost(String reason) {
    context.loop.process(
        () -> {
          stream.connectionLost(reason, context.loop.now());
          context.machines.connectionFailed(this);
        });
  }

  @Override
  public void loadReported(LoadReport report) {
    context.scheduler.setLoad(machine, name, report, context.loop.now());
  }

  @Override
  public void loadReportCompleted() {
    context.scheduler.loadReported(machine, name);
  }

  @Override
  public void vmReported(AttemptId attemptId, VmReportKind kind, double value) {
    stream
        .findAttempt(attemptId)
        .ifPresent(
            attempt -> {
              switch (kind) {
                case CORE_USAGE ->
                    context.scheduler.vmReported(
                        attempt,
                        (scheduler, vmAttempt) -> scheduler.coreUsageReported(vmAttempt, value));
                case MEMORY_USAGE ->
                    context.scheduler.vmReported(
                        attempt,
                        (scheduler, vmAttempt) -> scheduler.memoryUsageReported(vmAttempt, value));
                case SERVICE_LEVEL ->
                    context.scheduler.vmReported(
                        attempt,
                        (scheduler, vmAttempt) -> scheduler.serviceLevelReported(vmAttempt, value));
                case MEMORY_PRESSURE ->
                    context.scheduler.vmReported(
                        attempt,
                        (scheduler, vmAttempt) ->
                            scheduler.memoryPressureReported(vmAttempt, value));
                // In this protocol a start has its own message type, and unknown kinds come from
                // machines of a later version.
                case STARTED, UNKNOWN -> {}
              }
            });
  }

  @Override
  public void protocolViolated(String reason) {
    context
        .log
        .warn()
        .addKeyValue("machine", name)
        .addKeyValue("reason", reason)
        .log("machine violated the protocol");
    transport.close("protocol violation");
    stream.connectionLost(reason, context.loop.now());
  }
}
