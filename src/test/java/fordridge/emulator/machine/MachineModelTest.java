package fordridge.emulator.machine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

class MachineModelTest {
  private static final Duration SETTLE_TIME = Duration.ofSeconds(5);

  /** Collects the machine's reports, one text for each. */
  private static final class EventLog implements MachineListener {
    final List<String> events = new ArrayList<>();

    private void add(String kind, HostedVm vm, String detail) {
      events.add(kind + " " + vm.offer().attempt().vm() + detail);
    }

    @Override
    public void accepted(HostedVm vm) {
      add("accepted", vm, "");
    }

    @Override
    public void refused(HostedVm vm, RefusalReason reason) {
      add("refused", vm, " " + reason);
    }

    @Override
    public void started(HostedVm vm) {
      add("started", vm, "");
    }

    @Override
    public void finished(HostedVm vm, VmEnd end, boolean hasRun) {
      add("finished", vm, " " + end + (hasRun ? "" : " before it ran"));
    }

    @Override
    public void usage(HostedVm vm, double cores, double memory) {
      add("usage", vm, " " + cores + " " + memory);
    }

    @Override
    public void degraded(HostedVm vm, double share) {
      add("degraded", vm, " " + share);
    }

    @Override
    public void memoryPressure(HostedVm vm, double share) {
      add("memoryPressure", vm, " " + share);
    }

    @Override
    public void loadReport(String scheduler, long probeNumber) {
      events.add("loadReport " + scheduler + " " + probeNumber);
    }

    @Override
    public void overloaded() {
      events.add("overloaded");
    }

    List<String> eventsExceptUsage() {
      return events.stream().filter(event -> !event.startsWith("usage")).toList();
    }
  }

  private final EventLog log = new EventLog();

  private MachineModel model(boolean preempts, DrainPolicy drainPolicy, long seed) {
    MachineSpec spec =
        new MachineSpec(
            "m1",
            new MachineSpec.Labels("kind", "zone", 0),
            new MachineSpec.Capacity(8, 32, 1, 1),
            new MachineSpec.Admission(4, Duration.ofMillis(2), preempts),
            new MachineSpec.StartUp(2, Duration.ofMillis(50), 1, 2, 3),
            new MachineSpec.SlowStart(0.1, Duration.ofSeconds(10), 2, Duration.ofSeconds(1), 3),
            Duration.ofMillis(200),
            drainPolicy);
    return new MachineModel(spec, Map.of("web", new UsageProfile(0.5, 0.5, 0.3, 1, 0)), seed, log);
  }

  private MachineModel model() {
    return model(false, DrainPolicy.NONE, 1);
  }

  private static HostedVm vm(String name, double cores, int priority, Duration runTime) {
    return new HostedVm(
        new VmOffer(
            new HostedAttemptId("scheduler", name, 0),
            "web",
            "tenant",
            "client",
            1,
            new VmOffer.Resources(cores, 1),
            priority,
            runTime),
        Duration.ofMinutes(1));
  }

  private static HostedVm vm(String name, double cores) {
    return vm(name, cores, 1, Duration.ZERO);
  }

  @Example
  void offeredVmIsAcceptedStartsAndEndsAfterItsRunTime() {
    MachineModel model = model();
    model.offer(vm("a", 2, 1, Duration.ofSeconds(1)));
    model.advanceTo(SETTLE_TIME);
    assertThat(log.eventsExceptUsage())
        .containsExactly("accepted a", "started a", "finished a DONE");
  }

  @Example
  void repeatedOfferGetsTheResponseAgainAndStartsNoSecondVm() {
    MachineModel model = model();
    model.offer(vm("a", 2));
    model.advanceTo(SETTLE_TIME);
    model.offer(vm("a", 2));
    model.advanceTo(SETTLE_TIME.multipliedBy(2));
    assertThat(log.eventsExceptUsage()).containsExactly("accepted a", "started a", "started a");
  }

  @Example
  void vmThatDoesNotFitIsRefused() {
    MachineModel model = model();
    model.offer(vm("a", 9));
    model.advanceTo(SETTLE_TIME);
    assertThat(log.eventsExceptUsage()).containsExactly("refused a NO_CORES");
  }

  @Example
  void offerBeyondTheQueueLimitIsRefusedAtOnce() {
    MachineModel model = model();
    for (String name : List.of("a", "b", "c", "d", "e")) {
      model.offer(vm(name, 1));
    }
    assertThat(log.eventsExceptUsage()).containsExactly("refused e QUEUE_FULL");
  }

  @Example
  void vmOfHigherPriorityPreemptsOneOfLowerPriority() {
    MachineModel model = model(true, DrainPolicy.NONE, 1);
    model.offer(vm("low", 6, 1, Duration.ZERO));
    model.advanceTo(SETTLE_TIME);
    model.offer(vm("high", 6, 2, Duration.ZERO));
    model.advanceTo(SETTLE_TIME.multipliedBy(2));
    assertThat(log.eventsExceptUsage())
        .containsExactly(
            "accepted low",
            "started low",
            "finished low PREEMPTED",
            "accepted high",
            "started high");
  }

  @Example
  void drainStopsRunningVmsAndRefusesNewOffers() {
    MachineModel model = model(false, DrainPolicy.AT_ONCE, 1);
    model.offer(vm("a", 2));
    model.advanceTo(SETTLE_TIME);
    model.drain(Duration.ofSeconds(1));
    model.offer(vm("b", 2));
    model.advanceTo(SETTLE_TIME.multipliedBy(2));
    assertThat(log.eventsExceptUsage())
        .containsExactly(
            "accepted a", "started a", "finished a DRAINED", "refused b NOT_AVAILABLE");
  }

  @Example
  void cancelledOfferNeverRuns() {
    MachineModel model = model();
    model.offer(vm("a", 2));
    model.cancel(new HostedAttemptId("scheduler", "a", 0));
    model.advanceTo(SETTLE_TIME);
    assertThat(log.eventsExceptUsage()).containsExactly("finished a CANCELLED before it ran");
  }

  /**
   * At a tenth of its full speed the machine can start 4 VMs per second, and is overloaded by more
   * than twice as many offers.
   */
  @Example
  void machineCrashesUnderTooManyOffersDuringWarmUp() {
    MachineModel model = model();
    model.restart(Duration.ofSeconds(1));
    for (int i = 1; i <= 9; i++) {
      model.offer(vm("v" + i, 0.1));
    }
    model.advanceTo(SETTLE_TIME);
    assertThat(log.eventsExceptUsage())
        .containsExactly(
            "refused v5 QUEUE_FULL",
            "refused v6 QUEUE_FULL",
            "refused v7 QUEUE_FULL",
            "refused v8 QUEUE_FULL",
            "overloaded");
  }

  @Example
  void pausedMachineRunsDueEventsAfterItResumes() {
    MachineModel model = model();
    model.faults().setPaused(true);
    model.offer(vm("a", 2));
    model.advanceTo(SETTLE_TIME);
    assertThat(log.eventsExceptUsage()).isEmpty();
    model.faults().setPaused(false);
    model.advanceTo(SETTLE_TIME.multipliedBy(2));
    assertThat(log.eventsExceptUsage()).containsExactly("accepted a", "started a");
  }

  @Example
  void runsWithTheSameSeedAndInputsAreIdentical() {
    List<String> first = eventsOfARun(7);
    List<String> second = eventsOfARun(7);
    assertThat(second).isEqualTo(first);
    assertThat(first).anyMatch(event -> event.startsWith("usage"));
    assertThat(eventsOfARun(8)).isNotEqualTo(first);
  }

  private List<String> eventsOfARun(long seed) {
    log.events.clear();
    MachineModel model = model(true, DrainPolicy.PACED, seed);
    for (int i = 0; i < 50; i++) {
      model.advanceTo(Duration.ofMillis(100L * i));
      model.offer(vm("v" + i, 1 + i % 3, i % 2, Duration.ofMillis(500L * (i % 4))));
    }
    model.drain(Duration.ofSeconds(1));
    model.advanceTo(Duration.ofSeconds(20));
    return List.copyOf(log.events);
  }
}
