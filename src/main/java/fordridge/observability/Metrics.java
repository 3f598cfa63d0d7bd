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
 * Counters and timers of a process, over all its scheduler instances.
 *
 * <p>Names and tags of metrics are an interface to dashboards: they stay when the code is renamed.
 * All methods may be called from any thread.
 */
public final class Metrics {
  private static final double MEDIAN = 0.5;
  private static final double P99 = 0.99;
  private static final double P999 = 0.999;
  private static final double PERCENTILE_TOLERANCE = 1e-9;
  private static final double NANOS_PER_MILLI = 1e6;

  /** The durations that are measured. */
  public enum Latency {
    START("fordridge.bind"),
    EVENT_LOOP_LAG("fordridge.loop.lag"),
    DECISION("fordridge.decide");

    private final String metricName;

    Latency(String metricName) {
      this.metricName = metricName;
    }
  }

  /** What shadow settings would have decided differently. */
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

  /** Metrics with a registry of their own; all counters start at 0. */
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

  /** An offer was sent to a machine. */
  public void offerSent() {
    offers.increment();
  }

  /** An offer that was decided could not be sent any more; the obstacle is a tag. */
  public void offerWithdrawn(String obstacle) {
    registry.counter("fordridge.offers.withdrawn", "obstacle", obstacle).increment();
  }

  /** A placement attempt finished. */
  public void attemptFinished(Outcome outcome) {
    attemptOutcomes.get(outcome).increment();
  }

  /** A final response was sent to a client. */
  public void responseSent(ClientResponse.Kind kind) {
    Counter counter = responses.get(kind);
    if (counter == null) {
      throw new IllegalArgumentException("not a final response: " + kind);
    }
    counter.increment();
  }

  /** A VM was accepted so long after its request arrived. */
  public void vmAccepted(Duration latency) {
    timers.get(Latency.START).record(latency);
  }

  /** The event loop ran a task so long after it was due. */
  public void eventLoopLagged(Duration lag) {
    timers.get(Latency.EVENT_LOOP_LAG).record(lag);
  }

  /** The scheduler took so long for one input. */
  public void decisionTook(long nanos) {
    timers.get(Latency.DECISION).record(nanos, TimeUnit.NANOSECONDS);
  }

  /** A gossip message was sent. */
  public void gossipSent() {
    gossip("sent").increment();
  }

  /** A gossip message was received. */
  public void gossipReceived() {
    gossip("heard").increment();
  }

  /** Gossip messages received so far. */
  public double gossipReceivedCount() {
    return gossip("heard").count();
  }

  private Counter gossip(String direction) {
    return registry.counter("fordridge.notes", "way", direction);
  }

  /** The shadow settings would have decided differently. */
  public void shadowDiffered(ShadowDifference difference) {
    shadowCounter(difference).increment();
  }

  /** How often the shadow settings would have decided differently. */
  public double shadowDifferences(ShadowDifference difference) {
    return shadowCounter(difference).count();
  }

  private Counter shadowCounter(ShadowDifference difference) {
    return registry.counter("fordridge.watch.otherwise", "kind", difference.tag);
  }

  /** Registers a value that is read at each scrape. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  /** Offers sent so far. */
  public double offerCount() {
    return offers.count();
  }

  /**
   * A percentile of the last minutes in milliseconds; not a number where it is not published.
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

  /** All metrics in the text format of Prometheus. */
  public String scrape() {
    return registry.scrape();
  }
}
