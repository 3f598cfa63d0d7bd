package fordridge.scheduling;

import fordridge.model.MachineKind;
import fordridge.model.PriorityClass;
import fordridge.model.RetrySafety;
import fordridge.model.SchedulerSettings;
import fordridge.model.SchedulerSettings.AcceptanceMode;
import fordridge.model.SchedulerSettings.DiscoveryMode;
import fordridge.model.SchedulerSettings.LoadReportBasis;
import fordridge.model.SchedulerSettings.LoadReportMode;
import fordridge.model.SettingsValues;
import fordridge.model.TopologyScope;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads {@link SchedulerSettings} from settings as they were received.
 *
 * <p>It knows only the names and values of the wire format; a default that affects placement
 * decisions is a constant of the class that uses it.
 */
public final class SchedulerSettingsReader {
  private static final int NO_KIND = -1;

  private final SettingsValues values;

  private SchedulerSettingsReader(SettingsValues values) {
    this.values = values;
  }

  /** Reads the settings; those that the values do not contain get their defaults. */
  public static SchedulerSettings read(SettingsValues values) {
    return new SchedulerSettingsReader(values).settings();
  }

  private SchedulerSettings settings() {
    return new SchedulerSettings(
        values.number("nInstances", 1),
        (long) values.number("position", 0),
        values.text("zone", ""),
        machineKinds(),
        priorityClasses(),
        tenants(),
        values.micros("extra.settleUs", Scheduler.DEFAULT_DETECTION_TIMEOUT),
        capacity(),
        discovery(),
        attempts(),
        slowStart(),
        monitoring(),
        prices());
  }

  private List<MachineKind> machineKinds() {
    List<?> names = values.list("kinds");
    List<MachineKind> kinds = new ArrayList<>(names.size());
    for (int i = 0; i < names.size(); i++) {
      kinds.add(
          new MachineKind(
              String.valueOf(names.get(i)),
              values.numberAt("extra.cpuOfKind", i, 0),
              values.numberAt("extra.memoryByKind", i, 0)));
    }
    return kinds;
  }

  private List<PriorityClass> priorityClasses() {
    int count = (int) values.number("lanes", 0);
    List<PriorityClass> classes = new ArrayList<>(Math.max(0, count));
    for (int i = 0; i < count; i++) {
      classes.add(priorityClass(i, "lanes." + i + "."));
    }
    return classes;
  }

  private PriorityClass priorityClass(int index, String prefix) {
    return new PriorityClass(
        values.text(prefix + "name", ""),
        (int) values.numberAt("extra.precedence", index, 0),
        retrySafety(values.text(prefix + "semantics", "fragile")),
        topologyScope(values.text(prefix + "dedupScope", "cell")),
        values.micros(prefix + "windowUs", Duration.ZERO),
        values.micros(prefix + "promiseUs", RetryPolicy.DEFAULT_START_OBJECTIVE),
        values.micros(prefix + "giveUpUs", RetryPolicy.DEFAULT_START_DEADLINE),
        requiredKind((int) values.numberAt("extra.kindByClass", index, NO_KIND)),
        spreadScope(index),
        (int) values.numberAt("extra.classMost", index, Integer.MAX_VALUE),
        values.numberAt("extra.calmLevel", index, 1),
        values.numberAt("extra.fadeSpan", index, 0),
        values.numberAt("extra.startSeconds", index, 0));
  }

  private static RetrySafety retrySafety(String value) {
    return switch (value) {
      case "retryable" -> RetrySafety.IDEMPOTENT;
      case "dedup" -> RetrySafety.IDEMPOTENT_WITH_KEY;
      default -> RetrySafety.NON_IDEMPOTENT;
    };
  }

  private static TopologyScope topologyScope(String value) {
    return switch (value) {
      case "machine" -> TopologyScope.MACHINE;
      case "zone" -> TopologyScope.ZONE;
      case "all" -> TopologyScope.CLUSTER;
      default -> TopologyScope.CELL;
    };
  }

  private String requiredKind(int index) {
    return index < 0 ? null : String.valueOf(values.list("kinds").get(index));
  }

  private TopologyScope spreadScope(int index) {
    List<?> names = values.list("extra.classSpread");
    boolean isLimited = index < names.size() && !names.get(index).equals("off");
    return isLimited ? topologyScope(String.valueOf(names.get(index))) : TopologyScope.NONE;
  }

  private List<String> tenants() {
    int count = (int) Math.ceil(Math.max(1, values.number("tenants", 0)));
    List<String> tenants = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      tenants.add(values.text("tenants." + i + ".name", ""));
    }
    return tenants;
  }

  private SchedulerSettings.CapacitySettings capacity() {
    return new SchedulerSettings.CapacitySettings(
        values.number("extra.admitCores", 1),
        values.number("extra.memBooking", 1),
        values.flag("extra.freeInList", false),
        values.text("extra.reportCounts", "used").equals("asked")
            ? LoadReportBasis.REQUESTED
            : LoadReportBasis.USED,
        values.number("extra.meanCores", 1));
  }

  private SchedulerSettings.Discovery discovery() {
    boolean isWatched = values.text("discovery", "push").equals("ask");
    return new SchedulerSettings.Discovery(
        isWatched ? DiscoveryMode.WATCH : DiscoveryMode.PUSH,
        values.micros("obligations.askWithinUs", Scheduler.DEFAULT_POLL_INTERVAL));
  }

  private SchedulerSettings.Attempts attempts() {
    boolean acceptsOnStart = values.text("extra.saysYes", "running").equals("running");
    return new SchedulerSettings.Attempts(
        (int) Math.ceil(values.number("caps.mostTries", RetryPolicy.DEFAULT_MAX_ATTEMPTS)),
        values.flag("caps.retryAfter", false),
        acceptsOnStart ? AcceptanceMode.RUNNING : AcceptanceMode.ADMITTED);
  }

  private SchedulerSettings.SlowStartSettings slowStart() {
    return new SchedulerSettings.SlowStartSettings(
        values.micros("obligations.warmAfterUs", SlowStart.DEFAULT_WARM_UP_TIME),
        values.micros("obligations.overloadForUs", SlowStart.DEFAULT_OVERLOAD_SPAN),
        values.number("obligations.coldFrom", SlowStart.DEFAULT_INITIAL_SHARE),
        values.number("extra.coldBears", 1));
  }

  private SchedulerSettings.Monitoring monitoring() {
    return new SchedulerSettings.Monitoring(
        switch (values.text("loadReport.via", "off")) {
          case "off" -> LoadReportMode.OFF;
          case "on_probe" -> LoadReportMode.WITH_PROBES;
          default -> LoadReportMode.WITH_RESPONSES;
        },
        values.flag("caps.probes", false),
        values.flag("caps.peerMessages", false));
  }

  private SchedulerSettings.Prices prices() {
    return new SchedulerSettings.Prices(
        values.number("prices.fleet", 0),
        values.number("prices.crossZone", 0),
        values.number("prices.peer", 0));
  }
}
