package fordridge.emulator.machine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Examines offers and probes one at a time, in the order in which they arrived, and accepts or
 * refuses the offers. Each examination takes time.
 */
final class AdmissionQueue {
  /** The time to examine a probe, as a share of the time to examine an offer. */
  private static final double PROBE_TIME_SHARE = 0.1;

  /** A queued offer, or a queued probe if there is no VM. */
  private record Item(Optional<HostedVm> vm, String scheduler, long probeNumber) {}

  private final MachineSpec spec;
  private final ActiveFaults faults;
  private final EventQueue events;
  private final MachineRandom random;
  private final HostedVms vms;
  private final VmLifecycle lifecycle;
  private final MachineListener listener;
  private final Consumer<HostedVm> acceptedVmHandler;
  private final Deque<Item> queue = new ArrayDeque<>();
  private final OfferThrottle throttle = new OfferThrottle();
  private boolean isExamining;
  private boolean isDraining;

  /** Creates an empty queue that passes accepted VMs to the handler. */
  AdmissionQueue(MachineContext context, Consumer<HostedVm> acceptedVmHandler) {
    spec = context.spec();
    faults = context.faults();
    events = context.events();
    random = context.random();
    vms = context.vms();
    lifecycle = context.lifecycle();
    listener = context.listener();
    this.acceptedVmHandler = acceptedVmHandler;
  }

  void offered(HostedVm vm) {
    if (queue.size() >= spec.admission().queueLimit()) {
      lifecycle.refuse(vm, RefusalReason.QUEUE_FULL);
      return;
    }
    vms.add(vm);
    queue.addLast(new Item(Optional.of(vm), vm.offer().attempt().scheduler(), 0));
    examineNext();
  }

  void probed(String scheduler, long probeNumber) {
    queue.addLast(new Item(Optional.empty(), scheduler, probeNumber));
    examineNext();
  }

  void remove(HostedVm vm) {
    queue.removeIf(item -> item.vm().isPresent() && item.vm().get() == vm);
  }

  /** Refuses all offers from now on. */
  void drain() {
    isDraining = true;
  }

  void reset() {
    queue.clear();
    isExamining = false;
    isDraining = false;
  }

  private void examineNext() {
    if (isExamining || queue.isEmpty()) {
      return;
    }
    isExamining = true;
    double share = queue.peekFirst().vm().isPresent() ? 1 : PROBE_TIME_SHARE;
    Duration time = EventQueue.scaled(spec.admission().time(), share * faults.slowdown());
    events.schedule(events.now().plus(time), this::finishExamination);
  }

  private void finishExamination() {
    isExamining = false;
    Item first = queue.pollFirst();
    if (first == null) {
      return;
    }
    if (first.vm().isEmpty()) {
      listener.loadReport(first.scheduler(), first.probeNumber());
    } else if (first.vm().get().state() == HostedVm.State.QUEUED) {
      admit(first.vm().get());
    }
    examineNext();
  }

  private void admit(HostedVm vm) {
    if (faults.failureProbability() > 0 && random.nextBoolean(faults.failureProbability())) {
      lifecycle.fail(vm);
      return;
    }
    Optional<ActiveFaults.Throttle> refusingThrottle = refusingThrottle(vm);
    if (refusingThrottle.isPresent()) {
      refuseLater(vm, refusingThrottle.get().delay());
      return;
    }
    if (isDraining || vm.isPastDeadline(events.now())) {
      lifecycle.refuse(vm, RefusalReason.NOT_AVAILABLE);
      return;
    }
    Optional<RefusalReason> shortage = preemptForCapacity(vm);
    if (shortage.isPresent()) {
      lifecycle.refuse(vm, shortage.get());
      return;
    }
    vm.markAccepted();
    listener.accepted(vm);
    acceptedVmHandler.accept(vm);
  }

  private Optional<ActiveFaults.Throttle> refusingThrottle(HostedVm vm) {
    return faults.throttle().filter(active -> throttle.refuses(active, vm.offer(), events.now()));
  }

  private void refuseLater(HostedVm vm, Duration delay) {
    events.schedule(
        events.now().plus(delay),
        () -> {
          if (vm.state() == HostedVm.State.QUEUED) {
            lifecycle.refuse(vm, RefusalReason.UNSPECIFIED);
          }
        });
  }

  /**
   * Returns the reason to refuse a VM for lack of resources; empty if it fits or preemption has
   * made room for it.
   */
  private Optional<RefusalReason> preemptForCapacity(HostedVm vm) {
    MachineSpec.Capacity capacity = spec.capacity();
    double missingCores =
        vms.sumOfReserved(vm.requestedCores(), HostedVm::requestedCores)
            - capacity.coresOvercommit() * capacity.cores();
    double missingMemory =
        vms.sumOfReserved(vm.requestedMemory(), HostedVm::requestedMemory)
            - capacity.memoryOvercommit() * capacity.memory();
    boolean isShortOfCores = missingCores > Preemption.ROUNDING_TOLERANCE;
    if (!isShortOfCores && missingMemory <= Preemption.ROUNDING_TOLERANCE) {
      return Optional.empty();
    }
    RefusalReason reason = isShortOfCores ? RefusalReason.NO_CORES : RefusalReason.NO_MEMORY;
    if (!spec.admission().preempts()) {
      return Optional.of(reason);
    }
    Optional<List<HostedVm>> victims =
        Preemption.victims(vms.running(), vm.offer().priority(), missingCores, missingMemory);
    victims.ifPresent(
        preempted -> preempted.forEach(victim -> lifecycle.finish(victim, VmEnd.PREEMPTED)));
    return victims.isPresent() ? Optional.empty() : Optional.of(reason);
  }
}
