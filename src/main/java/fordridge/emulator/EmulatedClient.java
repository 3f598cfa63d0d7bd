package fordridge.emulator;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import fordridge.v1.Bound;
import fordridge.v1.ClientMessage;
import fordridge.v1.Denied;
import fordridge.v1.Ended;
import fordridge.v1.PlacerMessage;
import fordridge.v1.Unwant;
import fordridge.v1.Want;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * An emulated client: requests VMs from its scheduler at a configured mean rate. It retries after a
 * rejection or the loss of a VM, and after a failed request if the VM is idempotent.
 *
 * <p>Confined to its event loop; other threads call {@link #execute}.
 */
final class EmulatedClient implements EmulatedClientStream.Handler {
  /** Requests with this time or less until their deadline are not sent. */
  private static final long MIN_TIME_LEFT_US = 50_000;

  private static final long RETRY_AFTER_MIGRATION_US = 50_000;
  private static final long MIN_RETRY_AFTER_LOSS_US = 50_000;
  private static final int RETRY_AFTER_LOSS_JITTER_US = 300_000;

  /** A lost VM with this remaining run time or less is not requested again. */
  private static final long MIN_REMAINING_LIFE_US = 1_000_000;

  private static final double MIN_LIFE_SECONDS = 1;

  /** Run times are drawn from an exponential distribution, truncated at this quantile. */
  private static final double LIFE_QUANTILE = 0.95;

  private final String name;
  private final EventLoop loop;
  private final WireRecorder recorder;
  private final ClientOutcomes outcomes;
  private final ScenarioPlan.Clients plan;
  private final List<ServiceProfile> services;
  private final UniformRandomProvider random;
  private final EmulatedClientStream stream;
  private final Map<String, RequestedVm> pending = new LinkedHashMap<>();
  private final Map<String, RequestedVm> running = new LinkedHashMap<>();
  private final Deque<RequestedVm> unsent = new ArrayDeque<>();
  private long lastWorkloadNumber;
  private double ratePerSecond;
  private volatile int pendingCount;

  /**
   * The name of a client, its scheduler, its share of the load and its seed.
   *
   * @param port the loopback port of its scheduler
   * @param ratePerSecond mean number of VMs that it requests per second
   */
  record Identity(String name, int port, double ratePerSecond, long seed) {}

  EmulatedClient(
      Identity identity,
      EventLoop loop,
      WireRecorder recorder,
      ClientOutcomes outcomes,
      ScenarioPlan.Clients plan,
      List<ServiceProfile> services) {
    name = identity.name();
    ratePerSecond = identity.ratePerSecond();
    this.loop = loop;
    this.recorder = recorder;
    this.outcomes = outcomes;
    this.plan = plan;
    this.services = services;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(identity.seed());
    stream = new EmulatedClientStream(name, identity.port(), loop, recorder, random, this);
  }

  /** Runs an action on the event loop of this client. */
  void execute(Runnable action) {
    loop.execute(action);
  }

  /** Number of requests that wait for a response. May be called from any thread. */
  int pendingCount() {
    return pendingCount;
  }

  // All methods below are called on the event loop.

  /** The stream to the scheduler, on which faults are injected. */
  EmulatedClientStream stream() {
    return stream;
  }

  /** Multiplies the request rate. */
  void scaleRate(double factor) {
    ratePerSecond *= factor;
  }

  /** Undoes an earlier {@link #scaleRate} with the same factor. */
  void undoScaleRate(double factor) {
    ratePerSecond /= factor;
  }

  /** Requests batches of VMs at random intervals until this time of the recording. */
  void requestUntil(long endUs) {
    double waitSeconds = -Math.log(1 - random.nextDouble()) * plan.meanBatchSize() / ratePerSecond;
    Timers.schedule(
        loop,
        Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos((long) (waitSeconds * 1e6))),
        () -> {
          if (recorder.nowUs() < endUs) {
            requestBatch();
            requestUntil(endUs);
          }
        });
  }

  private void requestBatch() {
    ServiceProfile service = services.get(random.nextInt(services.size()));
    int count = 1 + random.nextInt((int) Math.round(2 * plan.meanBatchSize() - 1));
    for (int i = 0; i < count; i++) {
      requestNewVm(service);
    }
  }

  private void requestNewVm(ServiceProfile service) {
    double lifeSeconds =
        Math.max(
            MIN_LIFE_SECONDS,
            service.meanLifeSeconds() * -Math.log(1 - random.nextDouble() * LIFE_QUANTILE));
    lastWorkloadNumber++;
    String workload = name + "-" + lastWorkloadNumber;
    outcomes.requested(service);
    request(new RequestedVm(workload, service, recorder.nowUs(), (long) (lifeSeconds * 1e6)));
  }

  /**
   * Stops a share of the running VMs, drawn at random, and requests the idempotent ones again
   * within the given time.
   */
  void restartVms(double share, Duration within) {
    for (String vm : List.copyOf(running.keySet())) {
      if (random.nextDouble() < share) {
        RequestedVm stopped = running.remove(vm);
        recorder.event(name, RecordedEventKind.REQUEST_WITHDRAWN).with(RecordField.VM, vm).write();
        stream.write(ClientMessage.newBuilder().setUnwant(Unwant.newBuilder().setVm(vm)));
        if (stopped.isIdempotent()) {
          requestAgain(stopped, 1 + random.nextInt((int) Math.max(1, within.toNanos() / 1000)));
        }
      }
    }
  }

  private void requestAgain(RequestedVm vm, long delayUs) {
    if (vm.requestCount() < plan.maxAttempts() && stream.isOpen()) {
      Timers.schedule(
          loop, Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(delayUs)), () -> request(vm));
    }
  }

  private void request(RequestedVm vm) {
    vm.markRequested(recorder.nowUs());
    unsent.addLast(vm);
    writable();
  }

  /**
   * Sends unsent requests while the transport is ready. A request carries the time until its
   * deadline as of the moment it is written, so it must not wait in a transport buffer.
   */
  @Override
  public void writable() {
    while (stream.isWritable() && !unsent.isEmpty()) {
      send(unsent.removeFirst());
    }
  }

  private void send(RequestedVm vm) {
    long timeLeftUs = vm.timeLeftUs(recorder.nowUs());
    if (timeLeftUs <= MIN_TIME_LEFT_US) {
      return;
    }
    pending.put(vm.requestName(), vm);
    pendingCount = pending.size();
    recorder
        .event(name, RecordedEventKind.PLACEMENT_REQUESTED)
        .with(RecordField.VM, vm.requestName())
        .with(RecordField.WORKLOAD, vm.workload)
        .with(RecordField.PRIORITY_CLASS, vm.service.priorityClass().name())
        .with(RecordField.TIME_LEFT, timeLeftUs)
        .write();
    write(vm);
  }

  private void write(RequestedVm vm) {
    ServiceProfile service = vm.service;
    stream.write(
        ClientMessage.newBuilder()
            .setWant(
                Want.newBuilder()
                    .setVm(vm.requestName())
                    .setWorkload(vm.workload)
                    .setFlavour(service.priorityClass().name())
                    .setService(service.number())
                    .setCustomer(service.tenant())
                    .setCores(service.shape().cores())
                    .setMemory(service.shape().memory())
                    .setTimeLeftUs(Math.max(1, vm.timeLeftUs(recorder.nowUs())))
                    .setLastsUs(vm.remainingLifeUs())
                    .setAgain(vm.requestCount() > 1)));
  }

  /**
   * Repeats the pending requests, which may have been lost with the previous stream. A scheduler
   * that did receive them recognizes the repetitions by the VM names.
   */
  @Override
  public void connected() {
    List.copyOf(pending.values()).forEach(this::write);
    writable();
  }

  @Override
  public void received(PlacerMessage message, long nowUs) {
    switch (message.getBodyCase()) {
      case BOUND -> accepted(message.getBound(), nowUs);
      case DENIED -> rejected(message.getDenied());
      case ERRORED -> failed(message.getErrored().getVm());
      case ENDED -> ended(message.getEnded(), nowUs);
      case MOVED -> migrated(message.getMoved().getVm());
      default -> recorder.event(name, RecordedEventKind.UNKNOWN_MESSAGE).write();
    }
  }

  private Optional<RequestedVm> removePending(String vm) {
    Optional<RequestedVm> removed = Optional.ofNullable(pending.remove(vm));
    pendingCount = pending.size();
    return removed;
  }

  private void accepted(Bound bound, long nowUs) {
    recorder
        .event(name, RecordedEventKind.REQUEST_ACCEPTED)
        .with(RecordField.VM, bound.getVm())
        .with(RecordField.MACHINE, bound.getMachine())
        .write();
    removePending(bound.getVm())
        .ifPresent(
            vm -> {
              if (vm.markRunning(nowUs)) {
                outcomes.running(vm.service, vm.sinceFirstRequestUs(nowUs));
              }
              running.put(bound.getVm(), vm);
            });
  }

  private void rejected(Denied denied) {
    recorder
        .event(name, RecordedEventKind.REQUEST_REJECTED)
        .with(RecordField.VM, denied.getVm())
        .write();
    removePending(denied.getVm())
        .ifPresent(
            vm -> {
              outcomes.rejected(vm.service);
              requestAgain(vm, Math.max(denied.getRetryAfterUs(), drawRetryUs()));
            });
  }

  /**
   * Retries only idempotent VMs: after a failure the VM may be running, and one that is not
   * idempotent must not run twice.
   */
  private void failed(String vmName) {
    recorder.event(name, RecordedEventKind.REQUEST_FAILED).with(RecordField.VM, vmName).write();
    removePending(vmName)
        .ifPresent(
            vm -> {
              outcomes.failed(vm.service);
              if (vm.isIdempotent()) {
                requestAgain(vm, drawRetryUs());
              }
            });
  }

  private long drawRetryUs() {
    return (long) (plan.retryMillis().draw(random) * 1000);
  }

  private void ended(Ended ended, long nowUs) {
    Ended.How how = ended.getHow();
    recorder
        .event(name, RecordedEventKind.ENDED)
        .with(RecordField.VM, ended.getVm())
        .with(RecordField.END_KIND, how)
        .write();
    RequestedVm vm = running.remove(ended.getVm());
    if (vm == null) {
      return;
    }
    outcomes.ended(vm.service, how);
    vm.markEnded(nowUs);
    boolean isLost = how != Ended.How.DONE && how != Ended.How.ERROR;
    if (isLost && vm.remainingLifeUs() > MIN_REMAINING_LIFE_US) {
      requestAgain(vm, MIN_RETRY_AFTER_LOSS_US + random.nextInt(RETRY_AFTER_LOSS_JITTER_US));
    }
  }

  private void migrated(String vmName) {
    recorder.event(name, RecordedEventKind.VM_MIGRATED).with(RecordField.VM, vmName).write();
    RequestedVm vm = running.remove(vmName);
    if (vm != null) {
      requestAgain(vm, RETRY_AFTER_MIGRATION_US);
    }
  }

  /** Connects to the scheduler. */
  void open() {
    stream.open();
  }

  void close() {
    stream.close();
  }
}
