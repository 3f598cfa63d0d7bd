package fordridge.scheduling;

import static fordridge.model.Durations.ofSeconds;
import static fordridge.model.Durations.scale;

import fordridge.model.GossipCodec;
import fordridge.model.Machine;
import fordridge.model.SchedulerState;
import java.time.Duration;

/**
 * Decides which machines are probed, and what is gossiped about machines to the other schedulers.
 */
record HealthChecker(SchedulerState state, SchedulerActions actions) {
  /** Highest cost of gossiping load reports, as a share of the value of all VM starts. */
  private static final double MAX_GOSSIP_COST_SHARE = 0.005;

  /** Bytes charged for a gossip message at each receiver; the price is per 256 bytes. */
  private static final int MESSAGE_BYTES = 16;

  /**
   * Sets how often a machine's load report may be gossiped, so that the cost stays within its
   * limit. The rate of starts is estimated by assuming that a VM runs for four detection timeouts.
   */
  void refreshGossipInterval(int machines) {
    double timeout = state.detectionTimeoutSeconds();
    var settings = state.settings;
    double vms = state.usage.requestedCores / settings.capacity().meanVmCores();
    double startsPerSecond = vms / (4 * timeout);
    double receivers = state.schedulerCount - 1;
    double costPerReport = receivers * MESSAGE_BYTES / 256 * settings.prices().gossipMessage();
    double affordableInterval =
        machines * costPerReport / MAX_GOSSIP_COST_SHARE / Math.max(1, startsPerSecond);
    double interval = Math.max(timeout / 6, affordableInterval);
    boolean isAllowed = state.schedulerCount >= 2 && settings.monitoring().gossipAllowed();
    boolean isOff = !isAllowed || interval > timeout;
    state.gossipInterval = isOff ? null : ofSeconds(interval);
  }

  /**
   * Gossips a machine's load report if it is new and complete, and none was gossiped within the
   * gossip interval.
   */
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

  /**
   * Sends a message to the other schedulers, unless gossip is off because of its price or by the
   * settings.
   */
  void gossip(String message) {
    if (state.gossipInterval != null) {
      actions.gossip(message);
    }
  }

  /**
   * Probes the machine with the oldest load report, if that report is stale. At most one probe is
   * sent per VM request. The search goes through all machines, so it is repeated only after some
   * time.
   */
  void probeStalestMachine() {
    Duration staleAge = state.detectionTimeouts(1.0 / 2);
    state.nextProbeAt = state.now.plus(scale(staleAge, 1.0 / 8));
    if (!state.settings.monitoring().probesReportLoad()) {
      return;
    }
    // Starts at a random machine: otherwise all schedulers would probe the first machines of the
    // list and never the others.
    int startIndex = (int) (state.random.nextDouble() * state.machines.size());
    Machine stalest =
        state.findOldestReport(startIndex, staleAge, machine -> mayProbe(machine, staleAge));
    if (stalest != null && state.probeCount < state.requestCount) {
      state.probeCount++;
      stalest.isProbing = true;
      stalest.probedAt = state.now;
      actions.probe(stalest);
      state.nextProbeAt = state.now.plusNanos(1);
    }
  }

  private boolean mayProbe(Machine machine, Duration staleAge) {
    boolean isDue = state.since(machine.probedAt).compareTo(staleAge) > 0;
    return isDue && machine.lifecycle == Machine.Lifecycle.LIVE && !machine.isProbing;
  }
}
