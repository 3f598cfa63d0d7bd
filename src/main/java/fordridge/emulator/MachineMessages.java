package fordridge.emulator;

import fordridge.emulator.machine.HostedAttemptId;
import fordridge.emulator.machine.HostedVm;
import fordridge.emulator.machine.MachineModel;
import fordridge.emulator.machine.RefusalReason;
import fordridge.emulator.machine.VmEnd;
import fordridge.emulator.machine.VmOffer;
import fordridge.v1.Accepted;
import fordridge.v1.ClaimName;
import fordridge.v1.Finished;
import fordridge.v1.FromMachine;
import fordridge.v1.Held;
import fordridge.v1.Holding;
import fordridge.v1.Note;
import fordridge.v1.Offer;
import fordridge.v1.Refused;
import fordridge.v1.Report;
import fordridge.v1.Started;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.TimeUnit;

/** Converts between wire messages and the types of the machine model. */
final class MachineMessages {
  private MachineMessages() {}

  static HostedAttemptId attemptId(String scheduler, ClaimName name) {
    return new HostedAttemptId(scheduler, name.getVm(), name.getNumber());
  }

  /** Creates a VM from an offer that was read at the given time of the machine. */
  static HostedVm offeredVm(String scheduler, Offer offer, Duration now) {
    return new HostedVm(
        new VmOffer(
            attemptId(scheduler, offer.getClaim()),
            offer.getFlavour(),
            offer.getCustomer(),
            offer.getClient(),
            offer.getService(),
            new VmOffer.Resources(offer.getCores(), offer.getMemory()),
            offer.getPriority(),
            micros(offer.getLastsUs())),
        now.plus(micros(offer.getWithinUs())));
  }

  private static Duration micros(long micros) {
    return Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(micros));
  }

  private static ClaimName claimName(HostedVm vm) {
    HostedAttemptId attempt = vm.offer().attempt();
    return ClaimName.newBuilder().setVm(attempt.vm()).setNumber(attempt.number()).build();
  }

  static FromMachine holding(String machine, long incarnation, Collection<HostedVm> vms) {
    Holding.Builder holding = Holding.newBuilder().setMachine(machine).setIncarnation(incarnation);
    vms.forEach(vm -> holding.addHeld(held(vm)));
    return FromMachine.newBuilder().setHolding(holding).build();
  }

  private static Held held(HostedVm vm) {
    VmOffer offer = vm.offer();
    return Held.newBuilder()
        .setClaim(claimName(vm))
        .setState(
            switch (vm.state()) {
              case RUNNING -> Held.State.RUNNING;
              case ENDED -> Held.State.ENDED;
              case REFUSED -> Held.State.REFUSED;
              case QUEUED, STARTING -> Held.State.IN_LINE;
            })
        .setFlavour(offer.priorityClass())
        .setService(offer.service())
        .setCustomer(offer.tenant())
        .setCores(offer.requested().cores())
        .setMemory(offer.requested().memory())
        .setClient(offer.client())
        .build();
  }

  static FromMachine accepted(HostedVm vm) {
    return FromMachine.newBuilder()
        .setAccepted(Accepted.newBuilder().setClaim(claimName(vm)))
        .build();
  }

  static FromMachine refused(HostedVm vm, RefusalReason reason, MachineModel model) {
    return FromMachine.newBuilder()
        .setRefused(
            Refused.newBuilder()
                .setClaim(claimName(vm))
                .setReason(
                    switch (reason) {
                      case NO_CORES -> Refused.Reason.NO_CORES;
                      case NO_MEMORY -> Refused.Reason.NO_MEMORY;
                      case QUEUE_FULL -> Refused.Reason.LINE_FULL;
                      case NOT_AVAILABLE -> Refused.Reason.NOT_HERE;
                      case UNSPECIFIED -> Refused.Reason.REASON_UNSPECIFIED;
                    })
                .setReport(report(0, model)))
        .build();
  }

  static FromMachine started(HostedVm vm, MachineModel model) {
    return FromMachine.newBuilder()
        .setStarted(Started.newBuilder().setClaim(claimName(vm)).setReport(report(0, model)))
        .build();
  }

  static FromMachine finished(HostedVm vm, VmEnd end, boolean hasRun) {
    return FromMachine.newBuilder()
        .setFinished(
            Finished.newBuilder()
                .setClaim(claimName(vm))
                .setRan(hasRun)
                .setHow(
                    switch (end) {
                      case DONE -> Finished.How.DONE;
                      case EVICTED -> Finished.How.EVICTED;
                      case PREEMPTED -> Finished.How.PUSHED_OUT;
                      case DRAINED -> Finished.How.SENT_AWAY;
                      case CANCELLED -> Finished.How.CANCELLED;
                      case FAILED -> Finished.How.ERROR;
                    }))
        .build();
  }

  static FromMachine note(HostedVm vm, Note.What subject, double amount) {
    return FromMachine.newBuilder()
        .setNote(Note.newBuilder().setClaim(claimName(vm)).setWhat(subject).setAmount(amount))
        .build();
  }

  static FromMachine loadReport(long probeNumber, MachineModel model) {
    return FromMachine.newBuilder().setReport(report(probeNumber, model)).build();
  }

  private static Report report(long probeNumber, MachineModel model) {
    return Report.newBuilder()
        .setProbe(probeNumber)
        .setSpareCores(model.unusedCores())
        .setSpareMemory(model.unusedMemory())
        .setBusy(model.utilization())
        .build();
  }
}
