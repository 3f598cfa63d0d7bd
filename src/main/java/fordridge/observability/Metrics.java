package fordridge.observability;

import fordridge.model.PlacementAttempt.Outcome;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * What a process counts, over all its instances. Percentiles come from Micrometer's HdrHistograms.
 */
public final class Metrics {
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Counter offers = registry.counter("fordridge.offers");
  private final Map<Outcome, Counter> outcomes = new EnumMap<>(Outcome.class);
  private final Map<String, Counter> answers = new java.util.TreeMap<>();
  private final Timer bind = timer("fordridge.bind");
  private final Timer lag = timer("fordridge.loop.lag");
  private final Timer decide = timer("fordridge.decide");

  public Metrics() {
    for (Outcome e : Outcome.values()) {
      outcomes.put(e, registry.counter("fordridge.outcomes", "kind", e.metricTag()));
    }
    for (String a : new String[] {"bound", "denied", "errored"}) {
      answers.put(a, registry.counter("fordridge.answers", "kind", a));
    }
  }

  private Timer timer(String name) {
    return Timer.builder(name).publishPercentiles(0.5, 0.99, 0.999).register(registry);
  }

  public void offered() {
    offers.increment();
  }

  public void ended(Outcome how) {
    outcomes.get(how).increment();
  }

  public void answered(String kind) {
    answers.get(kind).increment();
  }

  public void bound(Duration took) {
    bind.record(took);
  }

  public void lagged(Duration by) {
    lag.record(by);
  }

  /** Time that one input took in the module. */
  public void decided(long nanos) {
    decide.record(nanos, java.util.concurrent.TimeUnit.NANOSECONDS);
  }

  /** A note between placers: sent or heard. */
  public void note(String way) {
    registry.counter("fordridge.notes", "way", way).increment();
  }

  public double notes(String way) {
    return registry.counter("fordridge.notes", "way", way).count();
  }

  /** Something that the settings being watched would have decided otherwise. */
  public void otherwise(String kind) {
    registry.counter("fordridge.watch.otherwise", "kind", kind).increment();
  }

  public double otherwises(String kind) {
    return registry.counter("fordridge.watch.otherwise", "kind", kind).count();
  }

  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  public double offers() {
    return offers.count();
  }

  public double ended(String kind) {
    return outcomes.get(Outcome.valueOf(kind)).count();
  }

  /** In milliseconds, of the last minutes: loop, decide or bind. */
  public double percentile(String of, double p) {
    Timer t =
        switch (of) {
          case "loop" -> lag;
          case "decide" -> decide;
          default -> bind;
        };
    for (var v : t.takeSnapshot().percentileValues()) {
      if (Math.abs(v.percentile() - p) < 1e-9) {
        return v.value(java.util.concurrent.TimeUnit.NANOSECONDS) / 1e6;
      }
    }
    return Double.NaN;
  }

  public double mostLagMillis() {
    return lag.max(java.util.concurrent.TimeUnit.NANOSECONDS) / 1e6;
  }

  public String scrape() {
    return registry.scrape();
  }
}
