package fordridge.emulator;

import fordridge.v1.Ended;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What owners got, by flavour and by customer; over all owners of a day. */
final class ClientOutcomes {
  private static final class Row {
    long asked;
    long served;
    long inTime;
    long denied;
    long errored;
    long lost;
    final Histogram bind = new Histogram(3_600_000_000L, 3);
  }

  private final Map<String, Row> rows = new TreeMap<>();
  private final Map<Long, long[]> seconds = new TreeMap<>();

  private Row[] rows(EmulatedClient.Service s) {
    return new Row[] {
      rows.computeIfAbsent("0 all", k -> new Row()),
      rows.computeIfAbsent("1 flavour " + s.priorityClass().name(), k -> new Row()),
      rows.computeIfAbsent("2 customer " + s.tenant(), k -> new Row())
    };
  }

  synchronized void asked(EmulatedClient.Service s) {
    for (Row r : rows(s)) {
      r.asked++;
    }
  }

  synchronized void served(EmulatedClient.Service s, long tookUs, long second) {
    boolean inTime = tookUs <= s.priorityClass().startLatencyObjective().toNanos() / 1000;
    for (Row r : rows(s)) {
      r.served++;
      r.inTime += inTime ? 1 : 0;
      r.bind.recordValue(Math.max(0, Math.min(tookUs, 3_600_000_000L)));
    }
    long[] at = seconds.computeIfAbsent(second, k -> new long[2]);
    at[0]++;
    at[1] += inTime ? 1 : 0;
  }

  synchronized void denied(EmulatedClient.Service s) {
    for (Row r : rows(s)) {
      r.denied++;
    }
  }

  synchronized void errored(EmulatedClient.Service s) {
    for (Row r : rows(s)) {
      r.errored++;
    }
  }

  synchronized void ended(EmulatedClient.Service s, Ended.How how) {
    for (Row r : rows(s)) {
      r.lost += how == Ended.How.DONE ? 0 : 1;
    }
  }

  synchronized long asked() {
    return rows.containsKey("0 all") ? rows.get("0 all").asked : 0;
  }

  synchronized double inTimeShare() {
    Row r = rows.get("0 all");
    return r == null || r.asked == 0 ? Double.NaN : (double) r.inTime / r.asked;
  }

  synchronized double bindMillis(double percentile) {
    Row r = rows.get("0 all");
    return r == null ? Double.NaN : r.bind.getValueAtPercentile(percentile) / 1000.0;
  }

  synchronized String table() {
    StringBuilder t =
        new StringBuilder(
            String.format(
                "%-24s %7s %7s %7s %7s %7s %8s %8s %8s %8s%n",
                "", "asked", "served", "denied", "errored", "lost", "in time", "p50 ms", "p99 ms",
                "p99.9"));
    rows.forEach(
        (name, r) ->
            t.append(
                String.format(
                    Locale.ROOT,
                    "%-24s %7d %7d %7d %7d %7d %7.1f%% %8.0f %8.0f %8.0f%n",
                    name.substring(2),
                    r.asked,
                    r.served,
                    r.denied,
                    r.errored,
                    r.lost,
                    100.0 * r.inTime / Math.max(1, r.asked),
                    r.bind.getValueAtPercentile(50) / 1000.0,
                    r.bind.getValueAtPercentile(99) / 1000.0,
                    r.bind.getValueAtPercentile(99.9) / 1000.0)));
    return t.toString();
  }
}
