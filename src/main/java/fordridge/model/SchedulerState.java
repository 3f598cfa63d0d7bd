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
 * What one scheduler instance knows for as long as it runs. It keeps books and decides nothing.
 *
 * <p>Belongs to the thread that calls the scheduler. Times are spans since that thread's clock
 * began; null means never, unless said otherwise.
 */
public final class SchedulerState {
  /** The time of the input that is being handled. */
  public Duration now = Duration.ZERO;

  /** When this instance started. */
  public Duration startedAt = Duration.ZERO;

  public SeededRandom random = new SeededRandom(0);

  /** The settings of now, null before the start. */
  public SchedulerSettings settings;

  /** Schedulers that share the cluster, this one among them. */
  public double schedulerCount = 1;

  /** After the shutdown began nothing more is placed. */
  public boolean isStopping;

  // Priority classes.
  /** By name; a class that the settings no longer name stays. */
  public final Map<String, PriorityClassState> priorityClasses = new TreeMap<>();

  /** In the order by which gossip numbers them. */
  public final List<TenantClass> tenantClasses = new ArrayList<>();

  /** When VMs of a tenant class were last rejected without a reason. */
  public final Map<TenantClass, Duration> rejectedAt = new HashMap<>();

  public final FleetUsage usage = new FleetUsage();

  // Machines.
  /** In the order in which the list first named them. */
  public final List<Machine> machines = new ArrayList<>();

  /** Machines with attempts in their ledgers. */
  public final Set<Machine> machinesWithReservations = new LinkedHashSet<>();

  /** By short name; null where several machines have one. */
  private final Map<String, Machine> machinesByGossipName = new HashMap<>();

  /** Machines that have not said yet what they run of an earlier incarnation of the scheduler. */
  private final Set<Machine> inventoryAwaited = new LinkedHashSet<>();

  /** When means over the fleet were last refreshed. */
  public Duration meansRefreshedAt;

  private final Map<Long, Set<Machine>> hostsByService = new HashMap<>();

  private final UnconfirmedEnds unconfirmedEnds = new UnconfirmedEnds(this::releaseService);

  // The machine list.
  /** Whether the list that is coming is complete: what it does not name is gone. */
  public boolean isListComplete;

  public boolean isWatching;
  public boolean isWatchRequested;

  /** When the list was last received. */
  public Duration listReceivedAt = Duration.ZERO;

  /** A watch is not requested again before this time. */
  public Duration nextWatchAt = Duration.ZERO;

  // VMs that wait.
  /** VMs that are neither placed, in flight nor answered. */
  public final PendingQueue pending = new PendingQueue();

  /** VMs that were not tried since they came or since their last attempt ended. */
  public final Deque<Vm> untried = new ArrayDeque<>();

  /** Those found since any capacity could have grown. */
  public final UnplaceableVms unplaceable = new UnplaceableVms();

  /** Whether capacity may have grown since the pending VMs were last tried. */
  public boolean mayHaveGrown;

  /** The pending VM after which they go on being tried, null: from the first. */
  public Vm lastPendingTried;

  /** When pending VMs were last tried. */
  public Duration pendingTriedAt;

  /** When the timer fires, null if none is set. */
  public Duration timerAt;

  // Monitoring.
  public long requestCount;
  public long probeCount;

  /** No stale machine is looked for before this time. */
  public Duration nextProbeAt = Duration.ZERO;

  /** How old the last report gossiped of a machine must be for the next; null: none is. */
  public Duration gossipInterval;

  /** The time of the next input. */
  public void advanceTo(Duration time) {
    if (!time.equals(now)) {
      unplaceable.clear();
      unconfirmedEnds.expire(time);
    }
    now = time;
  }

  /** Capacity may have grown: what found none is worth another look. */
  public void capacityMayHaveGrown() {
    mayHaveGrown = true;
    unplaceable.clear();
  }

  /** Pending VMs are tried now. */
  public void pendingTried() {
    mayHaveGrown = false;
    pendingTriedAt = now;
  }

  /** Whether that time has come. */
  public boolean isPast(Duration time) {
    return now.compareTo(time) >= 0;
  }

  /** The time since then; null counts as since the clock began. */
  public Duration since(Duration then) {
    return then == null ? now : now.minus(then);
  }

  /** Whether it is less than that span since then; null counts as since the clock began. */
  public boolean isWithin(Duration span, Duration then) {
    return since(then).compareTo(span) < 0;
  }

  /** The time since then in seconds. */
  public double secondsSince(Duration then) {
    return Durations.toSeconds(now.minus(then));
  }

  /** Whether the machine list must be watched. */
  public boolean isListWatched() {
    return settings.discovery().isWatched();
  }

  /** Machines that are live and whose size is known, or all where none is. */
  public List<Machine> usableMachines() {
    return MachineLists.prefer(machines, Machine::isUsable);
  }

  /** The detection timeout in seconds. */
  public double timeoutSeconds() {
    return Durations.toSeconds(settings.detectionTimeout());
  }

  /** So many detection timeouts. */
  public Duration detectionTimeouts(double count) {
    return Durations.scale(settings.detectionTimeout(), count);
  }

  /** The time in so many detection timeouts. */
  public Duration inTimeouts(double count) {
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
   * Takes over settings. Priority classes stay and keep what was learned; {@code unlearned} makes
   * the state of a new one. Tenant classes are numbered anew, by tenant and name of the class.
   */
  public void apply(
      SchedulerSettings newSettings, Function<PriorityClass, PriorityClassState> unlearned) {
    settings = newSettings;
    for (PriorityClass each : settings.priorityClasses()) {
      priorityClasses.computeIfAbsent(each.name(), name -> unlearned.apply(each)).settings = each;
    }
    tenantClasses.clear();
    for (String tenant : settings.tenants()) {
      for (String priorityClass : priorityClasses.keySet()) {
        tenantClasses.add(new TenantClass(tenant, priorityClass));
      }
    }
  }

  /**
   * The machine with the oldest report of those that match and whose report is older than that; the
   * first of equals, from an index of the list on. Null if there is none.
   */
  public Machine findOldestReport(int from, Duration age, Predicate<Machine> condition) {
    Machine oldest = null;
    Duration oldestAge = age;
    for (int i = 0; i < machines.size(); i++) {
      Machine machine = machines.get((from + i) % machines.size());
      if (condition.test(machine) && since(machine.reportedAt).compareTo(oldestAge) > 0) {
        oldest = machine;
        oldestAge = since(machine.reportedAt);
      }
    }
    return oldest;
  }

  /** Whether the machine list must be requested now. */
  public boolean needsMachineList() {
    return isListWatched() && !isWatching && !isWatchRequested && isPast(nextWatchAt);
  }

  /** Whether pending VMs wait that no one will place any more. */
  public boolean mustDropPending() {
    return isStopping && !pending.isEmpty();
  }

  /** Whether VMs are pending for which capacity may have grown, and were not tried now. */
  public boolean mayPlacePending() {
    return mayHaveGrown && !pending.isEmpty() && !now.equals(pendingTriedAt);
  }

  /** Whether something waits for time to pass and no timer is set. */
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

  /** A machine list begins. */
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

  /** The machine list names a machine. */
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

  /** A machine list ends: what a complete one did not name is gone. */
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

  /** A gossip message on a machine and tenant class that are known, else null. */
  public GossipMessage usableGossip(String text) {
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

  /** Whether the machine hosts a service, or did within that span. */
  public boolean isHostedWithin(Duration span, Machine machine, long service) {
    HostedService hosted = machine.hostedServices.get(service);
    return hosted != null && (hosted.count > 0 || isWithin(span, hosted.lastHostedAt));
  }

  /** An attempt is sent: it is reserved until lists and reports can include it. */
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

  /** A machine accepted an attempt. */
  public void attemptAccepted(PlacementAttempt attempt) {
    attempt.machine.unansweredAttempts.remove(attempt);
    attempt.acceptedAt = now;
    attempt.vm.acceptedAttempt = attempt;
  }

  /**
   * An attempt ended.
   *
   * @param countsUntil how long its VM counts at the machine if it may run there all the same
   */
  public void attemptEnded(
      PlacementAttempt attempt, PlacementAttempt.Outcome outcome, Duration countsUntil) {
    attempt.outcome = outcome;
    attempt.machine.unansweredAttempts.remove(attempt);
    attempt.machine.hostedAttempts.remove(attempt);
    if (attempt.mayStillRun && !isCleared(attempt)) {
      unconfirmedEnds.add(attempt, countsUntil);
    } else {
      releaseService(attempt);
    }
  }

  /** A VM needs no response any more. */
  public void finish(Vm vm) {
    vm.isFinished = true;
    pending.remove(vm);
  }

  /** Counts an attempt at its machine from now on. */
  public void addHosted(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    machine.hostedAttempts.add(attempt);
    HostedService service =
        machine.hostedServices.computeIfAbsent(attempt.vm.service, key -> new HostedService());
    service.count++;
    service.lastHostedAt = now;
    hostsByService.computeIfAbsent(attempt.vm.service, key -> new HashSet<>()).add(machine);
  }

  /** Whether the machine list says that the machine runs nothing any more that was sent before. */
  private static boolean isCleared(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    boolean isRestarted =
        machine.startedAt != null && attempt.sentAt.compareTo(machine.startedAt) < 0;
    return machine.lifecycle == Machine.Lifecycle.GONE || isRestarted;
  }

  /** The machine has said that a VM runs no longer which had ended without its word. */
  public void endConfirmed(String vmId, Machine machine) {
    unconfirmedEnds.confirmed(vmId, machine);
  }

  /** Counts of VMs whose attempts ended without their machine's word, for the log. */
  public String describeUnconfirmedEnds() {
    return unconfirmedEnds.describe();
  }

  /** Counts an attempt among the VMs of its service no longer. */
  private void releaseService(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    HostedService service = machine.hostedServices.get(attempt.vm.service);
    service.count--;
    service.lastHostedAt = now;
    if (service.count == 0) {
      hostsByService.computeIfPresent(
          attempt.vm.service, (key, on) -> on.remove(machine) && on.isEmpty() ? null : on);
    }
  }

  /** What the machine runs of an earlier incarnation is not known until its inventory comes. */
  public void awaitInventory(Machine machine) {
    inventoryAwaited.add(machine);
  }

  /** The machine has said what it runs, or is gone. */
  public void inventoryReceived(Machine machine) {
    inventoryAwaited.remove(machine);
  }

  /** Whether VMs may run in the domain of the machine that are not known yet. */
  public boolean isInventoryAwaitedNear(Machine machine, TopologyDomain domain) {
    for (Machine awaited : inventoryAwaited) {
      if (domain.contains(machine, awaited)) {
        return true;
      }
    }
    return false;
  }

  /** How many VMs of a service this scheduler has in the same domain as the machine. */
  public int countHosted(long service, TopologyDomain domain, Machine machine) {
    int count = 0;
    for (Machine host : hostsByService.getOrDefault(service, Set.of())) {
      if (domain.contains(machine, host)) {
        count += host.hostedServices.get(service).count;
      }
    }
    return count;
  }
}
