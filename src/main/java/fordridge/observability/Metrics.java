package fordridge.observability;

import fordridge.model.PlacementAttempt.Outcome;
import fordridge.session.ClientResponse;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.distribution.ValueAtPercentile;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Counters, timers and gauges of a process, aggregated over its scheduler instances.
 *
 * <p>Metric names and tags are an interface to dashboards and must not change when Java identifiers
 * are renamed. Thread-safe.
 */
public final class Metrics {
  private static final double MEDIAN = 0.5;
  private static final double P99 = 0.99;
  private static final double P999 = 0.999;
  private static final double PERCENTILE_TOLERANCE = 1e-9;
  private static final double NANOS_PER_MILLI = 1e6;

  /** The latencies that are measured. */
  public enum Latency {
    START("fordridge.bind"),
    EVENT_LOOP_LAG("fordridge.loop.lag"),
    DECISION("fordridge.decide");

    private final String metricName;

    Latency(String metricName) {
      this.metricName = metricName;
    }
  }

  /** The kinds of decisions in which the shadow scheduler differs from the scheduler. */
  public enum ShadowDifference {
    MACHINE("machine"),
    HOLD("hold"),
    PLACE("place"),
    ANSWER("answer"),
    RETRY_AFTER("retry_after"),
    PROBE("probe"),
    NOTE("note"),
    LIST_ASK("list_ask"),
    MOVE("move");

    private final String tag;

    ShadowDifference(String tag) {
      this.tag = tag;
    }
  }

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Counter offers = registry.counter("fordridge.offers");
  private final Map<Outcome, Counter> attemptOutcomes = new EnumMap<>(Outcome.class);
  private final Map<ClientResponse.Kind, Counter> responses =
      new EnumMap<>(ClientResponse.Kind.class);
  private final Map<Latency, Timer> timers = new EnumMap<>(Latency.class);

  /** Creates metrics with a new registry; all counters start at 0. */
  public Metrics() {
    for (Outcome outcome : Outcome.values()) {
      attemptOutcomes.put(
          outcome, registry.counter("fordridge.outcomes", "kind", outcome.metricTag()));
    }
    responses.put(ClientResponse.Kind.ACCEPTED, responseCounter("bound"));
    responses.put(ClientResponse.Kind.REJECTED, responseCounter("denied"));
    responses.put(ClientResponse.Kind.FAILED, responseCounter("errored"));
    for (Latency latency : Latency.values()) {
      timers.put(latency, timer(latency.metricName));
    }
  }

  private Counter responseCounter(String tag) {
    return registry.counter("fordridge.answers", "kind", tag);
  }

  private Timer timer(String name) {
    return Timer.builder(name).publishPercentiles(MEDIAN, P99, P999).register(registry);
  }

  /** Counts an offer that was sent to a machine. */
  public void offerSent() {
    offers.increment();
  }

  /** Counts an offer that could no longer be sent after the decision; the reason is a tag. */
  public void offerWithdrawn(String reason) {
    registry.counter("fordridge.offers.withdrawn", "obstacle", reason).increment();
  }

  /** Counts a finished placement attempt by its outcome. */
  public void attemptFinished(Outcome outcome) {
    attemptOutcomes.get(outcome).increment();
  }

  /** Counts a final response that was sent to a client. */
  public void responseSent(ClientResponse.Kind kind) {
    Counter counter = responses.get(kind);
    if (counter == null) {
      throw new IllegalArgumentException(
          "response kind is " + kind + ", not ACCEPTED, REJECTED or FAILED");
    }
    counter.increment();
  }

  /** Records the time from the arrival of a request to the acceptance of its VM. */
  public void vmAccepted(Duration latency) {
    timers.get(Latency.START).record(latency);
  }

  /** Records the delay of a task of the event loop past its scheduled time. */
  public void eventLoopLagged(Duration lag) {
    timers.get(Latency.EVENT_LOOP_LAG).record(lag);
  }

  /** Records the time that the scheduler took to handle one input. */
  public void decisionTook(long nanos) {
    timers.get(Latency.DECISION).record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Counts a gossip message that was sent. */
  public void gossipSent() {
    gossipCounter("sent").increment();
  }

  /** Counts a gossip message that was received. */
  public void gossipReceived() {
    gossipCounter("heard").increment();
  }

  /** The number of gossip messages received so far. */
  public double gossipReceivedCount() {
    return gossipCounter("heard").count();
  }

  private Counter gossipCounter(String direction) {
    return registry.counter("fordridge.notes", "way", direction);
  }

  /** Counts a decision in which the shadow scheduler differs. */
  public void shadowDiffered(ShadowDifference difference) {
    shadowCounter(difference).increment();
  }

  /** The number of decisions of one kind in which the shadow scheduler differed. */
  public double shadowDifferences(ShadowDifference difference) {
    return shadowCounter(difference).count();
  }

  private Counter shadowCounter(ShadowDifference difference) {
    return registry.counter("fordridge.watch.otherwise", "kind", difference.tag);
  }

  /** Registers a gauge whose value is read on each scrape. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  /** The number of offers sent so far. */
  public double offerCount() {
    return offers.count();
  }

  /**
   * Returns a percentile over the last minutes in milliseconds; NaN if it is not published.
   *
   * @param percentile 0.5, 0.99 or 0.999
   */
  public double percentileMillis(Latency latency, double percentile) {
    for (ValueAtPercentile value : timers.get(latency).takeSnapshot().percentileValues()) {
      if (Math.abs(value.percentile() - percentile) < PERCENTILE_TOLERANCE) {
        return value.value(TimeUnit.NANOSECONDS) / NANOS_PER_MILLI;
      }
    }
    return Double.NaN;
  }

  /** Returns all metrics in the Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }
}
