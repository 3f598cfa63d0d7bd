package fordridge.server.json;

import fordridge.eventloop.InputGate;
import fordridge.json.ConnectionQuota;
import fordridge.json.MachineClient;
import fordridge.machine.ConnectionBudget;
import fordridge.machine.ConnectionTimeouts;
import fordridge.machine.MachineConnectionListener;
import fordridge.machine.MachineConnectionPool;
import fordridge.machine.OfferAllowance;
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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * All machines that the list or a client has named, with their connections, and the quota that
 * these share. Confined to the event loop.
 */
final class MachineRegistry {
  private final EventLoopGroup group;
  private final SchedulerEventLoop loop;
  private final InputGate gate;
  private final SchedulerInputs<String> inputs;
  private final ActiveRequests requests;
  private final RequestLog requestLog;
  private final MachineConnectionListener listener;
  private final ConnectionQuota quota;
  private final OfferAllowance offers = new OfferAllowance();
  private Predicate<String> isNoticeUndelivered = vmId -> false;
  private ConnectionTimeouts timeouts;
  private final Map<String, MachineHandle> handlesById = new HashMap<>();
  private final Map<Machine, MachineHandle> handlesByMachine = new HashMap<>();
  private final List<MachineConnectionPool> pools = new ArrayList<>();

  MachineRegistry(
      EventLoopGroup group,
      SchedulerEventLoop loop,
      InputGate gate,
      SchedulerInputs<String> inputs,
      ActiveRequests requests,
      MachineConnectionListener listener,
      ConnectionTimeouts timeouts,
      int maxConnections) {
    this.group = group;
    this.loop = loop;
    this.gate = gate;
    this.inputs = inputs;
    this.requests = requests;
    requestLog = requests.log();
    this.listener = listener;
    this.timeouts = timeouts;
    quota = new ConnectionQuota(maxConnections);
  }

  /** How it is told whether the notice of a VM's end is kept; to be called once, at first. */
  void attach(Predicate<String> noticeUndelivered) {
    isNoticeUndelivered = noticeUndelivered;
  }

  /** The machine of this id, registered if it is new. */
  MachineHandle findOrAdd(String id) {
    MachineHandle handle = handlesById.get(id);
    if (handle == null) {
      handle = new MachineHandle(id, loop, gate, inputs, requests, requestLog, isNoticeUndelivered);
      MachineClient client =
          new MachineClient(
              group, quota, timeouts.connectTimeout(), handle::payloadToOffer, handle);
      handle.attach(
          client, new MachineConnectionPool(handle.machine(), timeouts, offers, client, listener));
      handlesById.put(id, handle);
      handlesByMachine.put(handle.machine(), handle);
      pools.add(handle.pool());
    }
    return handle;
  }

  /** A copy of the list of all machines. */
  List<MachineHandle> all() {
    return List.copyOf(handlesById.values());
  }

  /** A machine that is registered. */
  MachineHandle handleOf(Machine machine) {
    return handlesByMachine.get(machine);
  }

  /** The connections to a machine that is registered. */
  MachineConnectionPool poolOf(Machine machine) {
    return handleOf(machine).pool();
  }

  /** The connections to the machine of an attempt. */
  MachineConnectionPool poolOf(PlacementAttempt attempt) {
    return poolOf(attempt.machine);
  }

  /** Changes the number of connections over all machines; those above it stay open. */
  void setMaxConnections(int maxConnections) {
    quota.setLimit(maxConnections);
  }

  /** Other timeouts hold from now on. */
  void setTimeouts(ConnectionTimeouts newTimeouts) {
    timeouts = newTimeouts;
    for (MachineHandle handle : handlesById.values()) {
      handle.pool().setTimeouts(newTimeouts);
      handle.client().setConnectTimeout(newTimeouts.connectTimeout());
    }
  }

  /** Lets timeouts take effect and shares out the connections; to be called periodically. */
  void tick() {
    for (MachineHandle handle : all()) {
      handle.tick();
    }
    ConnectionBudget.rebalance(pools, quota.inUseCount(), quota.limit(), offers, loop.now());
  }

  /** Takes in no more termination notices: the machines keep them for the next scheduler. */
  void stopListening() {
    all().forEach(MachineHandle::stopListening);
  }

  int size() {
    return handlesById.size();
  }

  int openConnectionCount() {
    return quota.openCount();
  }

  /** Ends of VMs unknown here that gave way to later ones, of all machines since the start. */
  long displacedEndCount() {
    long count = 0;
    for (MachineConnectionPool pool : pools) {
      count += pool.displacedEndCount();
    }
    return count;
  }

  /** VMs that may run at a machine and that nobody owns, for the log. */
  String describeUnsettled() {
    Map<UnsettledReason, Integer> counts = new EnumMap<>(UnsettledReason.class);
    Duration oldest = Duration.ZERO;
    long displaced = 0;
    for (MachineConnectionPool pool : pools) {
      pool.unsettled().countInto(counts);
      displaced += pool.unsettled().displacedCount();
      Optional<Duration> since = pool.unsettled().oldestSince();
      if (since.isPresent()) {
        oldest = Durations.max(oldest, loop.clock().minus(since.get()));
      }
    }
    return counts + ", oldest " + oldest.toMillis() + " ms, displaced " + displaced;
  }

  /** Whether a VM may run at a machine that is not known to be gone, and that nobody owns. */
  boolean hasUnsettled() {
    return pools.stream().anyMatch(pool -> pool.unsettled().oldestSince().isPresent());
  }

  /** Load reports of all machines since the start. */
  long loadReportCount() {
    long count = 0;
    for (MachineHandle handle : handlesById.values()) {
      count += handle.loadReportCount();
    }
    return count;
  }
}
