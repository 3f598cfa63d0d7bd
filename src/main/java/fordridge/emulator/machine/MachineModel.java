package fordridge.emulator.machine;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A machine as a model: it examines offers one at a time, starts VMs by and by, warms up after a
 * restart, varies in what its VMs use, evicts, preempts and drains.
 *
 * <p>Free of sockets and clocks: the time comes in by {@link #advanceTo}, so that it runs behind a
 * socket or in virtual time alike, and the same seed and inputs give the same run. Not thread-safe.
 * A model, not a measurement of real machines.
 */
public final class MachineModel {
  private final MachineSpec spec;
  private final MachineListener listener;
  private final ActiveFaults faults = new ActiveFaults();
  private final EventQueue events = new EventQueue();
  private final HostedVms vms = new HostedVms();
  private final ProgramCache programs;
  private final VmLifecycle lifecycle;
  private final SlowStartRamp slowStart;
  private final StartUpQueue startUp;
  private final AdmissionQueue admission;
  private final UsageSampler usage;
  private long incarnation = 1;

  /**
   * A warm machine at time zero.
   *
   * @param usageProfiles by priority class
   */
  public MachineModel(
      MachineSpec spec,
      Map<String, UsageProfile> usageProfiles,
      long seed,
      MachineListener listener) {
    this.spec = spec;
    this.listener = listener;
    programs = new ProgramCache(spec.startUp().cachedPrograms());
    lifecycle = new VmLifecycle(events, vms, programs, listener);
    slowStart = new SlowStartRamp(spec, events);
    MachineContext context =
        new MachineContext(
            spec, usageProfiles, faults, events, new MachineRandom(seed), vms, lifecycle, listener);
    startUp = new StartUpQueue(context, programs, slowStart);
    admission = new AdmissionQueue(context, startUp::add);
    usage = new UsageSampler(context, startUp);
    usage.sample();
  }

  /** When the machine has something to do next. */
  public Optional<Duration> nextEventAt() {
    return events.nextAt();
  }

  /** Lets time pass. A paused machine does late what fell due meanwhile. */
  public void advanceTo(Duration time) {
    events.advanceTo(time, faults::isPaused);
  }

  /** The faults in force, to be changed between calls. */
  public ActiveFaults faults() {
    return faults;
  }

  /** Counts restarts, from 1. */
  public long incarnation() {
    return incarnation;
  }

  /** A VM is offered. A repeated offer is answered as the first one was, and starts nothing. */
  public void offered(HostedVm vm) {
    if (events.isHalted()) {
      return;
    }
    Optional<HostedVm> known = vms.find(vm.offer().attempt());
    if (known.isPresent()) {
      repeatAnswer(known.get());
      return;
    }
    if (!slowStart.withstandsOffer()) {
      events.halt();
      listener.overloaded();
      return;
    }
    admission.offered(vm);
  }

  private void repeatAnswer(HostedVm vm) {
    switch (vm.state()) {
      case RUNNING -> listener.started(vm);
      case REFUSED -> listener.refused(vm, RefusalReason.NOT_AVAILABLE);
      case ENDED -> listener.finished(vm, VmEnd.FAILED, true);
      case QUEUED, STARTING -> {
        // The answer to the first offer is still to come.
      }
    }
  }

  /** A scheduler asks for the load; the probe waits in the queue like an offer. */
  public void probed(String scheduler, long probeNumber) {
    if (!events.isHalted()) {
      admission.probed(scheduler, probeNumber);
    }
  }

  /** A scheduler cancels an offer or stops a VM. */
  public void cancelled(AttemptId attempt) {
    Optional<HostedVm> known = vms.find(attempt);
    if (known.isEmpty() || events.isHalted()) {
      return;
    }
    HostedVm vm = known.get();
    switch (vm.state()) {
      case RUNNING -> lifecycle.finish(vm, VmEnd.CANCELLED);
      case QUEUED, STARTING -> {
        admission.remove(vm);
        lifecycle.cancel(vm);
      }
      case ENDED -> listener.finished(vm, VmEnd.CANCELLED, true);
      case REFUSED -> listener.finished(vm, VmEnd.CANCELLED, false);
    }
  }

  /** The VMs of a scheduler that the machine knows, in the order of their offers. */
  public Collection<HostedVm> vmsOf(String scheduler) {
    return vms.ofScheduler(scheduler);
  }

  /** Cores that were not used at the last sample. */
  public double unusedCores() {
    return usage.unusedCores();
  }

  /** Memory that was not used at the last sample. */
  public double unusedMemory() {
    return usage.unusedMemory();
  }

  /** The utilization of the cores at the last sample, at most 1. */
  public double utilization() {
    return usage.utilization();
  }

  /** Cores that no VM has requested, as a registry would know them. */
  public double unreservedCores() {
    return spec.capacity().cores() - vms.reserved(0, HostedVm::requestedCores);
  }

  /** Memory that no VM has requested, as a registry would know it. */
  public double unreservedMemory() {
    return spec.capacity().memory() - vms.reserved(0, HostedVm::requestedMemory);
  }

  /** Accepts nothing more, and stops the running VMs as its drain policy says. */
  public void drain(Duration notice) {
    admission.drain();
    List<HostedVm> running = vms.running();
    for (int i = 0; i < running.size(); i++) {
      HostedVm vm = running.get(i);
      double share = (i + 1.0) / running.size();
      switch (spec.drainPolicy()) {
        case AT_ONCE -> scheduleDrained(vm, events.now());
        case PACED -> scheduleDrained(vm, events.now().plus(EventQueue.scaled(notice, share)));
        case NONE -> {
          // It runs until the machine goes down.
        }
      }
    }
  }

  private void scheduleDrained(HostedVm vm, Duration at) {
    events.schedule(
        at,
        () -> {
          if (vm.isRunning()) {
            lifecycle.finish(vm, VmEnd.DRAINED);
          }
        });
  }

  /** Comes up with nothing running, and begins to warm up. */
  public void restart(Duration time) {
    incarnation++;
    events.restart(time);
    vms.clear();
    programs.clear();
    admission.restarted();
    startUp.restarted();
    slowStart.restarted();
    usage.sample();
  }

  /** Drops the cached programs. */
  public void flushPrograms() {
    programs.clear();
  }

  /** Goes down: it does and answers nothing until it is restarted. */
  public void crash() {
    events.halt();
  }
}
