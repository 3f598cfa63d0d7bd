package fordridge.scheduling;

import static fordridge.model.Durations.ofSeconds;
import static fordridge.model.Durations.scale;

import fordridge.model.GossipCodec;
import fordridge.model.Machine;
import fordridge.model.SchedulerState;
import java.time.Duration;

/** Decides which machines are probed, and what other schedulers are told about machines. */
record HealthChecker(SchedulerState state, SchedulerActions actions) {
  /** What gossip of load reports may cost, as a share of what all VMs are worth. */
  private static final double GOSSIP_COST_SHARE = 0.005;

  /** What a gossip message counts as at each receiver, by its price of 256 bytes. */
  private static final int MESSAGE_BYTES = 16;

  /** How often reports are gossiped, by cost; a VM is taken to run four detection timeouts. */
  void refreshGossipInterval(int machines) {
    double timeout = state.timeoutSeconds();
    var settings = state.settings;
    double vms = state.usage.requestedCores / settings.capacity().meanVmCores();
    double starts = vms / (4 * timeout);
    double receivers = state.schedulerCount - 1;
    double cost = receivers * MESSAGE_BYTES / 256 * settings.prices().gossipMessage();
    double affordable = machines * cost / GOSSIP_COST_SHARE / Math.max(1, starts);
    double interval = Math.max(timeout / 6, affordable);
    boolean isAllowed = state.schedulerCount >= 2 && settings.monitoring().gossipAllowed();
    boolean isOff = !isAllowed || interval > timeout;
    state.gossipInterval = isOff ? null : ofSeconds(interval);
  }

  /** Gossips a report that is new and complete, unless one was gossiped lately. */
  void loadReported(Machine machine) {
    if (state.gossipInterval != null
        && machine != null
        && state.now.equals(machine.reportedAt)
        && Double.isFinite(machine.spareCores + machine.spareMemory)
        && !machine.wasGossipedWithin(state.gossipInterval, state.now)) {
      machine.gossipedAt = state.now;
      gossip(GossipCodec.loadReported(machine));
    }
  }

  /** Tells the other schedulers, if gossip is worth its price at all. */
  void gossip(String message) {
    if (state.gossipInterval != null) {
      actions.gossip(message);
    }
  }

  /** Probes the stalest machine, one a request at most; looked for seldom, as that is costly. */
  void probeStalest() {
    Duration stale = state.detectionTimeouts(1.0 / 2);
    state.nextProbeAt = state.now.plus(scale(stale, 1.0 / 8));
    if (!state.settings.monitoring().probesReportLoad()) {
      return;
    }
    // From a random machine on: else all schedulers probe the first of the list, others never.
    int from = (int) (state.random.next() * state.machines.size());
    Machine stalest = state.findOldestReport(from, stale, machine -> mayProbe(machine, stale));
    if (stalest != null && state.probeCount < state.requestCount) {
      state.probeCount++;
      stalest.isProbing = true;
      stalest.probedAt = state.now;
      actions.probe(stalest);
      state.nextProbeAt = state.now.plusNanos(1);
    }
  }

  private boolean mayProbe(Machine machine, Duration stale) {
    boolean isDue = state.since(machine.probedAt).compareTo(stale) > 0;
    return isDue && machine.lifecycle == Machine.Lifecycle.LIVE && !machine.isProbing;
  }
}
