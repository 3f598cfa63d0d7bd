package fordridge.settings;

import static fordridge.settings.Limits.MAX_DURATION;
import static fordridge.settings.Limits.MIN_DURATION;

import java.time.Duration;

/**
 * What the scheduler is configured to know of the cluster (block {@code cluster}).
 *
 * @param coreOvercommitRatio machines accept VMs up to this multiple of their cores
 * @param memoryOvercommitRatio machines accept VMs up to this multiple of their memory
 * @param acceptancePoint when a machine confirms an attempt
 * @param loadReportChannel how load reports come
 * @param freeCapacityBasis what the free capacity in a load report leaves out
 * @param isFreeCapacityListed whether the machine list names unreserved cores and memory
 * @param maxAttempts placement attempts for each request
 * @param hasHealthChecks whether machines answer health checks
 * @param unknownOutcomeRetryAfter retry-after of a request whose VM may be running and must not run
 *     twice
 * @param drainGracePeriod nothing new reaches a machine later than this after a drain is notified
 * @param slowStart how machines warm up
 * @param maxRetryAfter longest retry-after that clients follow
 * @param sendsRetryAfter whether rejections carry a retry-after
 * @param listDelivery how the machine list comes
 * @param maxListAge without a newer list for this long, nothing new is placed
 * @param meanVmCores mean of the cores that a VM requests
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
    Duration unknownOutcomeRetryAfter,
    Duration drainGracePeriod,
    SlowStartSettings slowStart,
    Duration maxRetryAfter,
    boolean sendsRetryAfter,
    ListDelivery listDelivery,
    Duration maxListAge,
    double meanVmCores) {
  private static final double MIN_OVERCOMMIT_RATIO = 0.1;
  private static final double MAX_OVERCOMMIT_RATIO = 100;

  /** When a machine confirms an attempt. */
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

  /** How load reports come. */
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

  /** What the free capacity in a load report leaves out. */
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

  /** How the machine list comes. */
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
        reader.constant("cluster.yes", AcceptancePoint.values()),
        reader.constant("cluster.reports", LoadReportChannel.values()),
        reader.constant("cluster.report_counts", FreeCapacityBasis.values()),
        reader.bool("cluster.free_in_list"),
        reader.integer("cluster.most_claims", 1, 100),
        reader.bool("cluster.probes"),
        reader.duration("cluster.settle", Duration.ofMillis(100), MAX_DURATION),
        reader.duration("cluster.drain_grace", MIN_DURATION, MAX_DURATION),
        SlowStartSettings.read(reader),
        reader.duration("cluster.most_retry_after", Duration.ZERO, MAX_DURATION),
        reader.bool("cluster.retry_after"),
        reader.constant("cluster.list_comes", ListDelivery.values()),
        reader.duration("cluster.ask_within", Duration.ofMillis(100), MAX_DURATION),
        reader.decimal("cluster.mean_cores", 0.001, 1e6));
  }

  /** Whether machines confirm an attempt when it is accepted, before the VM runs. */
  public boolean confirmsOnAcceptance() {
    return acceptancePoint == AcceptancePoint.VM_ACCEPTED;
  }

  /** Whether changes of the machine list are pushed, not polled for. */
  public boolean isListPushed() {
    return listDelivery == ListDelivery.PUSH;
  }

  void check(ConfigReader reader) {
    if (unknownOutcomeRetryAfter.compareTo(drainGracePeriod) < 0) {
      reader.reject(
          "cluster.settle",
          unknownOutcomeRetryAfter.toMillis() + "ms",
          "at least cluster.drain_grace");
    }
    if (maxListAge.compareTo(unknownOutcomeRetryAfter) < 0 && !isListPushed()) {
      reader.reject("cluster.ask_within", maxListAge.toMillis() + "ms", "at least cluster.settle");
    }
  }
}
