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
 * A second scheduler that runs under the settings of a planned migration. It receives the primary
 * scheduler's inputs and performs no actions. Decisions that differ from the primary's are counted
 * by kind: {@code machine} (another machine), {@code hold} (only the primary placed the VM at
 * once), {@code place} (only the shadow did), {@code answer} (another final response, or a final
 * response by one and a placement by the other), {@code retry_after}, and actions that the primary
 * does not perform at all: {@code probe}, {@code note}, {@code list_ask}, {@code move}.
 *
 * <p>The outcome of a placement is always that of the primary's attempt; if the shadow chose
 * another machine, that machine is assumed to have accepted the VM too. The counts therefore
 * compare the decisions, not their outcomes. Confined to the event loop.
 */
final class ShadowScheduler implements SchedulerActions {
  /** The scheduler that the shadow is compared with, and the event loop that both run on. */
  interface Primary {
    /** Processes an input after a delay; with no delay, after the inputs that are queued now. */
    void schedule(Duration delay, Runnable input);

    /** The name of one of the primary's machines. */
    String nameOf(Machine machine);

    /** The primary's machine with that name. */
    Machine machine(String name);

    /** The constraint penalty of placing one of the primary's VMs on one of its machines. */
    double constraintPenalty(Vm vm, Machine machine);

    /** Whether any constraint applies to one of the primary's VMs. */
    boolean isConstrained(Vm vm);
  }

  /** A final response that is not an acceptance. */
  private record NegativeResponse(ClientResponse.Kind kind, Duration retryAfter) {}

  /** The two schedulers' representations of a VM, and the negative response of each. */
  private static final class ShadowedVm {
    final Vm primary;
    final Vm shadow;
    Optional<NegativeResponse> primaryResponse = Optional.empty();
    Optional<NegativeResponse> shadowResponse = Optional.empty();

    ShadowedVm(Vm primary, Vm shadow) {
      this.primary = primary;
      this.shadow = shadow;
    }

    /** The shadow's attempt that is in flight or accepted, if there is one. */
    Optional<PlacementAttempt> shadowAttempt() {
      return Optional.ofNullable(shadow.lastAttempt()).filter(PlacementAttempt::isInFlight);
    }
  }

  private final DeploymentSettings primarySettings;
  private final Metrics metrics;
  private final Primary primary;
  private final SchedulerInputs<String> inputs;
  private final IdentityHashMap<Vm, ShadowedVm> vmsByPrimary = new IdentityHashMap<>();
  private final IdentityHashMap<Vm, ShadowedVm> vmsByShadow = new IdentityHashMap<>();
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
    inputs = new SchedulerInputs<>(this, SchedulerInputs::machineId);
    inputs.scheduler.start(seed, SchedulerSettingsMapper.of(shadowSettings, position));
  }

  // Inputs of the primary scheduler

  void advanceTo(Duration now) {
    inputs.scheduler.advanceTo(now);
  }

  void schedulerCountChanged(int count) {
    inputs.scheduler.schedulerCountChanged(count);
  }

  void machineListReceived(
      boolean isSnapshot, boolean isStale, List<SchedulerInputs.ListedMachine<String>> machines) {
    machines.forEach(listed -> machineNames.put(inputs.machine(listed.key()), listed.key()));
    inputs.machineListReceived(isSnapshot, isStale, machines);
  }

  void setLoad(String machine, LoadReport report, Duration now) {
    inputs.loadReported(
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
    inputs.scheduler.vmAdopted(createShadow(vm).shadow, inputs.machine(machine));
  }

  /** A new VM. Called before the primary decides, so that both see the same constraint state. */
  void vmRequested(Vm vm) {
    inputs.scheduler.vmRequested(createShadow(vm).shadow);
  }

  /** Compares what the two schedulers did with a new VM, after the primary's decision. */
  void vmDecided(Vm vm) {
    ShadowedVm shadowed = vmsByPrimary.get(vm);
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
    ShadowedVm shadowed = vmsByPrimary.get(vm);
    if (shadowed != null) {
      shadowed.shadowAttempt().ifPresent(this::acceptIfUnanswered);
    }
  }

  /** A report on a running VM; {@code input} is the scheduler's input for it. */
  void vmReported(Vm vm, BiConsumer<Scheduler, PlacementAttempt> input) {
    ShadowedVm shadowed = vmsByPrimary.get(vm);
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
    ShadowedVm shadowed = vmsByPrimary.get(attempt.vm);
    if (shadowed == null) {
      return;
    }
    Optional<PlacementAttempt> shadowAttempt = shadowed.shadowAttempt();
    if (shadowAttempt.isPresent()) {
      if (wasAccepted || isSameMachine(attempt, shadowAttempt.get())) {
        inputs.scheduler.attemptEnded(shadowAttempt.get(), outcome, reason, wasAccepted);
      } else {
        acceptIfUnanswered(shadowAttempt.get());
      }
    }
    if (wasAccepted) {
      stopTracking(shadowed);
    }
  }

  void requestAbandoned(Vm vm) {
    ShadowedVm shadowed = vmsByPrimary.get(vm);
    if (shadowed == null) {
      return;
    }
    Optional<PlacementAttempt> shadowAttempt = shadowed.shadowAttempt();
    inputs.scheduler.requestAbandoned(shadowed.shadow);
    shadowAttempt.ifPresent(
        inFlight ->
            inputs.scheduler.attemptEnded(
                inFlight, Outcome.CANCELLED, OutcomeReason.UNSPECIFIED, true));
    stopTracking(shadowed);
  }

  /** The primary rejected the VM. */
  void vmRejected(Vm vm, Duration retryAfter) {
    primaryResponded(vm, new NegativeResponse(ClientResponse.Kind.REJECTED, retryAfter));
  }

  /** The primary failed the VM. */
  void vmFailed(Vm vm) {
    primaryResponded(vm, new NegativeResponse(ClientResponse.Kind.FAILED, Duration.ZERO));
  }

  private ShadowedVm createShadow(Vm vm) {
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
    vmsByPrimary.put(vm, shadowed);
    vmsByShadow.put(shadow, shadowed);
    inputs.addVm(shadow);
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

  private void primaryResponded(Vm vm, NegativeResponse response) {
    ShadowedVm shadowed = vmsByPrimary.get(vm);
    if (shadowed != null) {
      shadowed.primaryResponse = Optional.of(response);
      compareOutcomes(shadowed);
    }
  }

  private void compareOutcomes(ShadowedVm shadowed) {
    Optional<NegativeResponse> primaryResponse = shadowed.primaryResponse;
    Optional<NegativeResponse> shadowResponse = shadowed.shadowResponse;
    if ((primaryResponse.isEmpty() && shadowResponse.isEmpty())
        || !vmsByPrimary.containsKey(shadowed.primary)) {
      return;
    }
    boolean shadowPlaced = shadowResponse.isEmpty() && shadowed.shadowAttempt().isPresent();
    boolean primaryPlaced =
        primaryResponse.isEmpty() && shadowed.primary.inFlightAttemptCount() > 0;
    if (shadowPlaced || primaryPlaced) {
      metrics.shadowDiffered(ShadowDifference.ANSWER);
      requestAbandoned(shadowed.primary);
    } else if (primaryResponse.isPresent() && shadowResponse.isPresent()) {
      compareResponses(primaryResponse.get(), shadowResponse.get());
      stopTracking(shadowed);
    }
  }

  private void compareResponses(NegativeResponse primaryResponse, NegativeResponse shadowResponse) {
    if (primaryResponse.kind() != shadowResponse.kind()) {
      metrics.shadowDiffered(ShadowDifference.ANSWER);
    } else if (!primaryResponse.retryAfter().equals(shadowResponse.retryAfter())) {
      metrics.shadowDiffered(ShadowDifference.RETRY_AFTER);
    }
  }

  private void stopTracking(ShadowedVm shadowed) {
    if (shadowed.shadowAttempt().isEmpty() && !shadowed.shadow.isFinished) {
      inputs.scheduler.requestAbandoned(shadowed.shadow);
    }
    vmsByPrimary.remove(shadowed.primary);
    vmsByShadow.remove(shadowed.shadow);
    inputs.removeIfFinished(shadowed.shadow);
  }

  // Actions of the shadow scheduler, which are compared and counted but not performed

  @Override
  public void sendAttempt(PlacementAttempt attempt, Duration timeout) {
    ShadowedVm shadowed = vmsByShadow.get(attempt.vm);
    if (shadowed != null && shadowed.primaryResponse.isPresent()) {
      primary.schedule(Duration.ZERO, () -> compareOutcomes(shadowed));
    }
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    shadowResponded(vm, new NegativeResponse(ClientResponse.Kind.REJECTED, retryAfter));
  }

  @Override
  public void fail(Vm vm) {
    shadowResponded(vm, new NegativeResponse(ClientResponse.Kind.FAILED, Duration.ZERO));
  }

  private void shadowResponded(Vm vm, NegativeResponse response) {
    ShadowedVm shadowed = vmsByShadow.get(vm);
    if (shadowed != null) {
      shadowed.shadowResponse = Optional.of(response);
      primary.schedule(Duration.ZERO, () -> compareOutcomes(shadowed));
    }
  }

  @Override
  public void migrate(Vm vm) {
    metrics.shadowDiffered(ShadowDifference.MOVE);
  }

  /** The primary's penalty, as the tenants' constraints apply to both schedulers alike. */
  @Override
  public double constraintPenalty(Vm vm, Machine machine) {
    ShadowedVm shadowed = vmsByShadow.get(vm);
    return shadowed == null
        ? 0
        : primary.constraintPenalty(shadowed.primary, primary.machine(machineNames.get(machine)));
  }

  @Override
  public boolean isConstrained(Vm vm) {
    ShadowedVm shadowed = vmsByShadow.get(vm);
    return shadowed != null && primary.isConstrained(shadowed.primary);
  }

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {}

  @Override
  public void probe(Machine machine) {
    // The primary may probe the machine later in the same input; its result then goes to both.
    primary.schedule(Duration.ZERO, () -> answerProbeUnlessPrimaryProbes(machine));
  }

  private void answerProbeUnlessPrimaryProbes(Machine machine) {
    if (primary.machine(machineNames.get(machine)).isProbing) {
      return;
    }
    metrics.shadowDiffered(ShadowDifference.PROBE);
    // No machine was probed: the shadow is told of a success without a load report, so that it
    // records no fault and may probe again.
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
  public void watchMachineList(boolean enabled) {
    if (primarySettings.cluster().isListPushed()) {
      metrics.shadowDiffered(ShadowDifference.LIST_ASK);
    }
    primary.schedule(Duration.ZERO, () -> inputs.machineListReceived(false, false, List.of()));
  }

  @Override
  public void fetchMachineList() {}
}
