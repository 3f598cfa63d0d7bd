package fordridge.emulator;

import fordridge.emulator.machine.ActiveFaults;
import fordridge.emulator.machine.MachineModel;
import fordridge.settings.DeploymentSettings;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** Faults of single machines, which stay in the fleet. */
final class MachineFaults {
  /** The least time between the end of a pause and the next one. */
  private static final int MIN_PAUSE_GAP_MILLIS = 50;

  /** The value of a fault's subject by which lost answers break the stream. */
  private static final String RESET = "reset";

  private final FaultTargets targets;
  private final FaultTimeline timeline;
  private final DeploymentSettings deployment;

  MachineFaults(FaultTargets targets, FaultTimeline timeline, DeploymentSettings deployment) {
    this.targets = targets;
    this.timeline = timeline;
    this.deployment = deployment;
  }

  void begin(FaultPlan fault, Random random) {
    switch (fault.kind()) {
      case SLOW, FAST_ERRORS, NEIGHBOUR, HOT_KEY, THROTTLE -> beginAtModel(fault, random);
      case HANG, MUTE, ANSWER_LOST -> beginAtSocket(fault, random);
      case CUT_GREETINGS -> cutAt(CutPoint.AFTER_GREETING, fault, random);
      case CUT_OFFERS -> cutAt(CutPoint.AFTER_OFFER_READ, fault, random);
      case CUT_BEFORE_ANSWER -> cutAt(CutPoint.BEFORE_START_ANSWER, fault, random);
      case CUT_AFTER_ANSWER -> cutAt(CutPoint.AFTER_START_ANSWER, fault, random);
      case CUT_MACHINES -> once(fault, random, EmulatedMachine::cutAll);
      case FLUSH -> once(fault, random, machine -> flush(machine.model()));
      case PAUSES -> pauses(fault, random);
      default -> throw new IllegalArgumentException("not a fault of machines: " + fault.kind());
    }
  }

  private static void flush(MachineModel model) {
    model.flushPrograms();
  }

  private void beginAtModel(FaultPlan fault, Random random) {
    double size = fault.size();
    switch (fault.kind()) {
      case SLOW ->
          during(
              fault,
              random,
              machine -> machine.modelFaults().setSlowdown(Math.max(1, size)),
              machine -> machine.modelFaults().setSlowdown(1));
      case FAST_ERRORS ->
          during(
              fault,
              random,
              machine -> machine.modelFaults().setFailureProbability(size),
              machine -> machine.modelFaults().setFailureProbability(0));
      case NEIGHBOUR ->
          during(
              fault,
              random,
              machine -> machine.modelFaults().setNeighbourCoresShare(size),
              machine -> machine.modelFaults().setNeighbourCoresShare(0));
      case HOT_KEY ->
          during(
              fault,
              random,
              machine -> machine.modelFaults().setUsageFactor(1 + size),
              machine -> machine.modelFaults().setUsageFactor(1));
      case THROTTLE ->
          during(
              fault,
              random,
              machine -> machine.modelFaults().setThrottle(throttle(fault)),
              machine -> machine.modelFaults().clearThrottle());
      default -> throw new IllegalArgumentException("not a fault of the model: " + fault.kind());
    }
  }

  private void beginAtSocket(FaultPlan fault, Random random) {
    switch (fault.kind()) {
      case HANG ->
          during(
              fault,
              random,
              machine -> machine.socketFaults().setHung(true),
              machine -> machine.socketFaults().setHung(false));
      case MUTE ->
          during(
              fault,
              random,
              machine -> {
                machine.socketFaults().setMute(true);
                machine.cutAll();
              },
              machine -> machine.socketFaults().setMute(false));
      case ANSWER_LOST ->
          during(
              fault,
              random,
              machine ->
                  machine.socketFaults().loseAnswers(fault.size(), fault.subject().equals(RESET)),
              machine -> machine.socketFaults().loseAnswers(0, false));
      default -> throw new IllegalArgumentException("not a fault of sockets: " + fault.kind());
    }
  }

  private void cutAt(CutPoint point, FaultPlan fault, Random random) {
    during(
        fault,
        random,
        machine -> machine.socketFaults().cutAt(point, fault.subject(), fault.sizeAtLeastOne()),
        machine -> machine.socketFaults().clearCuts());
  }

  private void once(FaultPlan fault, Random random, Consumer<EmulatedMachine> action) {
    targets
        .machines(fault, random)
        .forEach(machine -> machine.execute(() -> action.accept(machine)));
  }

  private void during(
      FaultPlan fault,
      Random random,
      Consumer<EmulatedMachine> begin,
      Consumer<EmulatedMachine> end) {
    List<EmulatedMachine> hit = targets.machines(fault, random);
    hit.forEach(machine -> machine.execute(() -> begin.accept(machine)));
    timeline.after(
        fault.length(), () -> hit.forEach(machine -> machine.execute(() -> end.accept(machine))));
  }

  /** Throttles the named tenant or priority class; the first tenant if none is named. */
  private ActiveFaults.Throttle throttle(FaultPlan fault) {
    String subject = fault.subject();
    boolean isTenant =
        deployment.tenants().stream().anyMatch(tenant -> tenant.name().equals(subject));
    boolean isUnnamed = subject.isEmpty();
    String name =
        isUnnamed && !deployment.tenants().isEmpty() ? deployment.tenants().get(0).name() : subject;
    return new ActiveFaults.Throttle(
        isTenant || isUnnamed
            ? ActiveFaults.ThrottleSubject.TENANT
            : ActiveFaults.ThrottleSubject.PRIORITY_CLASS,
        name,
        fault.size(),
        fault.extraMillis());
  }

  /** The machines stand still for the fault's size in ms, every {@code extra} ms. */
  private void pauses(FaultPlan fault, Random random) {
    long endNanos = System.nanoTime() + fault.length().toNanos();
    targets.machines(fault, random).forEach(machine -> pause(machine, fault, endNanos));
  }

  private void pause(EmulatedMachine machine, FaultPlan fault, long endNanos) {
    machine.execute(() -> machine.modelFaults().setPaused(true));
    timeline.after(
        fault.sizeMillis(), () -> machine.execute(() -> machine.modelFaults().setPaused(false)));
    double periodMillis = Math.max(fault.size() + MIN_PAUSE_GAP_MILLIS, fault.extra());
    timeline.after(
        Duration.ofMillis((long) periodMillis),
        () -> {
          if (System.nanoTime() < endNanos) {
            pause(machine, fault, endNanos);
          }
        });
  }
}
