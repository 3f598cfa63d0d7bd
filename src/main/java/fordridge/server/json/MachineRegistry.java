package fordridge.server.json;

import fordridge.eventloop.InputGate;
import fordridge.json.ConnectionQuota;
import fordridge.json.InputMemory;
import fordridge.json.MachineClient;
import fordridge.machine.ConnectionBudget;
import fordridge.machine.ConnectionTimeouts;
import fordridge.machine.MachineConnectionListener;
import fordridge.machine.MachineConnectionPool;
import fordridge.machine.OfferConnectionQuota;
import fordridge.machine.RetainedEntries;
import fordridge.machine.UnsettledReason;
import fordridge.model.Durations;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.runtime.SchedulerInputs;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The machines that the machine list or a client has named, with their connections and the
 * connection quota that they share. Confined to the event loop.
 */
final class MachineRegistry {
  /**
   * How many machines are known at most that clients alone have named. A client names one when the
   * list lags behind its handover.
   */
  static final int MAX_UNLISTED_MACHINES = 256;

  /** The maximum length of the id of a machine that is not listed. */
  private static final int MAX_UNLISTED_ID_CHARS = 128;

  private final EventLoopGroup group;
  private final SchedulerEventLoop loop;
  private final InputGate gate;
  private final SchedulerInputs<String> inputs;
  private final ActiveRequests requests;
  private final RequestLog requestLog;
  private final MachineConnectionListener listener;
  private final ConnectionQuota quota;
  private final InputMemory inputMemory;
  private final OfferConnectionQuota offers = new OfferConnectionQuota();
  private final RetainedEntries retained = new RetainedEntries();
  private Predicate<String> isNoticeUndelivered = vmId -> false;
  private ConnectionTimeouts timeouts;
  private final Map<String, MachineHandle> handlesById = new HashMap<>();
  private final Map<Machine, MachineHandle> handlesByMachine = new HashMap<>();
  private final List<MachineConnectionPool> pools = new ArrayList<>();

  /** The machines that a client has named first; those that are listed now are removed lazily. */
  private final Set<MachineHandle> namedByClients = new HashSet<>();

  MachineRegistry(
      EventLoopGroup group,
      SchedulerEventLoop loop,
      InputGate gate,
      SchedulerInputs<String> inputs,
      ActiveRequests requests,
      MachineConnectionListener listener,
      MachineConnectionSettings settings) {
    this.group = group;
    this.loop = loop;
    this.gate = gate;
    this.inputs = inputs;
    this.requests = requests;
    requestLog = requests.log();
    this.listener = listener;
    timeouts = settings.timeouts();
    inputMemory = settings.inputMemory();
    quota = new ConnectionQuota(settings.maxConnections());
  }

  /**
   * Sets the check whether a VM's termination notice is kept; to be called once, before the first
   * machine is added.
   */
  void setNoticeCheck(Predicate<String> noticeUndelivered) {
    isNoticeUndelivered = noticeUndelivered;
  }

  /** The machine with this id; registers it if it is new. */
  MachineHandle findOrAdd(String id) {
    MachineHandle handle = handlesById.get(id);
    if (handle == null) {
      handle = new MachineHandle(id, loop, gate, inputs, requests, requestLog, isNoticeUndelivered);
      MachineClient client =
          new MachineClient(
              group, quota, inputMemory, timeouts.connectTimeout(), handle::payloadToOffer, handle);
      handle.attach(
          client,
          new MachineConnectionPool(
              handle.machine(), timeouts, offers, retained, client, listener));
      handlesById.put(id, handle);
      handlesByMachine.put(handle.machine(), handle);
      pools.add(handle.pool());
    }
    return handle;
  }

  /**
   * The machine with this id, which a client has named; registers it if it is new. Empty if too
   * many machines are known that are not listed.
   */
  Optional<MachineHandle> findOrAddUnlisted(String id) {
    MachineHandle known = handlesById.get(id);
    if (known != null) {
      return Optional.of(known);
    }
    if (namedByClients.size() >= MAX_UNLISTED_MACHINES) {
      namedByClients.removeIf(handle -> handle.machine().isListed);
    }
    if (namedByClients.size() >= MAX_UNLISTED_MACHINES || id.length() > MAX_UNLISTED_ID_CHARS) {
      return Optional.empty();
    }
    MachineHandle added = findOrAdd(id);
    namedByClients.add(added);
    return Optional.of(added);
  }

  /** A copy of the list of all machines. */
  List<MachineHandle> all() {
    return List.copyOf(handlesById.values());
  }

  /** The handle of a machine that is registered. */
  MachineHandle handleOf(Machine machine) {
    return handlesByMachine.get(machine);
  }

  /** The connection pool of a machine that is registered. */
  MachineConnectionPool poolOf(Machine machine) {
    return handleOf(machine).pool();
  }

  /** The connection pool of the attempt's machine. */
  MachineConnectionPool poolOf(PlacementAttempt attempt) {
    return poolOf(attempt.machine);
  }

  /**
   * Changes the limit of connections to all machines; connections above a lower limit stay open.
   */
  void setMaxConnections(int maxConnections) {
    quota.setLimit(maxConnections);
  }

  /** Replaces the timeouts of all machines. */
  void setTimeouts(ConnectionTimeouts newTimeouts) {
    timeouts = newTimeouts;
    for (MachineHandle handle : handlesById.values()) {
      handle.pool().setTimeouts(newTimeouts);
      handle.client().setConnectTimeout(newTimeouts.connectTimeout());
    }
  }

  /**
   * Applies timeouts and rebalances the connections among the machines; to be called periodically.
   */
  void tick() {
    for (MachineHandle handle : all()) {
      handle.tick();
    }
    ConnectionBudget.rebalance(pools, quota.inUseCount(), quota.limit(), offers, loop.now());
  }

  /** Ignores termination notices from now on: the machines keep them for the next scheduler. */
  void stopListening() {
    all().forEach(MachineHandle::stopListening);
  }

  int size() {
    return handlesById.size();
  }

  int openConnectionCount() {
    return quota.openCount();
  }

  /**
   * The number of kept ends of unknown VMs that were displaced by later ones, of all machines since
   * the start.
   */
  long displacedTerminationCount() {
    long count = 0;
    for (MachineConnectionPool pool : pools) {
      count += pool.displacedTerminationCount();
    }
    return count;
  }

  /** Describes the VMs that may run on a machine and that nobody owns, for the log. */
  String describeUnsettled() {
    Map<UnsettledReason, Integer> counts = new EnumMap<>(UnsettledReason.class);
    Duration oldest = Duration.ZERO;
    long displaced = 0;
    for (MachineConnectionPool pool : pools) {
      pool.unsettled().addCountsTo(counts);
      displaced += pool.unsettled().displacedCount();
      Optional<Duration> since = pool.unsettled().oldestSince();
      if (since.isPresent()) {
        oldest = Durations.max(oldest, loop.clock().minus(since.get()));
      }
    }
    return counts + ", oldest " + oldest.toMillis() + " ms, displaced " + displaced;
  }

  /** Whether a VM that nobody owns may run on a machine that is not known to be gone. */
  boolean hasUnsettled() {
    return pools.stream().anyMatch(pool -> pool.unsettled().oldestSince().isPresent());
  }

  /** The number of load reports of all machines since the start. */
  long loadReportCount() {
    long count = 0;
    for (MachineHandle handle : handlesById.values()) {
      count += handle.loadReportCount();
    }
    return count;
  }
}
