package fordridge.server.grpc;

import fordridge.machine.LoadReport;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import fordridge.observability.Metrics;
import fordridge.observability.Metrics.ShadowDifference;
import fordridge.runtime.SchedulerInputs;
import fordridge.scheduling.Scheduler;
import fordridge.scheduling.SchedulerActions;
import fordridge.session.ClientResponse;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.SchedulerSettingsMapper;
import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * A second scheduler under the settings of a planned migration: it gets the primary scheduler's
 * inputs, acts on nothing, and what it would have decided differently is counted by kind: {@code
 * machine} (another machine), {@code hold} (the primary placed at once, it would not), {@code
 * place} (the other way round), {@code answer} (another final response, or one where the other
 * placed), {@code retry_after}, and what the primary does not do at all: {@code probe}, {@code
 * note}, {@code list_ask}, {@code move}.
 *
 * <p>What happens to a VM on a machine is the primary's; where the two chose different machines it
 * counts as if the shadow's had accepted it too. So the counts compare decisions, not what would
 * have come of them. Confined to the event loop.
 */
final class ShadowScheduler implements SchedulerActions {
  /** The scheduler that this one is compared with, and its surroundings. */
  interface Primary {
    /** Processes an input after a delay, behind those of now. */
    void schedule(Duration delay, Runnable input);

    /** The name of one of the primary's machines. */
    String nameOf(Machine machine);

    /** The primary's machine of that name. */
    Machine machine(String name);

    /** What the constraints say of one of the primary's VMs on one of its machines. */
    double constraintPenalty(Vm vm, Machine machine);

    /** Whether any constraint is about one of the primary's VMs. */
    boolean isConstrained(Vm vm);
  }

  /** A final response without an acceptance. */
  private record Decision(ClientResponse.Kind kind, Duration retryAfter) {}

  /** A VM as both schedulers have it, and what both decided in the end. */
  private static final class ShadowedVm {
    final Vm primary;
    final Vm shadow;
    Optional<Decision> primaryDecision = Optional.empty();
    Optional<Decision> shadowDecision = Optional.empty();

    ShadowedVm(Vm primary, Vm shadow) {
      this.primary = primary;
      this.shadow = shadow;
    }

    /** The shadow's attempt in flight or accepted, if there is one. */
    Optional<PlacementAttempt> shadowAttempt() {
      return Optional.ofNullable(shadow.lastAttempt()).filter(PlacementAttempt::isInFlight);
    }
  }

  private final DeploymentSettings primarySettings;
  private final Metrics metrics;
  private final Primary primary;
  private final SchedulerInputs<String> inputs;
  private final IdentityHashMap<Vm, ShadowedVm> byPrimary = new IdentityHashMap<>();
  private final IdentityHashMap<Vm, ShadowedVm> byShadow = new IdentityHashMap<>();
  private final Map<Machine, String> machineNames = new HashMap<>();

  ShadowScheduler(
      DeploymentSettings primarySettings,
      DeploymentSettings shadowSettings,
      int position,
      long seed,
      Metrics metrics,
      Primary primary) {
    this.primarySettings = primarySettings;
    this.metrics = metrics;
    this.primary = primary;
    inputs = new SchedulerInputs<>(this, SchedulerInputs::number);
    inputs.scheduler.start(seed, SchedulerSettingsMapper.of(shadowSettings, position));
  }

  // The primary's inputs.

  void advanceTo(Duration now) {
    inputs.scheduler.advanceTo(now);
  }

  void schedulerCountChanged(int count) {
    inputs.scheduler.schedulerCountChanged(count);
  }

  void machineListReceived(
      boolean isSnapshot, boolean isStale, List<SchedulerInputs.ListedMachine<String>> machines) {
    machines.forEach(listed -> machineNames.put(inputs.machine(listed.key()), listed.key()));
    inputs.list(isSnapshot, isStale, machines);
  }

  void setLoad(String machine, LoadReport report, Duration now) {
    inputs.report(
        inputs.machine(machine),
        report.spareCores(),
        report.spareMemory(),
        report.utilization(),
        now);
  }

  void loadReported(String machine) {
    inputs.scheduler.loadReported(inputs.machine(machine));
  }

  void capacityMayHaveChanged() {
    inputs.scheduler.loadReported(null);
  }

  void gossipReceived(String message) {
    inputs.scheduler.gossipReceived(message);
  }

  void shutdownStarted() {
    inputs.scheduler.shutdownStarted();
  }

  void probeCompleted(String machine, boolean isHealthy) {
    inputs.scheduler.probeCompleted(inputs.machine(machine), isHealthy, isHealthy);
  }

  void vmAdopted(Vm vm, String machine) {
    inputs.scheduler.vmAdopted(shadowOf(vm).shadow, inputs.machine(machine));
  }

  /** A new VM, before the primary decides: the constraints are as the primary will find them. */
  void vmRequested(Vm vm) {
    inputs.scheduler.vmRequested(shadowOf(vm).shadow);
  }

  /** The primary has decided on a new VM: what both did at once is compared. */
  void vmDecided(Vm vm) {
    ShadowedVm shadowed = byPrimary.get(vm);
    if (shadowed == null) {
      return;
    }
    Vm shadow = shadowed.shadow;
    if (vm.attempts.isEmpty() != shadow.attempts.isEmpty()) {
      metrics.shadowDiffered(
          shadow.attempts.isEmpty() ? ShadowDifference.HOLD : ShadowDifference.PLACE);
    } else if (!shadow.attempts.isEmpty()
        && !isSameMachine(vm.attempts.get(0), shadow.attempts.get(0))) {
      metrics.shadowDiffered(ShadowDifference.MACHINE);
    }
  }

  void vmAccepted(Vm vm) {
    ShadowedVm shadowed = byPrimary.get(vm);
    if (shadowed != null) {
      shadowed.shadowAttempt().ifPresent(this::acceptIfUnanswered);
    }
  }

  /** A report on a running VM; {@code input} is the scheduler's input for it. */
  void vmReported(Vm vm, BiConsumer<Scheduler, PlacementAttempt> input) {
    ShadowedVm shadowed = byPrimary.get(vm);
    if (shadowed == null) {
      return;
    }
    PlacementAttempt accepted = shadowed.shadow.acceptedAttempt;
    if (accepted != null && accepted.isInFlight()) {
      input.accept(inputs.scheduler, accepted);
    }
  }

  void attemptEnded(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason, boolean wasAccepted) {
    ShadowedVm shadowed = byPrimary.get(attempt.vm);
    if (shadowed == null) {
      return;
    }
    Optional<PlacementAttempt> own = shadowed.shadowAttempt();
    if (own.isPresent()) {
      if (wasAccepted || isSameMachine(attempt, own.get())) {
        inputs.scheduler.attemptEnded(own.get(), outcome, reason, wasAccepted);
      } else {
        acceptIfUnanswered(own.get());
      }
    }
    if (wasAccepted) {
      drop(shadowed);
    }
  }

  void clientLeft(Vm vm) {
    ShadowedVm shadowed = byPrimary.get(vm);
    if (shadowed == null) {
      return;
    }
    Optional<PlacementAttempt> attempt = shadowed.shadowAttempt();
    inputs.scheduler.clientLeft(shadowed.shadow);
    attempt.ifPresent(
        own ->
            inputs.scheduler.attemptEnded(own, Outcome.CANCELLED, OutcomeReason.UNSPECIFIED, true));
    drop(shadowed);
  }

  /** The primary rejected the VM. */
  void vmRejected(Vm vm, Duration retryAfter) {
    primaryDecided(vm, new Decision(ClientResponse.Kind.REJECTED, retryAfter));
  }

  /** The primary failed the VM. */
  void vmFailed(Vm vm) {
    primaryDecided(vm, new Decision(ClientResponse.Kind.FAILED, Duration.ZERO));
  }

  private ShadowedVm shadowOf(Vm vm) {
    Vm shadow = new Vm(vm.id);
    shadow.priorityClass = vm.priorityClass;
    shadow.tenant = vm.tenant;
    shadow.service = vm.service;
    shadow.cores = vm.cores;
    shadow.memory = vm.memory;
    shadow.isClientRetry = vm.isClientRetry;
    shadow.arrivedAt = vm.arrivedAt;
    shadow.deadline = vm.deadline;
    shadow.expectedLifetime = vm.expectedLifetime;
    ShadowedVm shadowed = new ShadowedVm(vm, shadow);
    byPrimary.put(vm, shadowed);
    byShadow.put(shadow, shadowed);
    inputs.add(shadow);
    return shadowed;
  }

  private boolean isSameMachine(PlacementAttempt primaryAttempt, PlacementAttempt shadowAttempt) {
    return Objects.equals(
        primary.nameOf(primaryAttempt.machine), machineNames.get(shadowAttempt.machine));
  }

  private void acceptIfUnanswered(PlacementAttempt attempt) {
    if (attempt.acceptedAt == null) {
      inputs.scheduler.attemptAccepted(attempt);
    }
  }

  private void primaryDecided(Vm vm, Decision decision) {
    ShadowedVm shadowed = byPrimary.get(vm);
    if (shadowed != null) {
      shadowed.primaryDecision = Optional.of(decision);
      compare(shadowed);
    }
  }

  private void compare(ShadowedVm shadowed) {
    Optional<Decision> ours = shadowed.primaryDecision;
    Optional<Decision> shadows = shadowed.shadowDecision;
    if ((ours.isEmpty() && shadows.isEmpty()) || !byPrimary.containsKey(shadowed.primary)) {
      return;
    }
    boolean shadowPlaced = shadows.isEmpty() && shadowed.shadowAttempt().isPresent();
    boolean primaryPlaced = ours.isEmpty() && shadowed.primary.inFlightAttempts() > 0;
    if (shadowPlaced || primaryPlaced) {
      metrics.shadowDiffered(ShadowDifference.ANSWER);
      clientLeft(shadowed.primary);
    } else if (ours.isPresent() && shadows.isPresent()) {
      compareDecisions(ours.get(), shadows.get());
      drop(shadowed);
    }
  }

  private void compareDecisions(Decision ours, Decision shadows) {
    if (ours.kind() != shadows.kind()) {
      metrics.shadowDiffered(ShadowDifference.ANSWER);
    } else if (!ours.retryAfter().equals(shadows.retryAfter())) {
      metrics.shadowDiffered(ShadowDifference.RETRY_AFTER);
    }
  }

  private void drop(ShadowedVm shadowed) {
    if (shadowed.shadowAttempt().isEmpty() && !shadowed.shadow.isFinished) {
      inputs.scheduler.clientLeft(shadowed.shadow);
    }
    byPrimary.remove(shadowed.primary);
    byShadow.remove(shadowed.shadow);
    inputs.forget(shadowed.shadow);
  }

  // What this scheduler would do: nothing of it is done.

  @Override
  public void sendAttempt(PlacementAttempt attempt, Duration within) {
    ShadowedVm shadowed = byShadow.get(attempt.vm);
    if (shadowed != null && shadowed.primaryDecision.isPresent()) {
      primary.schedule(Duration.ZERO, () -> compare(shadowed));
    }
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    shadowDecided(vm, new Decision(ClientResponse.Kind.REJECTED, retryAfter));
  }

  @Override
  public void fail(Vm vm) {
    shadowDecided(vm, new Decision(ClientResponse.Kind.FAILED, Duration.ZERO));
  }

  private void shadowDecided(Vm vm, Decision decision) {
    ShadowedVm shadowed = byShadow.get(vm);
    if (shadowed != null) {
      shadowed.shadowDecision = Optional.of(decision);
      primary.schedule(Duration.ZERO, () -> compare(shadowed));
    }
  }

  @Override
  public void migrate(Vm vm) {
    metrics.shadowDiffered(ShadowDifference.MOVE);
  }

  /** Tenants' constraints hold for both alike. */
  @Override
  public double constraintPenalty(Vm vm, Machine machine) {
    ShadowedVm shadowed = byShadow.get(vm);
    return shadowed == null
        ? 0
        : primary.constraintPenalty(shadowed.primary, primary.machine(machineNames.get(machine)));
  }

  @Override
  public boolean isConstrained(Vm vm) {
    ShadowedVm shadowed = byShadow.get(vm);
    return shadowed != null && primary.isConstrained(shadowed.primary);
  }

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {}

  @Override
  public void probe(Machine machine) {
    // The primary may probe in the same input, behind this; then its answer is this one's too.
    primary.schedule(Duration.ZERO, () -> answerProbeUnlessPrimaryProbes(machine));
  }

  private void answerProbeUnlessPrimaryProbes(Machine machine) {
    if (primary.machine(machineNames.get(machine)).isProbing) {
      return;
    }
    metrics.shadowDiffered(ShadowDifference.PROBE);
    // No machine was probed: the shadow gets neither a fault nor a load report, and may probe
    // again.
    primary.schedule(
        primarySettings.connections().connectTimeout(),
        () -> inputs.scheduler.probeCompleted(machine, true, false));
  }

  @Override
  public void gossip(String message) {
    if (!primarySettings.gossip().isEnabled()) {
      metrics.shadowDiffered(ShadowDifference.NOTE);
    }
  }

  @Override
  public void scheduleTimer(Duration delay) {
    primary.schedule(delay, inputs.scheduler::timerFired);
  }

  @Override
  public void log(String line) {}

  @Override
  public void watchMachineList(boolean isWanted) {
    if (primarySettings.cluster().isListPushed()) {
      metrics.shadowDiffered(ShadowDifference.LIST_ASK);
    }
    primary.schedule(Duration.ZERO, () -> inputs.list(false, false, List.of()));
  }

  @Override
  public void fetchMachineList() {}
}
