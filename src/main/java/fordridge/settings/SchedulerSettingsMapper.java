package fordridge.settings;

import fordridge.model.SchedulerSettings;
import fordridge.model.SettingsValues;
import fordridge.scheduling.SchedulerSettingsReader;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The one place where a deployment in our words becomes the plain map of terms that the module
 * reads.
 */
public final class SchedulerSettingsMapper {
  private SchedulerSettingsMapper() {}

  private static long micros(Duration d) {
    return d.toNanos() / 1000;
  }

  public static SchedulerSettings of(DeploymentSettings d, int position) {
    Map<String, Object> t = new LinkedHashMap<>();
    List<Object> kinds = new ArrayList<>();
    List<Object> cores = new ArrayList<>();
    List<Object> memory = new ArrayList<>();
    for (MachineKind k : d.kinds()) {
      kinds.add(k.name());
      cores.add(k.cores());
      memory.add(k.memory());
    }
    t.put("kinds", kinds);
    t.put("extra.cpuOfKind", cores);
    t.put("extra.memoryByKind", memory);
    Map<String, List<Object>> columns = new LinkedHashMap<>();
    List<Object> lanes = new ArrayList<>();
    for (PriorityClassSettings f : d.priorityClasses().values()) {
      lanes.add(lane(f));
      column(columns, "precedence", (long) f.priority());
      column(
          columns,
          "kindByClass",
          f.requiredKind().isEmpty() ? -1L : (long) kinds.indexOf(f.requiredKind()));
      column(columns, "classSpread", f.spreadScope().configWord());
      column(columns, "classMost", (long) f.maxPerSpreadScope());
      column(columns, "calmLevel", f.fullSpeedUtilization());
      column(columns, "fadeSpan", f.degradationSpan());
      column(columns, "startSeconds", f.startValueSeconds());
    }
    columns.forEach((name, values) -> t.put("extra." + name, values));
    t.put("lanes", lanes);
    t.put("extra.admitCores", d.cluster().coreOvercommitRatio());
    t.put("extra.memBooking", d.cluster().memoryOvercommitRatio());
    t.put("extra.saysYes", d.cluster().acceptancePoint().configWord());
    t.put("extra.reportCounts", d.cluster().freeCapacityBasis().configWord());
    t.put("extra.freeInList", d.cluster().isFreeCapacityListed());
    t.put("extra.settleUs", micros(d.cluster().unknownOutcomeRetryAfter()));
    t.put("extra.coldBears", d.cluster().slowStart().minOffersInWindow());
    t.put("caps.mostTries", (long) d.cluster().maxAttempts());
    t.put("caps.retryAfter", d.cluster().sendsRetryAfter());
    t.put("caps.peerMessages", d.gossip().isEnabled());
    t.put("caps.maxRetryAfterUs", micros(d.cluster().maxRetryAfter()));
    t.put("caps.probes", d.cluster().hasHealthChecks());
    t.put("caps.mayCancel", true);
    t.put("caps.secondCopies", false);
    t.put("caps.maxOpen", (long) d.instance().maxOpenRequests());
    t.put(
        "loadReport.via",
        switch (d.cluster().loadReportChannel()) {
          case RESPONSES_AND_HEALTH_CHECKS -> "inline";
          case HEALTH_CHECKS -> "on_probe";
          case NONE -> "off";
        });
    t.put("obligations.drainGraceUs", micros(d.cluster().drainGracePeriod()));
    t.put("obligations.coldFrom", d.cluster().slowStart().initialStartRate());
    t.put("obligations.warmAfterUs", micros(d.cluster().slowStart().warmUpTime()));
    t.put("obligations.fallMultiple", d.cluster().slowStart().overloadMultiple());
    t.put("obligations.overloadForUs", micros(d.cluster().slowStart().overloadWindow()));
    t.put("obligations.askWithinUs", micros(d.cluster().maxListAge()));
    t.put("discovery", d.cluster().listDelivery().configWord());
    t.put("extra.meanCores", d.cluster().meanVmCores());
    t.put("nInstances", (long) d.totalSchedulers());
    t.put("position", (long) position);
    t.put("zone", d.instance().zone());
    t.put("prices.fleet", d.prices().machines());
    t.put("prices.crossZone", d.prices().otherZone());
    t.put("prices.moves", d.prices().migrations());
    t.put("prices.waste", d.prices().waste());
    t.put("prices.probe", d.prices().healthCheck());
    t.put("prices.peer", d.prices().gossip());
    t.put("goal.whole", d.goal().overall());
    t.put("goal.worstWindow", d.goal().worstWindow());
    t.put("goal.worstClass", d.goal().worstPriorityClass());
    t.put("goal.worstTenant", d.goal().worstTenant());
    List<Object> tenants = new ArrayList<>();
    d.tenants().forEach(c -> tenants.add(Map.of("name", c.name(), "share", c.share())));
    t.put("tenants", tenants);
    return SchedulerSettingsReader.read(SettingsValues.ofNested(t));
  }

  private static void column(Map<String, List<Object>> columns, String name, Object value) {
    columns.computeIfAbsent(name, n -> new ArrayList<>()).add(value);
  }

  private static Map<String, Object> lane(PriorityClassSettings f) {
    Map<String, Object> lane = new LinkedHashMap<>();
    lane.put("name", f.name());
    lane.put(
        "semantics",
        switch (f.retrySafety()) {
          case IDEMPOTENT -> "retryable";
          case IDEMPOTENT_WITH_KEY -> "dedup";
          case NON_IDEMPOTENT -> "fragile";
        });
    lane.put("dedupScope", f.deduplicationScope().configWord());
    lane.put("windowUs", micros(f.deduplicationWindow()));
    lane.put("promiseUs", micros(f.startLatencyObjective()));
    lane.put("giveUpUs", micros(f.startDeadline()));
    lane.put("worth", f.priorityWeight());
    return lane;
  }
}
