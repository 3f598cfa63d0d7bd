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
    for (DeploymentSettings.Kind k : d.kinds) {
      kinds.add(k.name());
      cores.add(k.cores());
      memory.add(k.memory());
    }
    t.put("kinds", kinds);
    t.put("extra.cpuOfKind", cores);
    t.put("extra.memoryByKind", memory);
    Map<String, List<Object>> columns = new LinkedHashMap<>();
    List<Object> lanes = new ArrayList<>();
    for (DeploymentSettings.PriorityClass f : d.priorityClasses.values()) {
      lanes.add(lane(f));
      column(columns, "precedence", (long) f.priority());
      column(columns, "kindByClass", f.kind().isEmpty() ? -1L : (long) kinds.indexOf(f.kind()));
      column(columns, "classSpread", f.spread());
      column(columns, "classMost", (long) f.most());
      column(columns, "calmLevel", f.calm());
      column(columns, "fadeSpan", f.fade());
      column(columns, "startSeconds", f.startWorth());
    }
    columns.forEach((name, values) -> t.put("extra." + name, values));
    t.put("lanes", lanes);
    t.put("extra.admitCores", d.acceptCores);
    t.put("extra.memBooking", d.acceptMemory);
    t.put("extra.saysYes", d.yes);
    t.put("extra.reportCounts", d.reportCounts);
    t.put("extra.freeInList", d.freeInList);
    t.put("extra.settleUs", micros(d.settle));
    t.put("extra.coldBears", d.coldBears);
    t.put("caps.mostTries", (long) d.mostAttempts);
    t.put("caps.retryAfter", d.retryAfter);
    t.put("caps.peerMessages", d.notes);
    t.put("caps.maxRetryAfterUs", micros(d.mostRetryAfter));
    t.put("caps.probes", d.probes);
    t.put("caps.mayCancel", true);
    t.put("caps.secondCopies", false);
    t.put("caps.maxOpen", (long) d.maxOpen);
    t.put(
        "loadReport.via",
        switch (d.reports) {
          case "answers" -> "inline";
          case "probes" -> "on_probe";
          default -> "off";
        });
    t.put("obligations.drainGraceUs", micros(d.drainGrace));
    t.put("obligations.coldFrom", d.coldFrom);
    t.put("obligations.warmAfterUs", micros(d.warmAfter));
    t.put("obligations.fallMultiple", d.fallMultiple);
    t.put("obligations.overloadForUs", micros(d.fallOver));
    t.put("obligations.askWithinUs", micros(d.askWithin));
    t.put("discovery", d.listComes);
    t.put("extra.meanCores", d.meanCores);
    t.put("nInstances", (long) d.allPlacers());
    t.put("position", (long) position);
    t.put("zone", d.zone);
    t.put("prices.fleet", d.prices.get("machines"));
    t.put("prices.crossZone", d.prices.get("other_zone"));
    t.put("prices.moves", d.prices.get("moves"));
    t.put("prices.waste", d.prices.get("waste"));
    t.put("prices.probe", d.prices.get("probe"));
    t.put("prices.peer", d.prices.get("note"));
    t.put("goal.whole", d.goal.get("whole"));
    t.put("goal.worstWindow", d.goal.get("worst_window"));
    t.put("goal.worstClass", d.goal.get("worst_flavour"));
    t.put("goal.worstTenant", d.goal.get("worst_customer"));
    List<Object> tenants = new ArrayList<>();
    d.tenants.forEach(c -> tenants.add(Map.of("name", c.name(), "share", c.share())));
    t.put("tenants", tenants);
    return SchedulerSettingsReader.read(SettingsValues.ofNested(t));
  }

  private static void column(Map<String, List<Object>> columns, String name, Object value) {
    columns.computeIfAbsent(name, n -> new ArrayList<>()).add(value);
  }

  private static Map<String, Object> lane(DeploymentSettings.PriorityClass f) {
    Map<String, Object> lane = new LinkedHashMap<>();
    lane.put("name", f.name());
    lane.put(
        "semantics",
        switch (f.effect()) {
          case "rebuildable" -> "retryable";
          case "tokened" -> "dedup";
          default -> "fragile";
        });
    lane.put("dedupScope", f.group());
    lane.put("windowUs", micros(f.window()));
    lane.put("promiseUs", micros(f.buildTarget()));
    lane.put("giveUpUs", micros(f.buildTimeout()));
    lane.put("worth", f.revenue());
    return lane;
  }
}
