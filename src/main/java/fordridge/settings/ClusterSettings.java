package fordridge.settings;

import static fordridge.settings.Limits.MAX_DURATION;
import static fordridge.settings.Limits.MIN_DURATION;

import java.time.Duration;

/**
 * The behavior of the cluster that the scheduler relies on (block {@code cluster}).
 *
 * @param coreOvercommitRatio VMs on a machine may request up to this multiple of its cores in total
 * @param memoryOvercommitRatio VMs on a machine may request up to this multiple of its memory in
 *     total
 * @param acceptancePoint when a machine confirms an attempt
 * @param loadReportChannel which messages of a machine carry its load reports
 * @param freeCapacityBasis what machines subtract from their capacity to compute the free capacity
 *     that a load report states
 * @param isFreeCapacityListed whether entries of the machine list state unreserved cores and memory
 * @param maxAttempts maximum number of placement attempts for each request
 * @param hasHealthChecks whether machines answer health checks
 * @param detectionTimeout retry-after sent for a request whose VM must not run twice and may
 *     already be running
 * @param drainGracePeriod maximum time after a drain notification within which offers may still
 *     reach the draining machine
 * @param slowStart start rate of machines that have just started
 * @param maxRetryAfter longest retry-after that clients honor
 * @param sendsRetryAfter whether rejections carry a retry-after
 * @param listDelivery whether the machine list is pushed or polled
 * @param maxListAge no VM is placed while the latest machine list is older than this
 * @param meanVmCores mean number of cores requested by a VM
 */
public record ClusterSettings(
    double coreOvercommitRatio,
    double memoryOvercommitRatio,
    AcceptancePoint acceptancePoint,
    LoadReportChannel loadReportChannel,
    FreeCapacityBasis freeCapacityBasis,
    boolean isFreeCapacityListed,
    int maxAttempts,
    boolean hasHealthChecks,
    Duration detectionTimeout,
    Duration drainGracePeriod,
    SlowStartSettings slowStart,
    Duration maxRetryAfter,
    boolean sendsRetryAfter,
    ListDelivery listDelivery,
    Duration maxListAge,
    double meanVmCores) {
  private static final double MIN_OVERCOMMIT_RATIO = 0.1;
  private static final double MAX_OVERCOMMIT_RATIO = 100;

  /** When a machine accepts an attempt: once the VM is running, or already on admission. */
  public enum AcceptancePoint implements ConfigWord {
    VM_RUNNING("running"),
    VM_ACCEPTED("accepted");

    private final String configWord;

    AcceptancePoint(String configWord) {
      this.configWord = configWord;
    }

    @Override
    public String configWord() {
      return configWord;
    }
  }

  /** Which messages of a machine carry its load reports. */
  public enum LoadReportChannel implements ConfigWord {
    RESPONSES_AND_HEALTH_CHECKS("answers"),
    HEALTH_CHECKS("probes"),
    NONE("none");

    private final String configWord;

    LoadReportChannel(String configWord) {
      this.configWord = configWord;
    }

    @Override
    public String configWord() {
      return configWord;
    }
  }

  /** What machines subtract from their capacity to compute the free capacity they report. */
  public enum FreeCapacityBasis implements ConfigWord {
    USED("used"),
    REQUESTED("asked");

    private final String configWord;

    FreeCapacityBasis(String configWord) {
      this.configWord = configWord;
    }

    @Override
    public String configWord() {
      return configWord;
    }
  }

  /** How the scheduler obtains new versions of the machine list. */
  public enum ListDelivery implements ConfigWord {
    PUSH("push"),
    POLL("ask");

    private final String configWord;

    ListDelivery(String configWord) {
      this.configWord = configWord;
    }

    @Override
    public String configWord() {
      return configWord;
    }
  }

  static ClusterSettings read(ConfigReader reader) {
    return new ClusterSettings(
        reader.decimal("cluster.accept.cores", MIN_OVERCOMMIT_RATIO, MAX_OVERCOMMIT_RATIO),
        reader.decimal("cluster.accept.memory", MIN_OVERCOMMIT_RATIO, MAX_OVERCOMMIT_RATIO),
        reader.enumConstant("cluster.yes", AcceptancePoint.values()),
        reader.enumConstant("cluster.reports", LoadReportChannel.values()),
        reader.enumConstant("cluster.report_counts", FreeCapacityBasis.values()),
        reader.bool("cluster.free_in_list"),
        reader.integer("cluster.most_claims", 1, 100),
        reader.bool("cluster.probes"),
        reader.duration("cluster.settle", Duration.ofMillis(100), MAX_DURATION),
        reader.duration("cluster.drain_grace", MIN_DURATION, MAX_DURATION),
        SlowStartSettings.read(reader),
        reader.duration("cluster.most_retry_after", Duration.ZERO, MAX_DURATION),
        reader.bool("cluster.retry_after"),
        reader.enumConstant("cluster.list_comes", ListDelivery.values()),
        reader.duration("cluster.ask_within", Duration.ofMillis(100), MAX_DURATION),
        reader.decimal("cluster.mean_cores", 0.001, 1e6));
  }

  /** Whether machines accept an attempt on admission, before the VM is running. */
  public boolean confirmsOnAcceptance() {
    return acceptancePoint == AcceptancePoint.VM_ACCEPTED;
  }

  /** Whether changes to the machine list are pushed to the scheduler instead of polled. */
  public boolean isListPushed() {
    return listDelivery == ListDelivery.PUSH;
  }

  void check(ConfigReader reader) {
    if (detectionTimeout.compareTo(drainGracePeriod) < 0) {
      reader.reject(
          "cluster.settle", detectionTimeout.toMillis() + "ms", "at least cluster.drain_grace");
    }
    if (maxListAge.compareTo(detectionTimeout) < 0 && !isListPushed()) {
      reader.reject("cluster.ask_within", maxListAge.toMillis() + "ms", "at least cluster.settle");
    }
  }
}
