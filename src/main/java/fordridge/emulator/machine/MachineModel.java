package fordridge.emulator.machine;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A model of a machine. It examines offers one at a time, starts a limited number of VMs in
 * parallel, warms up after a restart, varies the resource usage of its VMs, and evicts, preempts
 * and drains VMs.
 *
 * <p>It uses neither sockets nor clocks: the caller passes the time to {@link #advanceTo}. It can
 * therefore run behind a socket or in virtual time, and the same seed and inputs give the same run.
 * It is a simplified model, not a reproduction of measurements of real machines. Not thread-safe.
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
   * Creates a machine that is fully warmed up, at time zero.
   *
   * @param usageProfiles the usage profiles by priority class
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

  /** When the next event of the machine is due; empty if none is scheduled. */
  public Optional<Duration> nextEventAt() {
    return events.nextAt();
  }

  /**
   * Advances the time and runs the events that fall due. Events that fall due while the machine is
   * paused run after it resumes.
   */
  public void advanceTo(Duration time) {
    events.advanceTo(time, faults::isPaused);
  }

  /** The injected faults, to be changed between calls. */
  public ActiveFaults faults() {
    return faults;
  }

  /** The incarnation of the machine: 1 at first, one more after each restart. */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Receives an offer. A repeated offer starts nothing; the machine reports the VM's state again.
   */
  public void offer(HostedVm vm) {
    if (events.isHalted()) {
      return;
    }
    Optional<HostedVm> known = vms.find(vm.offer().attempt());
    if (known.isPresent()) {
      repeatResponse(known.get());
      return;
    }
    if (!slowStart.addOffer()) {
      events.halt();
      listener.overloaded();
      return;
    }
    admission.offered(vm);
  }

  private void repeatResponse(HostedVm vm) {
    switch (vm.state()) {
      case RUNNING -> listener.started(vm);
      case REFUSED -> listener.refused(vm, RefusalReason.NOT_AVAILABLE);
      case ENDED -> listener.finished(vm, VmEnd.FAILED, true);
      case QUEUED, STARTING -> {
        // The response to the first offer will follow.
      }
    }
  }

  /** Receives a scheduler's request for the load; the probe is queued like an offer. */
  public void probe(String scheduler, long probeNumber) {
    if (!events.isHalted()) {
      admission.probed(scheduler, probeNumber);
    }
  }

  /** Receives a scheduler's request to cancel an offer or stop a VM. */
  public void cancel(HostedAttemptId attempt) {
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

  /**
   * The cores that were not used at the last sample; negative if VMs wanted more than there are.
   */
  public double unusedCores() {
    return usage.unusedCores();
  }

  /** The memory that was not used at the last sample. */
  public double unusedMemory() {
    return usage.unusedMemory();
  }

  /** The utilization of the cores at the last sample, at most 1. */
  public double utilization() {
    return usage.utilization();
  }

  /** The cores that no starting or running VM has requested, as a registry would know them. */
  public double unreservedCores() {
    return spec.capacity().cores() - vms.sumOfReserved(0, HostedVm::requestedCores);
  }

  /** The memory that no starting or running VM has requested, as a registry would know it. */
  public double unreservedMemory() {
    return spec.capacity().memory() - vms.sumOfReserved(0, HostedVm::requestedMemory);
  }

  /** Refuses all further offers, and stops the running VMs according to the drain policy. */
  public void drain(Duration notice) {
    admission.drain();
    List<HostedVm> running = vms.running();
    for (int i = 0; i < running.size(); i++) {
      HostedVm vm = running.get(i);
      double share = (i + 1.0) / running.size();
      switch (spec.drainPolicy()) {
        case AT_ONCE -> scheduleDrainStop(vm, events.now());
        case PACED -> scheduleDrainStop(vm, events.now().plus(EventQueue.scaled(notice, share)));
        case NONE -> {
          // The VM keeps running until the machine shuts down.
        }
      }
    }
  }

  private void scheduleDrainStop(HostedVm vm, Duration at) {
    events.schedule(
        at,
        () -> {
          if (vm.isRunning()) {
            lifecycle.finish(vm, VmEnd.DRAINED);
          }
        });
  }

  /** Restarts the machine with no VMs and an empty program cache; it begins to warm up. */
  public void restart(Duration time) {
    incarnation++;
    events.restart(time);
    vms.clear();
    programs.clear();
    admission.reset();
    startUp.reset();
    slowStart.restarted();
    usage.sample();
  }

  /** Drops the cached programs. */
  public void flushPrograms() {
    programs.clear();
  }

  /** Crashes the machine: it runs no events and ignores all requests until it is restarted. */
  public void crash() {
    events.halt();
  }
}
