package fordridge.json;

import fordridge.model.Durations;
import java.time.Duration;

/**
 * Limits the rate of messages without effect on one connection, such as acknowledgements of unknown
 * VMs: a token bucket. A connection over the limit is not read for as long as it takes to refill
 * the bucket, up to a maximum. Not thread-safe.
 */
final class IneffectiveMessageLimit {
  /** Reconnected clients may repeat what they sent on many VMs at once. */
  static final int BURST = 2000;

  static final int MESSAGES_PER_SECOND = 500;

  /** Limits the delay of other messages that the client sends on the connection. */
  static final Duration MAX_PAUSE = Duration.ofMillis(500);

  /** A placement request takes that many times the processing time of other messages. */
  static final int REQUEST_COST = 10;

  private double tokens = BURST;
  private Duration refilledAt;

  /** Whether a message was recorded since the last pause was taken. */
  private boolean hasNewMessages;

  /** Creates a full bucket. */
  IneffectiveMessageLimit(Duration now) {
    refilledAt = now;
  }

  /** A message had no effect. */
  void recordMessage() {
    hasNewMessages = true;
    tokens--;
  }

  /** A placement request had no effect. */
  void recordRequest() {
    hasNewMessages = true;
    tokens -= REQUEST_COST;
  }

  /**
   * Refills the bucket; returns how long the connection is not to be read, zero if it is. A
   * connection that has sent no message without effect since the last call is read.
   */
  Duration takePause(Duration now) {
    double refill = Durations.toSeconds(now.minus(refilledAt)) * MESSAGES_PER_SECOND;
    tokens = Math.min(BURST, tokens + refill);
    refilledAt = now;
    boolean isOverLimit = hasNewMessages && tokens < 0;
    hasNewMessages = false;
    return !isOverLimit
        ? Duration.ZERO
        : Durations.min(Durations.ofSeconds(-tokens / MESSAGES_PER_SECOND), MAX_PAUSE);
  }
}
