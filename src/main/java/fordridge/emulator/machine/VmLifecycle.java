package fordridge.emulator.machine;

import java.time.Duration;

/** Ends VMs and offers, and reports it. */
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

  /** An offer is refused; the VM has not run. */
  void refuse(HostedVm vm, RefusalReason reason) {
    vms.over(vm, HostedVm.State.REFUSED, now());
    listener.refused(vm, reason);
  }

  /** An offer fails before the VM ran. */
  void fail(HostedVm vm) {
    vms.over(vm, HostedVm.State.ENDED, now());
    listener.finished(vm, VmEnd.FAILED, false);
  }

  /** An offer is given up on its scheduler's demand; the VM has not run. */
  void cancel(HostedVm vm) {
    vms.over(vm, HostedVm.State.REFUSED, now());
    listener.finished(vm, VmEnd.CANCELLED, false);
  }

  /** A running VM ends; its program stays cached. */
  void finish(HostedVm vm, VmEnd end) {
    vms.over(vm, HostedVm.State.ENDED, now());
    programs.used(vm.offer().service());
    listener.finished(vm, end, true);
  }

  private Duration now() {
    return events.now();
  }
}
