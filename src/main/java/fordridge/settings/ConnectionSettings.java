package fordridge.settings;

import static fordridge.settings.Limits.MAX_DURATION;
import static fordridge.settings.Limits.MIN_DURATION;

import java.time.Duration;

/**
 * Settings of the connections to machines (block {@code machines}).
 *
 * @param idleTimeout a stream without pending attempts is closed after this time
 * @param minReconnectDelay initial delay of the exponential backoff after a failed connect
 * @param maxReconnectDelay maximum delay of that backoff
 * @param maxQueuedOffers limit of offers to one machine that are not yet written to its stream; at
 *     the limit the machine gets no further offers
 * @param unknownOutcomeTimeout how long the scheduler waits for a broken stream to be
 *     re-established and to report whether the machine holds an attempt that must not run twice
 * @param keepaliveInterval an idle stream is pinged after this time, and closed if the ping is not
 *     answered within the same time
 * @param maxMessageBytes larger messages are rejected, from machines and from clients
 */
public record ConnectionSettings(
    Duration connectTimeout,
    Duration idleTimeout,
    Duration minReconnectDelay,
    Duration maxReconnectDelay,
    int maxQueuedOffers,
    Duration unknownOutcomeTimeout,
    Duration keepaliveInterval,
    int maxMessageBytes) {
  private static final Duration MAX_CONNECT_TIMEOUT = Duration.ofMinutes(1);
  private static final int MIN_MESSAGE_BYTES = 1024;
  private static final int MAX_MESSAGE_BYTES = 16 << 20;

  static ConnectionSettings read(ConfigReader reader) {
    return new ConnectionSettings(
        reader.duration("machines.connect_timeout", Duration.ofMillis(10), MAX_CONNECT_TIMEOUT),
        reader.duration("machines.idle", Duration.ofMillis(100), MAX_DURATION),
        reader.duration("machines.retry_least", MIN_DURATION, MAX_DURATION),
        reader.duration("machines.retry_most", MIN_DURATION, MAX_DURATION),
        reader.integer("machines.line", 1, 100_000),
        reader.duration("machines.unsure", Duration.ZERO, Duration.ofMinutes(1)),
        reader.duration("machines.keepalive", Duration.ofMillis(200), MAX_DURATION),
        reader.byteSize("machines.max_message", MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES));
  }

  void check(ConfigReader reader) {
    if (minReconnectDelay.compareTo(maxReconnectDelay) > 0) {
      reader.reject(
          "machines.retry_least",
          minReconnectDelay.toMillis() + "ms",
          "at most machines.retry_most");
    }
  }
}
