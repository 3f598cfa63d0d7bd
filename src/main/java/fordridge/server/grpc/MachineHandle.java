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

/** One machine as an instance reaches it: its stream, and what comes in on it. */
final class MachineHandle
    implements GrpcMachineTransport.Listener, MachineMessageDispatcher.Listener {
  private final InstanceContext context;
  private final String name;
  private final Machine machine;
  private final GrpcMachineTransport transport;
  private final MachineStream stream;

  /** When the next tick of the stream is scheduled; empty while none is. */
  private Optional<Duration> tickAt = Optional.empty();

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
        context.machines::describeVm);
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

  /** Lets the stream's own time pass when it is due. */
  void scheduleTick() {
    Optional<Duration> due = stream.nextDeadline();
    if (due.isEmpty() || (tickAt.isPresent() && due.get().compareTo(tickAt.get()) >= 0)) {
      return;
    }
    tickAt = due;
    context.loop.schedule(due.get().minus(context.loop.now()), this::tick);
  }

  private void tick() {
    tickAt = Optional.empty();
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
          context.machines.reconciled(this);
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
                        attempt, (s, its) -> s.coreUsageReported(its, value));
                case MEMORY_USAGE ->
                    context.scheduler.vmReported(
                        attempt, (s, its) -> s.memoryUsageReported(its, value));
                case SERVICE_LEVEL ->
                    context.scheduler.vmReported(
                        attempt, (s, its) -> s.serviceLevelReported(its, value));
                case MEMORY_PRESSURE ->
                    context.scheduler.vmReported(
                        attempt, (s, its) -> s.memoryPressureReported(its, value));
                // A start is a message of its own here; other kinds are of a later version.
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
    transport.close("said what it may not");
    stream.connectionLost(reason, context.loop.now());
  }
}
