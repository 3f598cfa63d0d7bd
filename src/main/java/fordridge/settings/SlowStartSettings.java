package fordridge.settings;

import static fordridge.settings.Limits.MAX_DURATION;
import static fordridge.settings.Limits.MIN_DURATION;

import java.time.Duration;

/**
 * How a machine warms up after its start, and when it is overloaded then (block {@code
 * cluster.cold}).
 *
 * @param initialStartRate part of the full start rate that a new machine has
 * @param warmUpTime after this it has its full start rate
 * @param overloadMultiple offers above this multiple of its start rate overload it
 * @param overloadWindow span over which those offers are counted
 * @param minOffersInWindow offers within that span that it bears in any case
 */
public record SlowStartSettings(
    double initialStartRate,
    Duration warmUpTime,
    double overloadMultiple,
    Duration overloadWindow,
    double minOffersInWindow) {
  static SlowStartSettings read(ConfigReader reader) {
    return new SlowStartSettings(
        reader.decimal("cluster.cold.from", 0.001, 1),
        reader.duration("cluster.cold.warm_after", MIN_DURATION, MAX_DURATION),
        reader.decimal("cluster.cold.fall_multiple", 1, 1000),
        reader.duration("cluster.cold.fall_over", MIN_DURATION, MAX_DURATION),
        reader.decimal("cluster.cold.bears", 0, 1_000_000));
  }
}
