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
 * Places VMs on machines by utilization-aware scheduling after UBIS (docs/design.md).
 *
 * <p>One thread calls it, for each input with {@link #advanceTo} and then the input's method;
 * {@link #start} is the first input. An input changes the state; then rules are applied, which act
 * through {@link SchedulerActions}, until no rule's condition holds.
 */
public final class Scheduler {
  static final Duration DEFAULT_DETECTION_TIMEOUT = Duration.ofSeconds(3);
  static final Duration DEFAULT_POLL_INTERVAL = Duration.ofSeconds(10);

  /** Window, in samples, of the learned lifetimes and start times of a priority class. */
  private static final int LEARNING_WINDOW_SAMPLES = 16;

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
            // The machine list comes first: no VM is placed by a list that is not current.
            new Rule(state::needsMachineList, this::watchMachineList),
            new Rule(state::mustDropPending, () -> giveUp(state.pending.takeFirst())),
            // Placing comes before giving up: a VM that can be placed is not rejected.
            new Rule(
                () -> !state.undecidedVms.isEmpty() && actions.isAllInputRead(),
                () -> placeOrEnqueue(state.undecidedVms.remove())),
            new Rule(() -> state.mayPlacePending() && actions.isAllInputRead(), this::tryPending),
            new Rule(() -> state.isPast(state.nextProbeAt), health::probeStalestMachine),
            new Rule(state::needsTimer, this::setTimer));
  }

  /** Sets the time of the inputs that follow; it must not go back. */
  public void advanceTo(Duration now) {
    state.advanceTo(now);
  }

  /** Starts the scheduler; the same seed, settings and inputs give the same actions. */
  public void start(long seed, SchedulerSettings settings) {
    state.random = new SeededRandom(seed);
    state.startedAt = state.now;
    state.schedulerCount = settings.schedulerCount();
    state.apply(settings, Scheduler::initialClassState);
    capacity.start();
    rules.apply();
  }

  /** Applies changed settings; known priority classes stay and keep their learned values. */
  public void settingsChanged(SchedulerSettings settings) {
    state.apply(settings, Scheduler::initialClassState);
    recheckPendingVms();
  }

  /** State of a new priority class, with estimates from its settings. */
  private static PriorityClassState initialClassState(PriorityClass settings) {
    double objective = toSeconds(settings.startObjective());
    double lifetime = Math.max(1, settings.startValueSeconds());
    return new PriorityClassState(LEARNING_WINDOW_SAMPLES, lifetime, objective / 2, 2 * objective);
  }

  /**
   * Starts a machine list: either complete, so that machines not in it are gone, or only changes.
   * It may be out of date.
   */
  public void machineListStarted(boolean isComplete, boolean mayBeStale) {
    state.listStarted(isComplete, mayBeStale);
  }

  /**
   * Adds or updates a machine of the list, whose location, kind and free capacity are already set
   * in it. If it has restarted, its ejection, load report and past services are cleared.
   */
  public void machineListed(Machine machine, Machine.Lifecycle lifecycle, Duration startedAt) {
    if (startedAt != null && !startedAt.equals(machine.startedAt)) {
      machine.forgetPastServices();
      machine.reportedAt = null;
      machine.ejectedUntil = Duration.ZERO;
    }
    state.listed(machine, lifecycle, startedAt);
  }

  /** Ends the machine list that was started. */
  public void machineListCompleted() {
    state.listCompleted();
    refreshMeans();
    recheckPendingVms();
  }

  /** The machine list could not be received; it is requested again after a delay. */
  public void machineListFailed() {
    state.isWatchRequested = false;
    state.isWatching = false;
    state.nextWatchAt = state.inDetectionTimeouts(1.0 / 4);
    rules.apply();
  }

  /** A client requests a VM. */
  public void vmRequested(Vm vm) {
    state.requestCount++;
    state.classOf(vm).requestCount++;
    state.undecidedVms.add(vm);
    rules.apply();
  }

  /** All input from peers has been read: decisions that waited for it are made. */
  public void allInputRead() {
    rules.apply();
  }

  /**
   * Decides, when the first byte of an offer can be written, whether the offer may still be sent by
   * the current state; returns what forbids it. If nothing does, the attempt counts as sent now;
   * otherwise the caller has to end it as not sent.
   */
  public Optional<NotSentReason> confirmSend(PlacementAttempt attempt) {
    return candidates.findNotSentReason(attempt);
  }

  /**
   * Describes, for the log, the numbers of attempts that ended without their machine's
   * confirmation.
   */
  public String describeUnconfirmedEnds() {
    return state.describeUnconfirmedEnds();
  }

  /** Whether the VM's priority class may run on a machine of that kind. */
  public boolean isKindAllowed(Vm vm, Machine machine) {
    return state.settingsOf(vm).allowsKind(machine.kind);
  }

  /** Adopts a running VM: it counts as placed by this scheduler from now on. */
  public void vmAdopted(Vm vm, Machine machine) {
    state.addHosted(PlacementAttempt.adopted(vm, machine, state.now));
    rules.apply();
  }

  /**
   * The inventory of the machine is awaited. Until it arrives, the machine may run unknown VMs that
   * an earlier incarnation of this scheduler placed, so no VM with a spread limit is placed in the
   * machine's domain.
   */
  public void inventoryAwaited(Machine machine) {
    state.awaitInventory(machine);
  }

  /** The machine has sent its inventory and its VMs were adopted, or the machine is gone. */
  public void inventoryReceived(Machine machine) {
    state.inventoryReceived(machine);
    recheckPendingVms();
  }

  /** The machine accepted the VM. */
  public void attemptAccepted(PlacementAttempt attempt) {
    state.attemptAccepted(attempt);
    outliers.attemptAccepted(attempt);
    if (state.settings.attempts().isRunningWhenAccepted()) {
      recordStart(attempt);
    }
    recheckPendingVms();
  }

  /** An accepted VM runs. Reported by machines that accept VMs before they run. */
  public void vmStarted(PlacementAttempt attempt) {
    if (attempt.runningSince == null) {
      recordStart(attempt);
    }
    rules.apply();
  }

  private void recordStart(PlacementAttempt attempt) {
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

  /** A VM receives only this share of the cores that it needs. */
  public void serviceLevelReported(PlacementAttempt attempt, double share) {
    outliers.recordFault(attempt.machine, (1 - share) / 2);
  }

  /** The VM's machine is short of memory, of which this share is in use. */
  public void memoryPressureReported(PlacementAttempt attempt, double share) {
    outliers.recordFault(attempt.machine, share / 2);
  }

  /** The client no longer waits for the VM. */
  public void requestAbandoned(Vm vm) {
    state.finish(vm);
    state.undecidedVms.remove(vm);
    rules.apply();
  }

  /** An attempt ended; {@code isFinal} if its VM needs no further response. */
  public void attemptEnded(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason, boolean isFinal) {
    Vm vm = attempt.vm;
    state.attemptEnded(attempt, outcome, state.now.plus(retries.unconfirmedRunTime(vm)));
    capacity.attemptEnded(attempt);
    if (attempt.wasAccepted() && outcome == Outcome.DONE) {
      state.classOf(vm).lifetimeSeconds.add(state.secondsSince(attempt.acceptedAt));
    }
    outliers.attemptEnded(attempt, reason);
    if (isFinal || attempt.wasAccepted()) {
      state.finish(vm);
    } else if (!vm.isFinished && vm.inFlightAttemptCount() == 0) {
      state.undecidedVms.add(vm);
    }
    recheckPendingVms();
  }

  /**
   * A machine reported that a VM no longer runs whose attempt had ended without the machine's
   * confirmation.
   */
  public void vmEndConfirmed(String vmId, Machine machine) {
    state.vmEndConfirmed(vmId, machine);
    recheckPendingVms();
  }

  /** A machine reported its load; null if capacity may have grown without a report of a machine. */
  public void loadReported(Machine machine) {
    health.loadReported(machine);
    recheckPendingVms();
  }

  /**
   * A probe ended.
   *
   * @param isHealthy whether the machine responded
   * @param hasReport whether the response had a load report
   */
  public void probeCompleted(Machine machine, boolean isHealthy, boolean hasReport) {
    machine.isProbing = false;
    if (isHealthy && hasReport) {
      loadReported(machine);
    } else if (!isHealthy) {
      outliers.recordFault(machine, 1);
      health.gossip(GossipCodec.unreachable(machine));
    }
    recheckPendingVms();
  }

  /**
   * Gossip of another scheduler arrived; it is ignored unless this scheduler's list names its
   * machine.
   */
  public void gossipReceived(String text) {
    GossipMessage message = state.decodeGossip(text);
    Machine machine = state.machineOf(message);
    if (message instanceof GossipMessage.LoadReported load) {
      machine.loadGossiped(load, state.now);
      recheckPendingVms();
    } else if (message instanceof GossipMessage.Unreachable) {
      machine.ejectUntil(state.inDetectionTimeouts(1.0 / 3));
    } else if (message instanceof GossipMessage.TenantClassRejected rejected) {
      var tenantClass = state.tenantClasses.get(rejected.tenantClass());
      machine.rejectionBackoff(tenantClass).extendUntil(state.inDetectionTimeouts(2));
    }
  }

  /** The number of schedulers that share the cluster changed. */
  public void schedulerCountChanged(int schedulers) {
    state.schedulerCount = schedulers;
    recheckPendingVms();
  }

  /**
   * Shutdown began: no VM is placed any more. Pending VMs get their final response at once, others
   * when their attempt ends.
   */
  public void shutdownStarted() {
    state.isStopping = true;
    rules.apply();
  }

  /** The scheduled timer fired. */
  public void timerFired() {
    state.timerAt = null;
    recheckPendingVms();
  }

  private void recheckPendingVms() {
    state.requestPendingRecheck();
    rules.apply();
  }

  private void watchMachineList() {
    state.isWatchRequested = true;
    actions.watchMachineList(true);
  }

  /**
   * Whether VMs may be placed by the machine list. After the watch has failed, the last list counts
   * as current for four poll intervals.
   */
  private boolean isMachineListCurrent() {
    Duration interval = state.settings.discovery().pollInterval();
    boolean receivesUpdates = !state.isListWatched() || state.isWatching;
    return receivesUpdates || state.isWithin(interval.multipliedBy(4), state.listReceivedAt);
  }

  /** Sends the final response to a VM that gets no further attempt. */
  private void giveUp(Vm vm) {
    vm.isFinished = true;
    if (retries.mayReject(vm)) {
      boolean sendsRetryAfter = state.settings.attempts().sendsRetryAfter();
      actions.reject(vm, sendsRetryAfter ? state.settingsOf(vm).startObjective() : Duration.ZERO);
    } else {
      actions.fail(vm);
    }
  }

  private void placeOrEnqueue(Vm vm) {
    if (state.isPast(retries.giveUpAt(vm)) || state.unplaceable.covers(vm) || !place(vm)) {
      enqueueOrGiveUp(vm);
    }
  }

  /**
   * Sends an attempt for the VM; returns false if no machine has capacity. If that holds for all
   * VMs of the class that request no less, the VM is recorded as unplaceable.
   */
  private boolean place(Vm vm) {
    Machine machine = select(vm);
    if (machine != null) {
      sendAttempt(new PlacementAttempt(vm, machine, vm.attempts.size(), state.now));
      return true;
    }
    boolean isRepresentative =
        vm.attempts.isEmpty()
            && state.settingsOf(vm).isSpreadUnlimited()
            && !state.rejectedAt.containsKey(vm.tenantClass())
            && !actions.isConstrained(vm);
    if (isRepresentative || selector.isTooLargeForAll(vm)) {
      state.unplaceable.add(vm);
    }
    return false;
  }

  private Machine select(Vm vm) {
    if (retries.waitsForNewList(vm)
        || retries.waitsAfterUnsentAttempt(vm)
        || !isMachineListCurrent()) {
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
    attempt.isWarmStart = selector.isWarmFor(attempt.machine, attempt.vm.service);
    attempt.timeout = retries.timeout(attempt);
    state.attemptSent(attempt);
    slowStart.attemptSent(attempt);
    actions.sendAttempt(attempt, attempt.timeout);
  }

  /**
   * Adds the VM to the pending queue or, if its time is over, gives it up. A VM that waited three
   * quarters of its start objective or that its client requests again waits behind the others of
   * its rank: otherwise, in overload, every start would be late.
   */
  private void enqueueOrGiveUp(Vm vm) {
    Duration giveUpAt = retries.giveUpAt(vm);
    if (state.isPast(giveUpAt)) {
      giveUp(vm);
      return;
    }
    PriorityClass settings = state.settingsOf(vm);
    Duration lateFrom = vm.arrivedAt.plus(scale(settings.startObjective(), 3.0 / 4));
    boolean isLate = vm.isClientRetry || state.isPast(lateFrom);
    int rank = 2 * settings.rank() + (isLate ? 0 : 1);
    // VMs of one shape are alike in everything that a machine is chosen by. Where an earlier
    // attempt may have run, its machine limits the choice, so the VM has a shape of its own.
    boolean isBound = !settings.isIdempotent() && vm.firstAttemptThatMayHaveRun() != null;
    Object boundTo = isBound ? vm : retries.excludedMachine(vm);
    boolean isAnyService = settings.isSpreadUnlimited() && !actions.isConstrained(vm);
    var shape = PendingQueue.Shape.of(vm, isAnyService ? 0 : vm.service, boundTo, isLate);
    state.pending.add(vm, rank, shape, isLate ? giveUpAt : min(lateFrom, giveUpAt));
  }

  /**
   * Tries the pending VMs, at most once per instant: first those that are due, then the oldest VM
   * of each group in order of rank and age. A group is tried again while its VMs find capacity, so
   * the work grows with the number of shapes and not of VMs. If input has to be read in between,
   * the next call continues behind the last group tried.
   */
  private void tryPending() {
    state.pendingTried();
    state.pending.takeAllDue(state.now, this::enqueueOrGiveUp);
    Vm vm = state.pending.next(state.lastTriedPending);
    while (vm != null && actions.isAllInputRead()) {
      if (!state.unplaceable.covers(vm) && place(vm)) {
        state.pending.remove(vm);
      }
      state.lastTriedPending = vm;
      vm = state.pending.next(vm);
    }
    if (vm == null) {
      state.lastTriedPending = null;
    } else {
      // The remaining groups are tried once the input has been read.
      state.requestPendingRecheck();
    }
  }

  /**
   * Schedules the timer for a fraction of the shortest start deadline, as a fixed number of ticks
   * could be too long for it.
   */
  private void setTimer() {
    state.timerAt = state.now.plus(ofSeconds(state.shortestStartDeadlineSeconds() / 32));
    actions.scheduleTimer(state.timerAt.minus(state.now));
  }
}
