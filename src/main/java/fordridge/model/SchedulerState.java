package fordridge.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The state of one scheduler instance. It does the bookkeeping and makes no decisions.
 *
 * <p>Confined to the thread that calls the scheduler. Times are durations since the start of that
 * thread's clock; null means never unless stated otherwise.
 */
public final class SchedulerState {
  /** Time of the input that is being handled. */
  public Duration now = Duration.ZERO;

  /** When this instance started. */
  public Duration startedAt = Duration.ZERO;

  public SeededRandom random = new SeededRandom(0);

  /** The current settings, null before the start. */
  public SchedulerSettings settings;

  /** Number of schedulers that share the cluster, including this one. */
  public double schedulerCount = 1;

  /** Whether the shutdown has begun, after which no VM is placed. */
  public boolean isStopping;

  // Priority classes.
  /** Priority classes by name; a class that the settings no longer contain is kept. */
  public final Map<String, PriorityClassState> priorityClasses = new TreeMap<>();

  /** Tenant classes in the order of their numbers in gossip. */
  public final List<TenantClass> tenantClasses = new ArrayList<>();

  /** When VMs of a tenant class were last rejected without a reason. */
  public final Map<TenantClass, Duration> rejectedAt = new HashMap<>();

  public final FleetUsage usage = new FleetUsage();

  // Machines.
  /** All machines, in the order in which the list first named them. */
  public final List<Machine> machines = new ArrayList<>();

  /** Machines that have reservations. */
  public final Set<Machine> machinesWithReservations = new LinkedHashSet<>();

  /** Machines by their short name in gossip; null where several machines share a name. */
  private final Map<String, Machine> machinesByGossipName = new HashMap<>();

  /**
   * Machines that have not yet reported which VMs of an earlier incarnation of the scheduler they
   * run.
   */
  private final Set<Machine> inventoryAwaited = new LinkedHashSet<>();

  /** When the means over the fleet were last refreshed. */
  public Duration meansRefreshedAt;

  private final Map<Long, Set<Machine>> hostsByService = new HashMap<>();

  private final PastServices pastServices = new PastServices();

  private final UnconfirmedEnds unconfirmedEnds = new UnconfirmedEnds(this::releaseService);

  // The machine list.
  /** Whether the list being received is complete, so that machines not in it are gone. */
  public boolean isListComplete;

  public boolean isWatching;
  public boolean isWatchRequested;

  /** When the list was last received. */
  public Duration listReceivedAt = Duration.ZERO;

  /** Earliest time to request the watch again. */
  public Duration nextWatchAt = Duration.ZERO;

  // Waiting VMs.
  /** VMs that wait for capacity: not placed, in flight or finished. */
  public final PendingQueue pending = new PendingQueue();

  /** VMs that have not been tried since they arrived or since their last attempt ended. */
  public final Deque<Vm> undecidedVms = new ArrayDeque<>();

  /** VMs found to be unplaceable since capacity last may have grown. */
  public final UnplaceableVms unplaceable = new UnplaceableVms();

  /** Whether capacity may have grown since the pending VMs were last tried. */
  public boolean isPendingRecheckDue;

  /** The pending VM after which trying continues, null to start from the first. */
  public Vm lastTriedPending;

  /** When the pending VMs were last tried. */
  public Duration pendingTriedAt;

  /** When the timer fires, null if none is set. */
  public Duration timerAt;

  // Monitoring.
  public long requestCount;
  public long probeCount;

  /** Earliest time of the next search for a machine with a stale report. */
  public Duration nextProbeAt = Duration.ZERO;

  /** Least time between two gossiped reports of a machine, null if no reports are gossiped. */
  public Duration gossipInterval;

  /** Sets the time of the next input. */
  public void advanceTo(Duration time) {
    if (!time.equals(now)) {
      unplaceable.clear();
      unconfirmedEnds.expire(time);
    }
    now = time;
  }

  /** Capacity may have grown: pending and unplaceable VMs are to be tried again. */
  public void requestPendingRecheck() {
    isPendingRecheckDue = true;
    unplaceable.clear();
  }

  /** Records that the pending VMs are tried now. */
  public void pendingTried() {
    isPendingRecheckDue = false;
    pendingTriedAt = now;
  }

  /** Whether the time has been reached. */
  public boolean isPast(Duration time) {
    return now.compareTo(time) >= 0;
  }

  /** The time since then; null counts as the start of the clock. */
  public Duration since(Duration then) {
    return then == null ? now : now.minus(then);
  }

  /** Whether less than the span has passed since then; null counts as the start of the clock. */
  public boolean isWithin(Duration span, Duration then) {
    return since(then).compareTo(span) < 0;
  }

  /** The time since then in seconds. */
  public double secondsSince(Duration then) {
    return Durations.toSeconds(now.minus(then));
  }

  /** Whether the machine list has to be watched. */
  public boolean isListWatched() {
    return settings.discovery().isWatched();
  }

  /** Live machines of known size, or all machines if there are none. */
  public List<Machine> usableMachines() {
    return MachineLists.prefer(machines, Machine::isUsable);
  }

  /** The detection timeout in seconds. */
  public double detectionTimeoutSeconds() {
    return Durations.toSeconds(settings.detectionTimeout());
  }

  /** The given number of detection timeouts. */
  public Duration detectionTimeouts(double count) {
    return Durations.scale(settings.detectionTimeout(), count);
  }

  /** The time after the given number of detection timeouts from now. */
  public Duration inDetectionTimeouts(double count) {
    return now.plus(detectionTimeouts(count));
  }

  /** The settings of a VM's priority class. */
  public PriorityClass settingsOf(Vm vm) {
    return classOf(vm).settings;
  }

  /** The priority class of a VM. */
  public PriorityClassState classOf(Vm vm) {
    return priorityClasses.get(vm.priorityClass);
  }

  /**
   * Applies settings. Known priority classes keep their learned values; {@code initialState}
   * creates the state of a new one. Tenant classes are renumbered, by tenant and name of the class.
   */
  public void apply(
      SchedulerSettings newSettings, Function<PriorityClass, PriorityClassState> initialState) {
    settings = newSettings;
    for (PriorityClass each : settings.priorityClasses()) {
      priorityClasses.computeIfAbsent(each.name(), name -> initialState.apply(each)).settings =
          each;
    }
    tenantClasses.clear();
    for (String tenant : settings.tenants()) {
      for (String priorityClass : priorityClasses.keySet()) {
        tenantClasses.add(new TenantClass(tenant, priorityClass));
      }
    }
  }

  /**
   * Finds the machine with the oldest load report among those that match the condition and whose
   * report is older than {@code minAge}; null if there is none. Of equals, the first from {@code
   * startIndex} on is returned.
   */
  public Machine findOldestReport(int startIndex, Duration minAge, Predicate<Machine> condition) {
    Machine oldest = null;
    Duration oldestAge = minAge;
    for (int i = 0; i < machines.size(); i++) {
      Machine machine = machines.get((startIndex + i) % machines.size());
      if (condition.test(machine) && since(machine.reportedAt).compareTo(oldestAge) > 0) {
        oldest = machine;
        oldestAge = since(machine.reportedAt);
      }
    }
    return oldest;
  }

  /** Whether the watch of the machine list has to be requested now. */
  public boolean needsMachineList() {
    return isListWatched() && !isWatching && !isWatchRequested && isPast(nextWatchAt);
  }

  /** Whether VMs are still pending although the shutdown has begun. */
  public boolean mustDropPending() {
    return isStopping && !pending.isEmpty();
  }

  /**
   * Whether VMs are pending, capacity may have grown since they were tried, and they were not tried
   * at this instant.
   */
  public boolean mayPlacePending() {
    return isPendingRecheckDue && !pending.isEmpty() && !now.equals(pendingTriedAt);
  }

  /**
   * Whether a timer is needed, for pending VMs or the next request of the watch, and none is set.
   */
  public boolean needsTimer() {
    return timerAt == null && (!pending.isEmpty() || (isListWatched() && !isWatching));
  }

  /** The shortest start deadline of any priority class, in seconds. */
  public double shortestStartDeadlineSeconds() {
    double shortest = Double.POSITIVE_INFINITY;
    for (PriorityClassState priorityClass : priorityClasses.values()) {
      shortest = Math.min(shortest, Durations.toSeconds(priorityClass.settings.startDeadline()));
    }
    return priorityClasses.isEmpty() ? 1 : shortest;
  }

  /** Starts a machine list. */
  public void listStarted(boolean isComplete, boolean mayBeStale) {
    isListComplete = isComplete;
    listReceivedAt = now;
    if (!mayBeStale) {
      isWatchRequested = false;
      isWatching = true;
    }
    if (isComplete) {
      machines.forEach(machine -> machine.listedAt = null);
    }
  }

  /** Enters a machine of the list. */
  public void listed(Machine machine, Machine.Lifecycle lifecycle, Duration startedAt) {
    register(machine);
    machine.resize(settings.kindOf(machine));
    if (lifecycle == Machine.Lifecycle.GONE) {
      unconfirmedEnds.machineCleared(machine, now);
    } else if (startedAt != null && !startedAt.equals(machine.startedAt)) {
      unconfirmedEnds.machineCleared(machine, startedAt);
    }
    machine.startedAt = startedAt;
    machine.lifecycle = lifecycle;
    machine.listedAt = now;
  }

  private void register(Machine machine) {
    if (!machine.isListed) {
      machine.isListed = true;
      machines.add(machine);
      String name = GossipCodec.machineName(machine.id);
      machinesByGossipName.put(name, machinesByGossipName.containsKey(name) ? null : machine);
    }
  }

  /** Ends a machine list: machines that a complete list did not name are gone. */
  public void listCompleted() {
    if (!isListComplete) {
      return;
    }
    for (Machine machine : machines) {
      if (machine.listedAt == null) {
        machine.lifecycle = Machine.Lifecycle.GONE;
        unconfirmedEnds.machineCleared(machine, now);
      }
    }
  }

  /**
   * Decodes a gossip message; null if it is malformed or its machine or tenant class is unknown.
   */
  public GossipMessage decodeGossip(String text) {
    GossipMessage message = GossipCodec.decode(text);
    boolean isUnusable =
        machineOf(message) == null
            || (message instanceof GossipMessage.TenantClassRejected rejected
                && (rejected.tenantClass() < 0 || rejected.tenantClass() >= tenantClasses.size()));
    return isUnusable ? null : message;
  }

  /** The machine that a gossip message is about, or null. */
  public Machine machineOf(GossipMessage message) {
    return message == null ? null : machinesByGossipName.get(message.machineName());
  }

  /** Whether the machine hosts a service or did so within the span. */
  public boolean isHostedWithin(Duration span, Machine machine, long service) {
    HostedService hosted = machine.hostedServices.get(service);
    return hosted != null && (hosted.count > 0 || isWithin(span, hosted.lastHostedAt));
  }

  /**
   * Records an attempt as sent and reserves its resources until lists and reports can include it.
   */
  public void attemptSent(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    attempt.vm.attempts.add(attempt);
    machine.unansweredAttempts.add(attempt);
    machine.lastAttemptAt = now;
    machine.reservedSinceList.add(attempt);
    machine.reservedSinceReport.add(attempt);
    machinesWithReservations.add(machine);
    addHosted(attempt);
  }

  /** Records that a machine accepted an attempt. */
  public void attemptAccepted(PlacementAttempt attempt) {
    attempt.machine.unansweredAttempts.remove(attempt);
    attempt.acceptedAt = now;
    attempt.vm.acceptedAttempt = attempt;
  }

  /**
   * Records that an attempt ended.
   *
   * @param countsUntil until when its VM counts at the machine if it may still run there
   */
  public void attemptEnded(
      PlacementAttempt attempt, PlacementAttempt.Outcome outcome, Duration countsUntil) {
    attempt.outcome = outcome;
    attempt.machine.unansweredAttempts.remove(attempt);
    attempt.machine.hostedAttempts.remove(attempt);
    if (attempt.mayStillRun && !isMachineCleared(attempt)) {
      unconfirmedEnds.add(attempt, countsUntil);
    } else {
      releaseService(attempt);
    }
  }

  /** Marks a VM that needs no further response as finished. */
  public void finish(Vm vm) {
    vm.isFinished = true;
    pending.remove(vm);
  }

  /** Counts an attempt among those at its machine. */
  public void addHosted(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    machine.hostedAttempts.add(attempt);
    HostedService service =
        machine.hostedServices.computeIfAbsent(attempt.vm.service, key -> new HostedService());
    service.count++;
    service.lastHostedAt = now;
    hostsByService.computeIfAbsent(attempt.vm.service, key -> new HashSet<>()).add(machine);
  }

  /**
   * Whether the machine is gone or has restarted since the attempt was sent, so that its VM cannot
   * run there.
   */
  private static boolean isMachineCleared(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    boolean isRestarted =
        machine.startedAt != null && attempt.sentAt.compareTo(machine.startedAt) < 0;
    return machine.lifecycle == Machine.Lifecycle.GONE || isRestarted;
  }

  /**
   * Records that the machine confirmed the end of a VM whose attempt had ended without its
   * confirmation.
   */
  public void vmEndConfirmed(String vmId, Machine machine) {
    unconfirmedEnds.confirmed(vmId, machine);
  }

  /**
   * Describes, for the log, the numbers of attempts that ended without their machine's
   * confirmation.
   */
  public String describeUnconfirmedEnds() {
    return unconfirmedEnds.describe();
  }

  /** Stops counting an attempt among the VMs of its service. */
  private void releaseService(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    HostedService service = machine.hostedServices.get(attempt.vm.service);
    service.count--;
    service.lastHostedAt = now;
    if (service.count == 0) {
      hostsByService.computeIfPresent(
          attempt.vm.service,
          (key, hosts) -> hosts.remove(machine) && hosts.isEmpty() ? null : hosts);
      pastServices.add(machine, attempt.vm.service, now);
      // A start is warm within the detection timeout, see isHostedWithin.
      pastServices.forgetUpTo(now.minus(settings.detectionTimeout()));
    }
  }

  /**
   * Marks the machine as possibly running unknown VMs of an earlier incarnation, until its
   * inventory arrives.
   */
  public void awaitInventory(Machine machine) {
    inventoryAwaited.add(machine);
  }

  /** Records that the machine sent its inventory or is gone. */
  public void inventoryReceived(Machine machine) {
    inventoryAwaited.remove(machine);
  }

  /**
   * Whether the inventory of any machine in the same domain is awaited, so that unknown VMs may run
   * there.
   */
  public boolean isInventoryAwaitedNear(Machine machine, TopologyScope scope) {
    for (Machine awaited : inventoryAwaited) {
      if (scope.contains(machine, awaited)) {
        return true;
      }
    }
    return false;
  }

  /** Number of this scheduler's VMs of a service in the machine's domain. */
  public int countHosted(long service, TopologyScope scope, Machine machine) {
    int count = 0;
    for (Machine host : hostsByService.getOrDefault(service, Set.of())) {
      if (scope.contains(machine, host)) {
        count += host.hostedServices.get(service).count;
      }
    }
    return count;
  }
}
