package fordridge.emulator.machine;

import java.time.Duration;

/** Moves VMs to their final states, and reports that to the listener. */
final class VmLifecycle {
  private final EventQueue events;
  private final HostedVms vms;
  private final ProgramCache programs;
  private final MachineListener listener;

  VmLifecycle(EventQueue events, HostedVms vms, ProgramCache programs, MachineListener listener) {
    this.events = events;
    this.vms = vms;
    this.programs = programs;
    this.listener = listener;
  }

  /** Refuses an offer; the VM has not run. */
  void refuse(HostedVm vm, RefusalReason reason) {
    vms.complete(vm, HostedVm.State.REFUSED, now());
    listener.refused(vm, reason);
  }

  /** Lets an offer fail before the VM ran. */
  void fail(HostedVm vm) {
    vms.complete(vm, HostedVm.State.ENDED, now());
    listener.finished(vm, VmEnd.FAILED, false);
  }

  /** Cancels an offer at the request of its scheduler; the VM has not run. */
  void cancel(HostedVm vm) {
    vms.complete(vm, HostedVm.State.REFUSED, now());
    listener.finished(vm, VmEnd.CANCELLED, false);
  }

  /** Ends a running VM; its program stays cached. */
  void finish(HostedVm vm, VmEnd end) {
    vms.complete(vm, HostedVm.State.ENDED, now());
    programs.recordUse(vm.offer().service());
    listener.finished(vm, end, true);
  }

  private Duration now() {
    return events.now();
  }
}
