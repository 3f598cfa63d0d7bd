package fordridge.settings;

import static fordridge.settings.Limits.MAX_DURATION;
import static fordridge.settings.Limits.MIN_DURATION;

import java.time.Duration;

/**
 * Settings of the scheduler instances of this process (block {@code placer}).
 *
 * @param name name under which machines know the instance; with several instances, the prefix of
 *     their names
 * @param count number of instances in this process
 * @param position index of the first instance among all schedulers of the cluster, from 0
 * @param schedulerCount configured number of schedulers of the cluster
 * @param zone zone that the scheduler runs in; empty where zones do not matter
 * @param seed seed of the random generator; 0 for a random seed
 * @param listenPort port of the first instance; 0 for any free port
 * @param maxOpenRequests maximum number of requests without a final response; further ones are
 *     rejected
 * @param responseMargin how long before the client's deadline a final response is sent at the
 *     latest
 * @param shutdownTimeout maximum duration of a graceful shutdown
 */
public record InstanceSettings(
    String name,
    int count,
    int position,
    int schedulerCount,
    String zone,
    long seed,
    String listenHost,
    int listenPort,
    int maxOpenRequests,
    Duration responseMargin,
    Duration shutdownTimeout) {
  private static final int MAX_INSTANCES = 1000;

  static InstanceSettings read(ConfigReader reader) {
    return new InstanceSettings(
        reader.string("placer.name", Limits.MAX_NAME_LENGTH),
        reader.integer("placer.count", 1, MAX_INSTANCES),
        reader.integer("placer.position", 0, Limits.MAX_SCHEDULERS),
        reader.integer("placer.placers", 1, Limits.MAX_SCHEDULERS),
        reader.string("placer.zone", Limits.MAX_NAME_LENGTH),
        reader.longInteger("placer.seed"),
        reader.string("placer.listen.host", Limits.MAX_HOST_LENGTH),
        reader.integer("placer.listen.port", 0, Limits.MAX_PORT),
        reader.integer("placer.max_open", 1, 1_000_000),
        reader.duration("placer.answer_margin", MIN_DURATION, Duration.ofSeconds(10)),
        reader.duration("placer.stop_within", Duration.ofMillis(100), MAX_DURATION));
  }

  /** The number of schedulers that share the cluster; at least the instances of this process. */
  public int totalSchedulers() {
    return Math.max(schedulerCount, count);
  }

  void check(ConfigReader reader) {
    if (position + count > totalSchedulers()) {
      reader.reject(
          "placer.position",
          position + " for " + count + " of " + schedulerCount + " placers",
          "position + count at most placers");
    }
  }
}
