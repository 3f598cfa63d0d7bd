package fordridge.scheduling;

import static fordridge.model.Durations.min;
import static fordridge.model.Durations.ofSeconds;
import static fordridge.model.Durations.scale;
import static fordridge.model.Durations.toSeconds;
import static fordridge.model.MachineLists.mean;

import fordridge.model.GossipCodec;
import fordridge.model.GossipMessage;
import fordridge.model.Machine;
import fordridge.model.PendingQueue;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.PriorityClass;
import fordridge.model.PriorityClassState;
import fordridge.model.SchedulerSettings;
import fordridge.model.SchedulerState;
import fordridge.model.SeededRandom;
import fordridge.model.Vm;
import fordridge.scheduling.RuleList.Rule;
import java.time.Duration;
import java.util.Optional;

/**
 * Places VMs on machines: utilization-aware scheduling after UBIS (docs/design.md). It is called by
 * one thread with {@link #advanceTo} and then one input, {@link #start} first. An input changes the
 * state, then the rules act through {@link SchedulerActions} until none holds.
 */
public final class Scheduler {
  static final Duration DEFAULT_DETECTION_TIMEOUT = Duration.ofSeconds(3);
  static final Duration DEFAULT_POLL_INTERVAL = Duration.ofSeconds(10);

  /** Samples over which the usual length of lives and starts is learned. */
  private static final int LEARNING_SAMPLES = 16;

  private final SchedulerActions actions;
  private final SchedulerState state = new SchedulerState();
  private final RetryPolicy retries = new RetryPolicy(state);
  private final SlowStart slowStart = new SlowStart(state);
  private final CapacityModel capacity = new CapacityModel(state, state.usage);
  private final HealthChecker health;
  private final OutlierDetector outliers;
  private final CandidateFilter candidates;
  private final MachineSelector selector;
  private final RuleList rules;

  /** A scheduler that acts through {@code actions}. */
  public Scheduler(SchedulerActions actions) {
    this.actions = actions;
    health = new HealthChecker(state, actions);
    outliers = new OutlierDetector(state, health);
    candidates = new CandidateFilter(state, actions, retries, slowStart, outliers);
    selector = new MachineSelector(state, actions, capacity, candidates, outliers);
    rules =
        new RuleList(
            // The list first: nothing is placed by a list that no longer counts as current.
            new Rule(state::needsMachineList, this::watchMachineList),
            new Rule(state::mustDropPending, () -> giveUp(state.pending.takeFirst())),
            // What can be placed is placed before anything is given up.
            new Rule(
                () -> !state.untried.isEmpty() && actions.isInputRead(),
                () -> placeOrHold(state.untried.remove())),
            new Rule(() -> state.mayPlacePending() && actions.isInputRead(), this::tryPending),
            new Rule(() -> state.isPast(state.nextProbeAt), health::probeStalest),
            new Rule(state::needsTimer, this::setTimer));
  }

  /** The time of the inputs that follow; it never goes back. */
  public void advanceTo(Duration now) {
    state.advanceTo(now);
  }

  /** Starts it; the same seed, settings and inputs give the same actions. */
  public void start(long seed, SchedulerSettings settings) {
    state.random = new SeededRandom(seed);
    state.startedAt = state.now;
    state.schedulerCount = settings.schedulerCount();
    state.apply(settings, Scheduler::unlearned);
    capacity.start();
    rules.apply();
  }

  /** Other settings hold from now on; priority classes stay, and what was learned of them. */
  public void settingsChanged(SchedulerSettings settings) {
    state.apply(settings, Scheduler::unlearned);
    capacityMayHaveGrown();
  }

  private static PriorityClassState unlearned(PriorityClass settings) {
    double objective = toSeconds(settings.startObjective());
    double lifetime = Math.max(1, settings.startValueSeconds());
    return new PriorityClassState(LEARNING_SAMPLES, lifetime, objective / 2, 2 * objective);
  }

  /** A list follows: complete (machines not in it are gone) or changes, perhaps out of date. */
  public void machineListStarted(boolean isComplete, boolean mayBeStale) {
    state.listStarted(isComplete, mayBeStale);
  }

  /** A machine of the list, whose place, kind and free capacity are set; a restart opens it. */
  public void machineListed(Machine machine, Machine.Lifecycle lifecycle, Duration startedAt) {
    if (startedAt != null && !startedAt.equals(machine.startedAt)) {
      machine.forgetPastServices();
      machine.reportedAt = null;
      machine.ejectedUntil = Duration.ZERO;
    }
    state.listed(machine, lifecycle, startedAt);
  }

  /** The list that was started ends. */
  public void machineListCompleted() {
    state.listCompleted();
    refreshMeans();
    capacityMayHaveGrown();
  }

  /** The list could not be had. */
  public void machineListFailed() {
    state.isWatchRequested = false;
    state.isWatching = false;
    state.nextWatchAt = state.inTimeouts(1.0 / 4);
    rules.apply();
  }

  /** A client requests a VM. */
  public void vmRequested(Vm vm) {
    state.requestCount++;
    state.classOf(vm).requests++;
    state.untried.add(vm);
    rules.apply();
  }

  /** All that peers had sent is taken in: what waits for a decision is decided. */
  public void inputRead() {
    rules.apply();
  }

  /**
   * The first byte of an offer could be written now: what forbids it, by all that is known by now.
   * If nothing does, the attempt counts as sent at this instant; else it has to end as not sent.
   */
  public Optional<OfferObstacle> confirmSend(PlacementAttempt attempt) {
    return candidates.findObstacle(attempt);
  }

  /** Counts of VMs whose attempts ended without their machine's word, for the log. */
  public String describeUnconfirmedEnds() {
    return state.describeUnconfirmedEnds();
  }

  /** A VM that runs already counts as placed by this scheduler. */
  public void vmAdopted(Vm vm, Machine machine) {
    state.addHosted(PlacementAttempt.adopted(vm, machine, state.now));
    rules.apply();
  }

  /**
   * Until the machine has sent its inventory, it may run VMs of an earlier incarnation of this
   * scheduler that are not known: nothing with a spread limit is placed near it.
   */
  public void inventoryAwaited(Machine machine) {
    state.awaitInventory(machine);
  }

  /** The machine has sent its inventory, and what it runs was adopted; or it is gone. */
  public void inventoryReceived(Machine machine) {
    state.inventoryReceived(machine);
    capacityMayHaveGrown();
  }

  /** The machine accepted the VM. */
  public void attemptAccepted(PlacementAttempt attempt) {
    state.attemptAccepted(attempt);
    outliers.attemptAccepted(attempt);
    if (state.settings.attempts().acceptedIsRunning()) {
      started(attempt);
    }
    capacityMayHaveGrown();
  }

  /** An accepted VM runs; for machines that accept VMs before they run. */
  public void vmStarted(PlacementAttempt attempt) {
    if (attempt.runningSince == null) {
      started(attempt);
    }
    rules.apply();
  }

  private void started(PlacementAttempt attempt) {
    attempt.runningSince = state.now;
    double seconds = state.secondsSince(attempt.sentAt);
    state.classOf(attempt.vm).startSeconds(attempt.isWarmStart).add(seconds);
    outliers.vmStarted(attempt, seconds);
  }

  /** A VM uses that many cores. */
  public void coreUsageReported(PlacementAttempt attempt, double cores) {
    state.usage.usedCoresRatio.add(cores / attempt.vm.cores);
  }

  /** A VM uses that much memory. */
  public void memoryUsageReported(PlacementAttempt attempt, double memory) {
    state.usage.usedMemoryRatio.add(memory / attempt.vm.memory);
  }

  /** A VM gets this share of the cores that it needs. */
  public void serviceLevelReported(PlacementAttempt attempt, double share) {
    outliers.recordFault(attempt.machine, (1 - share) / 2);
  }

  /** Memory of the VM's machine is getting short: this share is in use. */
  public void memoryPressureReported(PlacementAttempt attempt, double share) {
    outliers.recordFault(attempt.machine, share / 2);
  }

  /** The client of a VM does not wait any more. */
  public void clientLeft(Vm vm) {
    state.finish(vm);
    state.untried.remove(vm);
    rules.apply();
  }

  /** An attempt ended; {@code isFinal} if its VM needs no response any more. */
  public void attemptEnded(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason, boolean isFinal) {
    Vm vm = attempt.vm;
    state.attemptEnded(attempt, outcome, state.now.plus(retries.mayRunFor(vm)));
    capacity.attemptEnded(attempt);
    if (attempt.wasAccepted() && outcome == Outcome.DONE) {
      state.classOf(vm).lifetimeSeconds.add(state.secondsSince(attempt.acceptedAt));
    }
    outliers.attemptEnded(attempt, reason);
    if (isFinal || attempt.wasAccepted()) {
      state.finish(vm);
    } else if (!vm.isFinished && vm.inFlightAttempts() == 0) {
      state.untried.add(vm);
    }
    capacityMayHaveGrown();
  }

  /** A machine said of a VM whose attempt had ended without its word that it runs no longer. */
  public void endConfirmed(String vmId, Machine machine) {
    state.endConfirmed(vmId, machine);
    capacityMayHaveGrown();
  }

  /** A machine reported its load; null where capacity changed at large. */
  public void loadReported(Machine machine) {
    health.loadReported(machine);
    capacityMayHaveGrown();
  }

  /** A probe ended: whether the machine responded, and whether with a load report. */
  public void probeCompleted(Machine machine, boolean isHealthy, boolean hasReport) {
    machine.isProbing = false;
    if (isHealthy && hasReport) {
      loadReported(machine);
    } else if (!isHealthy) {
      outliers.recordFault(machine, 1);
      health.gossip(GossipCodec.unreachable(machine));
    }
    capacityMayHaveGrown();
  }

  /** Gossip of another scheduler; passed over unless our own list names its machine. */
  public void gossipReceived(String text) {
    GossipMessage message = state.usableGossip(text);
    Machine machine = state.machineOf(message);
    if (message instanceof GossipMessage.LoadReported load) {
      machine.loadGossiped(load, state.now);
      capacityMayHaveGrown();
    } else if (message instanceof GossipMessage.Unreachable) {
      machine.ejectUntil(state.inTimeouts(1.0 / 3));
    } else if (message instanceof GossipMessage.TenantClassRejected rejected) {
      var tenantClass = state.tenantClasses.get(rejected.tenantClass());
      machine.rejectionBackoff(tenantClass).extendUntil(state.inTimeouts(2));
    }
  }

  /** So many schedulers share the cluster from now on. */
  public void schedulerCountChanged(int schedulers) {
    state.schedulerCount = schedulers;
    capacityMayHaveGrown();
  }

  /** Nothing more is placed: pending VMs are answered at once, others when their attempt ends. */
  public void shutdownStarted() {
    state.isStopping = true;
    rules.apply();
  }

  /** The timer that was set fired. */
  public void timerFired() {
    state.timerAt = null;
    capacityMayHaveGrown();
  }

  private void capacityMayHaveGrown() {
    state.capacityMayHaveGrown();
    rules.apply();
  }

  private void watchMachineList() {
    state.isWatchRequested = true;
    actions.watchMachineList(true);
  }

  /** A list that must be watched counts as current for four intervals after a failure. */
  private boolean isMachineListCurrent() {
    Duration interval = state.settings.discovery().pollInterval();
    boolean isPushed = !state.isListWatched() || state.isWatching;
    return isPushed || state.isWithin(interval.multipliedBy(4), state.listReceivedAt);
  }

  private void giveUp(Vm vm) {
    vm.isFinished = true;
    if (retries.mayReject(vm)) {
      boolean hasAdvice = state.settings.attempts().sendsRetryAfter();
      actions.reject(vm, hasAdvice ? state.settingsOf(vm).startObjective() : Duration.ZERO);
    } else {
      actions.fail(vm);
    }
  }

  private void placeOrHold(Vm vm) {
    if (state.isPast(retries.giveUpAt(vm)) || state.unplaceable.covers(vm) || !place(vm)) {
      hold(vm);
    }
  }

  /** False if no machine has capacity; remembered where that is so for all VMs like it. */
  private boolean place(Vm vm) {
    Machine machine = select(vm);
    if (machine != null) {
      sendAttempt(new PlacementAttempt(vm, machine, vm.attempts.size(), state.now));
      return true;
    }
    boolean isLikeOthers =
        vm.attempts.isEmpty()
            && state.settingsOf(vm).isSpreadUnlimited()
            && !state.rejectedAt.containsKey(vm.tenantClass())
            && !actions.isConstrained(vm);
    if (isLikeOthers || selector.isTooLargeForAll(vm)) {
      state.unplaceable.add(vm);
    }
    return false;
  }

  private Machine select(Vm vm) {
    if (retries.waitsForNewList(vm) || retries.waitsAfterNotSent(vm) || !isMachineListCurrent()) {
      return null;
    }
    if (!state.now.equals(state.meansRefreshedAt)) {
      state.meansRefreshedAt = state.now;
      state.machinesWithReservations.removeIf(capacity::releaseReservations);
      refreshMeans();
    }
    return selector.select(vm);
  }

  private void refreshMeans() {
    var live = state.usableMachines();
    state.usage.meanFaultSeverity = mean(live, outliers::severity);
    capacity.refreshMeans(live);
    health.refreshGossipInterval(live.size());
  }

  private void sendAttempt(PlacementAttempt attempt) {
    attempt.isWarmStart = selector.hasProgram(attempt.machine, attempt.vm.service);
    attempt.timeout = retries.timeout(attempt);
    state.attemptSent(attempt);
    slowStart.attemptSent(attempt);
    actions.sendAttempt(attempt, attempt.timeout);
  }

  /** Behind others of its rank once it comes late: else, in overload, every start would be late. */
  private void hold(Vm vm) {
    Duration giveUpAt = retries.giveUpAt(vm);
    if (state.isPast(giveUpAt)) {
      giveUp(vm);
      return;
    }
    PriorityClass settings = state.settingsOf(vm);
    Duration inTime = vm.arrivedAt.plus(scale(settings.startObjective(), 3.0 / 4));
    boolean isLate = vm.isClientRetry || state.isPast(inTime);
    int rank = 2 * settings.rank() + (isLate ? 0 : 1);
    // VMs of one shape differ in nothing that a machine is chosen by. Where an attempt may have
    // run,
    // earlier machines bind the choice: such a VM has a shape of its own.
    boolean isBound = !settings.isIdempotent() && vm.firstThatMayHaveRun() != null;
    Object boundTo = isBound ? vm : retries.excludedMachine(vm);
    boolean isAnyService = settings.isSpreadUnlimited() && !actions.isConstrained(vm);
    var shape = PendingQueue.Shape.of(vm, isAnyService ? 0 : vm.service, boundTo, isLate);
    state.pending.add(vm, rank, shape, isLate ? giveUpAt : min(inTime, giveUpAt));
  }

  /**
   * Once an instant: what is due first, then each group through its oldest VM, by rank and age, as
   * long as its VMs find capacity. So the work grows with the number of shapes, not of VMs. Where
   * input has to be read in between, it goes on behind the last group that was tried.
   */
  private void tryPending() {
    state.pendingTried();
    state.pending.takeAllDue(state.now, this::hold);
    Vm vm = state.pending.next(state.lastPendingTried);
    while (vm != null && actions.isInputRead()) {
      if (!state.unplaceable.covers(vm) && place(vm)) {
        state.pending.remove(vm);
      }
      state.lastPendingTried = vm;
      vm = state.pending.next(vm);
    }
    if (vm == null) {
      state.lastPendingTried = null;
    } else {
      // The rest has its turn once the input is read again.
      state.capacityMayHaveGrown();
    }
  }

  /** In time for the shortest start deadline: one counted in ticks may come too late. */
  private void setTimer() {
    state.timerAt = state.now.plus(ofSeconds(state.shortestStartDeadlineSeconds() / 32));
    actions.scheduleTimer(state.timerAt.minus(state.now));
  }
}
