package fordridge.emulator;

import fordridge.emulator.machine.ActiveFaults;
import fordridge.emulator.machine.MachineModel;
import fordridge.settings.DeploymentSettings;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** Injects faults into individual machines, which stay in the fleet. */
final class MachineFaults {
  /** The shortest time between the end of a pause and the start of the next one. */
  private static final int MIN_PAUSE_GAP_MILLIS = 50;

  /** Value of a fault's subject that makes lost responses break the stream as well. */
  private static final String RESET = "reset";

  private final FaultTargets targets;
  private final FaultTimeline timeline;
  private final DeploymentSettings deployment;

  MachineFaults(FaultTargets targets, FaultTimeline timeline, DeploymentSettings deployment) {
    this.targets = targets;
    this.timeline = timeline;
    this.deployment = deployment;
  }

  void begin(ScenarioFault fault, Random random) {
    switch (fault.kind()) {
      case SLOW, FAST_ERRORS, NEIGHBOUR, HOT_KEY, THROTTLE -> beginAtModel(fault, random);
      case HANG, MUTE, ANSWER_LOST -> beginAtSocket(fault, random);
      case CUT_GREETINGS -> cutAt(CutPoint.AFTER_GREETING, fault, random);
      case CUT_OFFERS -> cutAt(CutPoint.AFTER_OFFER_READ, fault, random);
      case CUT_BEFORE_ANSWER -> cutAt(CutPoint.BEFORE_START_RESPONSE, fault, random);
      case CUT_AFTER_ANSWER -> cutAt(CutPoint.AFTER_START_RESPONSE, fault, random);
      case CUT_MACHINES -> applyOnce(fault, random, EmulatedMachine::cutAll);
      case FLUSH -> applyOnce(fault, random, machine -> flush(machine.model()));
      case PAUSES -> pauses(fault, random);
      default ->
          throw new IllegalArgumentException(
              "fault kind "
                  + fault.kind()
                  + " does not apply to single machines; FaultKind lists the target of each kind");
    }
  }

  private static void flush(MachineModel model) {
    model.flushPrograms();
  }

  private void beginAtModel(ScenarioFault fault, Random random) {
    double size = fault.size();
    switch (fault.kind()) {
      case SLOW ->
          applyForLength(
              fault,
              random,
              machine -> machine.modelFaults().setSlowdown(Math.max(1, size)),
              machine -> machine.modelFaults().setSlowdown(1));
      case FAST_ERRORS ->
          applyForLength(
              fault,
              random,
              machine -> machine.modelFaults().setFailureProbability(size),
              machine -> machine.modelFaults().setFailureProbability(0));
      case NEIGHBOUR ->
          applyForLength(
              fault,
              random,
              machine -> machine.modelFaults().setNeighbourCoresShare(size),
              machine -> machine.modelFaults().setNeighbourCoresShare(0));
      case HOT_KEY ->
          applyForLength(
              fault,
              random,
              machine -> machine.modelFaults().setUsageFactor(1 + size),
              machine -> machine.modelFaults().setUsageFactor(1));
      case THROTTLE ->
          applyForLength(
              fault,
              random,
              machine -> machine.modelFaults().setThrottle(throttle(fault)),
              machine -> machine.modelFaults().clearThrottle());
      default ->
          throw new IllegalArgumentException(
              "fault kind "
                  + fault.kind()
                  + " does not apply to the machine model; valid kinds are SLOW, FAST_ERRORS,"
                  + " NEIGHBOUR, HOT_KEY and THROTTLE");
    }
  }

  private void beginAtSocket(ScenarioFault fault, Random random) {
    switch (fault.kind()) {
      case HANG ->
          applyForLength(
              fault,
              random,
              machine -> machine.socketFaults().setHung(true),
              machine -> machine.socketFaults().setHung(false));
      case MUTE ->
          applyForLength(
              fault,
              random,
              machine -> {
                machine.socketFaults().setMute(true);
                machine.cutAll();
              },
              machine -> machine.socketFaults().setMute(false));
      case ANSWER_LOST ->
          applyForLength(
              fault,
              random,
              machine ->
                  machine
                      .socketFaults()
                      .setResponseLoss(fault.size(), fault.subject().equals(RESET)),
              machine -> machine.socketFaults().setResponseLoss(0, false));
      default ->
          throw new IllegalArgumentException(
              "fault kind "
                  + fault.kind()
                  + " does not apply to sockets; valid kinds are HANG, MUTE and ANSWER_LOST");
    }
  }

  private void cutAt(CutPoint point, ScenarioFault fault, Random random) {
    applyForLength(
        fault,
        random,
        machine -> machine.socketFaults().cutAt(point, fault.subject(), fault.sizeAtLeastOne()),
        machine -> machine.socketFaults().clearCuts());
  }

  private void applyOnce(ScenarioFault fault, Random random, Consumer<EmulatedMachine> action) {
    targets
        .machines(fault, random)
        .forEach(machine -> machine.execute(() -> action.accept(machine)));
  }

  private void applyForLength(
      ScenarioFault fault,
      Random random,
      Consumer<EmulatedMachine> apply,
      Consumer<EmulatedMachine> revert) {
    List<EmulatedMachine> machines = targets.machines(fault, random);
    machines.forEach(machine -> machine.execute(() -> apply.accept(machine)));
    timeline.runAfter(
        fault.length(),
        () -> machines.forEach(machine -> machine.execute(() -> revert.accept(machine))));
  }

  /**
   * Creates a throttle for the tenant or priority class that the fault's subject names; for the
   * first tenant if the subject is empty.
   */
  private ActiveFaults.Throttle throttle(ScenarioFault fault) {
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

  /**
   * Pauses the affected machines repeatedly during the fault's length: for {@code size} ms at the
   * start of each period of {@code extra} ms.
   */
  private void pauses(ScenarioFault fault, Random random) {
    long endNanos = System.nanoTime() + fault.length().toNanos();
    targets.machines(fault, random).forEach(machine -> pause(machine, fault, endNanos));
  }

  private void pause(EmulatedMachine machine, ScenarioFault fault, long endNanos) {
    machine.execute(() -> machine.modelFaults().setPaused(true));
    timeline.runAfter(
        fault.sizeMillis(), () -> machine.execute(() -> machine.modelFaults().setPaused(false)));
    double periodMillis = Math.max(fault.size() + MIN_PAUSE_GAP_MILLIS, fault.extra());
    timeline.runAfter(
        Duration.ofMillis((long) periodMillis),
        () -> {
          if (System.nanoTime() < endNanos) {
            pause(machine, fault, endNanos);
          }
        });
  }
}
