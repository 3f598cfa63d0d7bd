package fordridge.settings;

import static fordridge.settings.Limits.MAX_DURATION;
import static fordridge.settings.Limits.MIN_DURATION;

import java.time.Duration;

/**
 * Slow start of machines: how their start rate ramps up, and when they are overloaded meanwhile
 * (block {@code cluster.cold}).
 *
 * @param initialStartRate fraction of its full start rate that a machine has right after its start
 * @param warmUpTime time after which a machine has its full start rate
 * @param overloadMultiple a machine is overloaded by offers above this multiple of its current
 *     start rate
 * @param overloadWindow time window over which those offers are counted
 * @param minOffersInWindow number of offers within that window that never overload a machine
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
