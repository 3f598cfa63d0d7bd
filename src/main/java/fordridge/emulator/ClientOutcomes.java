package fordridge.emulator;

import fordridge.v1.Ended;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counts the outcomes of the clients' placement requests: in total, by priority class and by
 * tenant. A VM counts as requested once, however often its client retries it. Thread-safe.
 */
final class ClientOutcomes {
  private static final long MAX_LATENCY_US = 3_600_000_000L;
  private static final int LATENCY_DIGITS = 3;

  private enum Grouping {
    ALL("all"),
    PRIORITY_CLASS("priority class "),
    TENANT("tenant ");

    private final String label;

    Grouping(String label) {
      this.label = label;
    }
  }

  private record Group(Grouping grouping, String name) implements Comparable<Group> {
    private static final Group ALL = new Group(Grouping.ALL, "");
    private static final Comparator<Group> ORDER =
        Comparator.comparing(Group::grouping).thenComparing(Group::name);

    @Override
    public int compareTo(Group other) {
      return ORDER.compare(this, other);
    }

    String label() {
      return grouping.label + name;
    }
  }

  private static final class Counts {
    long requested;
    long running;
    long inTime;
    long rejected;
    long failed;
    long lost;
    final Histogram latencyUs = new Histogram(MAX_LATENCY_US, LATENCY_DIGITS);

    double latencyMillis(double percentile) {
      return latencyUs.getValueAtPercentile(percentile) / 1000.0;
    }
  }

  private final Map<Group, Counts> countsByGroup = new TreeMap<>();

  private List<Counts> countsFor(ServiceProfile service) {
    return List.of(
        countsFor(Group.ALL),
        countsFor(new Group(Grouping.PRIORITY_CLASS, service.priorityClass().name())),
        countsFor(new Group(Grouping.TENANT, service.tenant())));
  }

  private Counts countsFor(Group group) {
    return countsByGroup.computeIfAbsent(group, key -> new Counts());
  }

  synchronized void requested(ServiceProfile service) {
    countsFor(service).forEach(counts -> counts.requested++);
  }

  /** Counts a VM that runs for the first time, with the time since its first request. */
  synchronized void running(ServiceProfile service, long latencyUs) {
    boolean isInTime =
        latencyUs <= service.priorityClass().startLatencyObjective().toNanos() / 1000;
    for (Counts counts : countsFor(service)) {
      counts.running++;
      counts.inTime += isInTime ? 1 : 0;
      counts.latencyUs.recordValue(Math.max(0, Math.min(latencyUs, MAX_LATENCY_US)));
    }
  }

  synchronized void rejected(ServiceProfile service) {
    countsFor(service).forEach(counts -> counts.rejected++);
  }

  synchronized void failed(ServiceProfile service) {
    countsFor(service).forEach(counts -> counts.failed++);
  }

  synchronized void ended(ServiceProfile service, Ended.How how) {
    if (how != Ended.How.DONE) {
      countsFor(service).forEach(counts -> counts.lost++);
    }
  }

  synchronized long requested() {
    return overall().map(counts -> counts.requested).orElse(0L);
  }

  /**
   * Returns the share of requested VMs that ran within their start latency objective; NaN if no VM
   * was requested.
   */
  synchronized double inTimeShare() {
    return overall()
        .filter(counts -> counts.requested > 0)
        .map(counts -> (double) counts.inTime / counts.requested)
        .orElse(Double.NaN);
  }

  /**
   * Returns a percentile of the time from the first request of a VM until it ran; NaN if no VM was
   * requested.
   */
  synchronized double latencyMillis(double percentile) {
    return overall().map(counts -> counts.latencyMillis(percentile)).orElse(Double.NaN);
  }

  private Optional<Counts> overall() {
    return Optional.ofNullable(countsByGroup.get(Group.ALL));
  }

  /** Returns a table as text, with a header line and a row for each group. */
  synchronized String table() {
    StringBuilder table =
        new StringBuilder(
            String.format(
                "%-24s %9s %8s %8s %7s %7s %8s %8s %8s %8s%n",
                "",
                "requested",
                "running",
                "rejected",
                "failed",
                "lost",
                "in time",
                "p50 ms",
                "p99 ms",
                "p99.9"));
    countsByGroup.forEach((group, counts) -> table.append(row(group, counts)));
    return table.toString();
  }

  private static String row(Group group, Counts counts) {
    return String.format(
        Locale.ROOT,
        "%-24s %9d %8d %8d %7d %7d %7.1f%% %8.0f %8.0f %8.0f%n",
        group.label(),
        counts.requested,
        counts.running,
        counts.rejected,
        counts.failed,
        counts.lost,
        100.0 * counts.inTime / Math.max(1, counts.requested),
        counts.latencyMillis(50),
        counts.latencyMillis(99),
        counts.latencyMillis(99.9));
  }
}
