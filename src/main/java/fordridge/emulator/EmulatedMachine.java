package fordridge.emulator;

import fordridge.emulator.machine.ActiveFaults;
import fordridge.emulator.machine.HostedAttemptId;
import fordridge.emulator.machine.HostedVm;
import fordridge.emulator.machine.MachineListener;
import fordridge.emulator.machine.MachineModel;
import fordridge.emulator.machine.MachineSpec;
import fordridge.emulator.machine.RefusalReason;
import fordridge.emulator.machine.UsageProfile;
import fordridge.emulator.machine.VmEnd;
import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import fordridge.v1.ClaimName;
import fordridge.v1.FromMachine;
import fordridge.v1.Note;
import fordridge.v1.Offer;
import fordridge.v1.ToMachine;
import io.grpc.stub.ServerCallStreamObserver;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/**
 * An emulated machine: serves a {@link MachineModel} on a loopback socket, where faults can be
 * injected.
 *
 * <p>Confined to its event loop; other threads call {@link #execute}.
 */
final class EmulatedMachine implements MachineListener, MachineService.Handler {
  private final MachineSpec spec;
  private final EventLoop loop;
  private final WireRecorder recorder;
  private final MachineModel model;
  private final SocketFaults socketFaults;
  private final SchedulerStreams streams;
  private final MachineServer server;
  private final long epochNanos;
  private Optional<Duration> wakeUpAt = Optional.empty();

  /**
   * Starts to listen on a free port.
   *
   * @param epochNanos the value of {@link System#nanoTime} at time zero of the model
   */
  EmulatedMachine(
      MachineSpec spec,
      Map<String, UsageProfile> usageProfiles,
      long seed,
      EventLoop loop,
      WireRecorder recorder,
      long epochNanos)
      throws IOException {
    this.spec = spec;
    this.loop = loop;
    this.recorder = recorder;
    this.epochNanos = epochNanos;
    socketFaults = new SocketFaults(seed);
    streams = new SchedulerStreams(spec.name(), recorder);
    model = new MachineModel(spec, usageProfiles, seed, this);
    server = new MachineServer(loop, new MachineService(this));
    server.start();
  }

  String name() {
    return spec.name();
  }

  MachineSpec spec() {
    return spec;
  }

  int port() {
    return server.port();
  }

  /** Runs an action on the event loop of this machine, with the model at the current time. */
  void execute(Runnable action) {
    loop.execute(() -> run(action));
  }

  private void run(Runnable action) {
    model.advanceTo(now());
    action.run();
    model.advanceTo(now());
    model.nextEventAt().ifPresent(this::scheduleWakeUp);
  }

  private void scheduleWakeUp(Duration eventAt) {
    if (wakeUpAt.isPresent() && eventAt.compareTo(wakeUpAt.get()) >= 0) {
      return;
    }
    wakeUpAt = Optional.of(eventAt);
    Timers.schedule(
        loop,
        eventAt.minus(now()),
        () -> {
          wakeUpAt = Optional.empty();
          run(() -> {});
        });
  }

  private Duration now() {
    return Duration.ofNanos(System.nanoTime() - epochNanos);
  }

  // Messages from schedulers.

  @Override
  public void greeted(String scheduler, ServerCallStreamObserver<FromMachine> stream) {
    run(() -> handleGreeting(scheduler, stream));
  }

  private void handleGreeting(String scheduler, ServerCallStreamObserver<FromMachine> stream) {
    event(RecordedEventKind.MACHINE_STREAM_OPENED).with(RecordField.SCHEDULER, scheduler).write();
    if (socketFaults.isMute()) {
      return;
    }
    streams.opened(scheduler, stream);
    if (socketFaults.consumeCut(CutPoint.AFTER_GREETING)) {
      streams.cut(scheduler);
      return;
    }
    Collection<HostedVm> vms = model.vmsOf(scheduler);
    event(RecordedEventKind.INVENTORY_REPORTED)
        .with(RecordField.SCHEDULER, scheduler)
        .with(RecordField.INVENTORY_SIZE, vms.size())
        .write();
    stream.onNext(MachineMessages.holding(name(), model.incarnation(), vms));
  }

  @Override
  public void received(String scheduler, ToMachine message) {
    run(() -> handleMessage(scheduler, message));
  }

  private void handleMessage(String scheduler, ToMachine message) {
    switch (message.getBodyCase()) {
      case OFFER -> handleOffer(scheduler, message.getOffer());
      case CANCEL ->
          handleCancel(RecordedEventKind.CANCEL, scheduler, message.getCancel().getClaim());
      case STOP -> handleCancel(RecordedEventKind.STOP, scheduler, message.getStop().getClaim());
      case PROBE -> {
        event(RecordedEventKind.PROBE).with(RecordField.SCHEDULER, scheduler).write();
        model.probe(scheduler, message.getProbe().getNumber());
      }
      default ->
          event(RecordedEventKind.UNKNOWN_MESSAGE).with(RecordField.SCHEDULER, scheduler).write();
    }
  }

  private void handleOffer(String scheduler, Offer offer) {
    event(RecordedEventKind.OFFER)
        .with(RecordField.SCHEDULER, scheduler)
        .with(RecordField.VM, offer.getClaim().getVm())
        .with(RecordField.ATTEMPT_NUMBER, offer.getClaim().getNumber())
        .with(RecordField.PRIORITY_CLASS, offer.getFlavour())
        .with(RecordField.SERVICE, offer.getService())
        .with(RecordField.TENANT, offer.getCustomer())
        .with(RecordField.TIME_LEFT_AT_OFFER, offer.getWithinUs())
        .write();
    if (socketFaults.consumeCut(CutPoint.AFTER_OFFER_READ, offer.getFlavour())) {
      streams.cut(scheduler);
    }
    model.offer(MachineMessages.offeredVm(scheduler, offer, now()));
  }

  private void handleCancel(RecordedEventKind kind, String scheduler, ClaimName claim) {
    event(kind)
        .with(RecordField.SCHEDULER, scheduler)
        .with(RecordField.VM, claim.getVm())
        .with(RecordField.ATTEMPT_NUMBER, claim.getNumber())
        .write();
    model.cancel(MachineMessages.attemptId(scheduler, claim));
  }

  @Override
  public void closed(String scheduler, ServerCallStreamObserver<FromMachine> stream) {
    streams.closed(scheduler, stream);
  }

  // Events of the model, which are sent to the schedulers.

  @Override
  public void accepted(HostedVm vm) {
    sendResponse(vm, MachineMessages.accepted(vm), event(RecordedEventKind.ACCEPTED, vm));
  }

  @Override
  public void refused(HostedVm vm, RefusalReason reason) {
    sendResponse(
        vm,
        MachineMessages.refused(vm, reason, model),
        event(RecordedEventKind.REFUSED, vm).with(RecordField.REASON, reason.text()));
  }

  @Override
  public void started(HostedVm vm) {
    String scheduler = vm.offer().attempt().scheduler();
    String priorityClass = vm.offer().priorityClass();
    if (socketFaults.consumeCut(CutPoint.BEFORE_START_RESPONSE, priorityClass)) {
      streams.cut(scheduler);
    }
    sendResponse(
        vm,
        MachineMessages.started(vm, model),
        event(RecordedEventKind.STARTED, vm).with(RecordField.PRIORITY_CLASS, priorityClass));
    if (socketFaults.consumeCut(CutPoint.AFTER_START_RESPONSE, priorityClass)) {
      streams.cut(scheduler);
    }
  }

  @Override
  public void finished(HostedVm vm, VmEnd end, boolean hasRun) {
    sendResponse(
        vm,
        MachineMessages.finished(vm, end, hasRun),
        event(RecordedEventKind.FINISHED, vm)
            .with(RecordField.END_KIND, end.text())
            .with(RecordField.HAS_RUN, hasRun));
  }

  /**
   * Sends a response, unless there is no open stream or a fault loses it; records it either way.
   */
  private void sendResponse(HostedVm vm, FromMachine message, WireRecorder.Event event) {
    String scheduler = vm.offer().attempt().scheduler();
    Optional<ServerCallStreamObserver<FromMachine>> stream = streams.find(scheduler);
    boolean isLost = !isWritable(stream) || socketFaults.drawLoss();
    event.with(RecordField.SCHEDULER, scheduler).with(RecordField.IS_LOST, isLost).write();
    if (!isLost) {
      stream.orElseThrow().onNext(message);
    } else if (socketFaults.resetsOnLoss()) {
      streams.cut(scheduler);
    }
  }

  /** Responds to a probe. A fault that loses other responses does not lose these. */
  @Override
  public void loadReport(String scheduler, long probeNumber) {
    Optional<ServerCallStreamObserver<FromMachine>> stream = streams.find(scheduler);
    boolean isLost = !isWritable(stream);
    event(RecordedEventKind.LOAD_REPORT)
        .with(RecordField.PROBE_NUMBER, probeNumber)
        .with(RecordField.SCHEDULER, scheduler)
        .with(RecordField.IS_LOST, isLost)
        .write();
    if (!isLost) {
      stream.orElseThrow().onNext(MachineMessages.loadReport(probeNumber, model));
    }
  }

  private boolean isWritable(Optional<ServerCallStreamObserver<FromMachine>> stream) {
    return !socketFaults.isHung() && stream.isPresent() && !stream.get().isCancelled();
  }

  @Override
  public void usage(HostedVm vm, double cores, double memory) {
    sendNote(vm, Note.What.CORES, cores);
    sendNote(vm, Note.What.MEMORY, memory);
  }

  @Override
  public void degraded(HostedVm vm, double share) {
    sendNote(vm, Note.What.SERVICE, share);
  }

  @Override
  public void memoryPressure(HostedVm vm, double share) {
    sendNote(vm, Note.What.PRESSURE, share);
  }

  /** Sends a note about a VM. Unlike a response, it is dropped while the stream is not ready. */
  private void sendNote(HostedVm vm, Note.What subject, double amount) {
    String scheduler = vm.offer().attempt().scheduler();
    Optional<ServerCallStreamObserver<FromMachine>> stream = streams.find(scheduler);
    if (socketFaults.isHung() || stream.isEmpty() || !stream.get().isReady()) {
      return;
    }
    event(RecordedEventKind.USAGE_NOTE)
        .with(RecordField.SCHEDULER, scheduler)
        .with(RecordField.VM, vm.offer().attempt().vm())
        .with(RecordField.SUBJECT, subject)
        .with(RecordField.AMOUNT, amount)
        .write();
    stream.get().onNext(MachineMessages.note(vm, subject, amount));
  }

  @Override
  public void overloaded() {
    event(RecordedEventKind.MACHINE_OVERLOADED).write();
    loop.execute(() -> setVanished(true));
  }

  private WireRecorder.Event event(RecordedEventKind kind) {
    return recorder.event(name(), kind);
  }

  private WireRecorder.Event event(RecordedEventKind kind, HostedVm vm) {
    HostedAttemptId attempt = vm.offer().attempt();
    return event(kind)
        .with(RecordField.VM, attempt.vm())
        .with(RecordField.ATTEMPT_NUMBER, attempt.number());
  }

  // Access to state and faults, on the machine's event loop.

  MachineModel model() {
    return model;
  }

  ActiveFaults modelFaults() {
    return model.faults();
  }

  SocketFaults socketFaults() {
    return socketFaults;
  }

  /**
   * Starts or stops a fault in which the machine neither reads nor writes and accepts no
   * connections, while its open connections are not reset.
   */
  void setVanished(boolean on) {
    server.setReading(!on);
    socketFaults.setVanished(on);
    model.faults().setPaused(on);
  }

  /** Breaks the streams of all schedulers. */
  void cutAll() {
    streams.cutAll();
  }

  /** Emulates the death of the process: streams are reset and all VMs are lost. */
  void crash() {
    event(RecordedEventKind.CRASH).write();
    model.crash();
    streams.forgetAll();
    socketFaults.setHung(true);
    server.kill();
  }

  /** Starts the machine again at the same address without VMs; it warms up. */
  void restart() {
    if (socketFaults.isVanished()) {
      event(RecordedEventKind.CRASH).write();
      server.kill();
      streams.forgetAll();
      server.forgetListener();
    }
    socketFaults.setVanished(false);
    model.faults().setPaused(false);
    model.restart(now());
    recordStart();
    // A spare machine that joins the fleet was not killed and is already listening.
    if (server.getAndClearKilled()) {
      restartServer();
    }
  }

  private void recordStart() {
    MachineSpec.SlowStart slowStart = spec.slowStart();
    event(RecordedEventKind.MACHINE_STARTED)
        .with(RecordField.MIN_WARM_UP_OFFERS, slowStart.minOffers())
        .with(RecordField.OVERLOAD_MULTIPLE, slowStart.overloadMultiple())
        .with(RecordField.OVERLOAD_SPAN, slowStart.overloadSpan().toNanos() / 1000)
        .with(RecordField.INITIAL_SPEED_SHARE, slowStart.initialSpeedShare())
        .with(RecordField.WARM_UP, slowStart.warmUp().toNanos() / 1000)
        .with(RecordField.FULL_RATE, spec.startUp().startsPerSecond())
        .write();
  }

  /**
   * Restarts the server on a new thread: starting blocks until the event loop has bound the port.
   */
  private void restartServer() {
    Thread thread =
        new Thread(
            () -> {
              try {
                server.restart();
              } catch (IOException e) {
                event(RecordedEventKind.MACHINE_START_FAILED)
                    .with(RecordField.REASON, e.toString())
                    .write();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "restart-" + name());
    thread.setDaemon(true);
    thread.start();
  }

  void close() {
    server.close();
  }
}
