package fordridge.settings;

import fordridge.model.PriorityClass;
import fordridge.model.RetrySafety;
import fordridge.model.SchedulerSettings;
import fordridge.model.SchedulerSettings.AcceptanceMode;
import fordridge.model.SchedulerSettings.DiscoveryMode;
import fordridge.model.SchedulerSettings.LoadReportBasis;
import fordridge.model.SchedulerSettings.LoadReportMode;
import fordridge.model.TopologyScope;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;

/** Converts the settings of a deployment to the settings of the scheduling algorithm. */
public final class SchedulerSettingsMapper {
  /** The tenant of all VMs if no tenants are configured. */
  private static final String NO_TENANT = "";

  private SchedulerSettingsMapper() {}

  /**
   * Returns the settings of one scheduler of a deployment.
   *
   * @param position index of the scheduler among all schedulers of the cluster, from 0
   */
  public static SchedulerSettings of(DeploymentSettings deployment, int position) {
    ClusterSettings cluster = deployment.cluster();
    return new SchedulerSettings(
        deployment.totalSchedulers(),
        position,
        deployment.instance().zone(),
        deployment.kinds(),
        deployment.priorityClasses().values().stream()
            .map(SchedulerSettingsMapper::priorityClass)
            .toList(),
        tenants(deployment),
        truncateToMicros(cluster.detectionTimeout()),
        capacity(cluster),
        new SchedulerSettings.Discovery(
            discoveryMode(cluster), truncateToMicros(cluster.maxListAge())),
        new SchedulerSettings.Attempts(
            cluster.maxAttempts(), cluster.sendsRetryAfter(), acceptanceMode(cluster)),
        slowStart(cluster.slowStart()),
        new SchedulerSettings.Monitoring(
            loadReportMode(cluster), cluster.hasHealthChecks(), deployment.gossip().isEnabled()),
        prices(deployment.prices()));
  }

  private static PriorityClass priorityClass(PriorityClassSettings settings) {
    return new PriorityClass(
        settings.name(),
        settings.priority(),
        retrySafety(settings.retrySafety()),
        idempotencyScope(settings.deduplicationScope()),
        truncateToMicros(settings.deduplicationWindow()),
        truncateToMicros(settings.startLatencyObjective()),
        truncateToMicros(settings.startDeadline()),
        settings.requiredKind().isEmpty() ? null : settings.requiredKind(),
        spreadScope(settings.spreadScope()),
        settings.maxPerSpreadScope(),
        settings.fullSpeedUtilization(),
        settings.degradationSpan(),
        settings.startValueSeconds());
  }

  private static RetrySafety retrySafety(PriorityClassSettings.RetrySafety setting) {
    return switch (setting) {
      case IDEMPOTENT -> RetrySafety.IDEMPOTENT;
      case IDEMPOTENT_WITH_KEY -> RetrySafety.IDEMPOTENT_WITH_KEY;
      case NON_IDEMPOTENT -> RetrySafety.NON_IDEMPOTENT;
    };
  }

  private static TopologyScope idempotencyScope(PriorityClassSettings.DeduplicationScope scope) {
    return switch (scope) {
      case CELL -> TopologyScope.CELL;
      case ZONE -> TopologyScope.ZONE;
      case ALL -> TopologyScope.CLUSTER;
    };
  }

  private static TopologyScope spreadScope(PriorityClassSettings.SpreadScope scope) {
    return switch (scope) {
      case OFF -> TopologyScope.NONE;
      case MACHINE -> TopologyScope.MACHINE;
      case CELL -> TopologyScope.CELL;
      case ZONE -> TopologyScope.ZONE;
    };
  }

  private static List<String> tenants(DeploymentSettings deployment) {
    return deployment.tenants().isEmpty()
        ? List.of(NO_TENANT)
        : deployment.tenants().stream().map(TenantShare::name).toList();
  }

  private static SchedulerSettings.CapacitySettings capacity(ClusterSettings cluster) {
    return new SchedulerSettings.CapacitySettings(
        cluster.coreOvercommitRatio(),
        cluster.memoryOvercommitRatio(),
        cluster.isFreeCapacityListed(),
        switch (cluster.freeCapacityBasis()) {
          case USED -> LoadReportBasis.USED;
          case REQUESTED -> LoadReportBasis.REQUESTED;
        },
        cluster.meanVmCores());
  }

  private static DiscoveryMode discoveryMode(ClusterSettings cluster) {
    return cluster.isListPushed() ? DiscoveryMode.PUSH : DiscoveryMode.WATCH;
  }

  private static AcceptanceMode acceptanceMode(ClusterSettings cluster) {
    return cluster.confirmsOnAcceptance() ? AcceptanceMode.ADMITTED : AcceptanceMode.RUNNING;
  }

  private static SchedulerSettings.SlowStartSettings slowStart(SlowStartSettings settings) {
    return new SchedulerSettings.SlowStartSettings(
        truncateToMicros(settings.warmUpTime()),
        truncateToMicros(settings.overloadWindow()),
        settings.initialStartRate(),
        settings.minOffersInWindow());
  }

  private static LoadReportMode loadReportMode(ClusterSettings cluster) {
    return switch (cluster.loadReportChannel()) {
      case RESPONSES_AND_HEALTH_CHECKS -> LoadReportMode.WITH_RESPONSES;
      case HEALTH_CHECKS -> LoadReportMode.WITH_PROBES;
      case NONE -> LoadReportMode.OFF;
    };
  }

  private static SchedulerSettings.Prices prices(PriceSettings prices) {
    return new SchedulerSettings.Prices(prices.machines(), prices.otherZone(), prices.gossip());
  }

  /**
   * Truncates to microseconds, the resolution that the scheduler's other sources of settings use.
   */
  private static Duration truncateToMicros(Duration duration) {
    return duration.truncatedTo(ChronoUnit.MICROS);
  }
}
