package fordridge.json;

import fordridge.model.PlacementAttempt.Outcome;
import java.util.Optional;

/**
 * The cause in a termination line ({@code down}) of the JSON lines protocol, sent to clients and
 * received from machines. Any other code from a machine counts as {@link #RESET}.
 */
public enum TerminationCode {
  /** The VM finished; in a line from the scheduler it withdraws a placement request. */
  DONE(16, Outcome.RESET, Optional.of(Outcome.DONE)),
  /** The VM was migrated, or was terminated by its client, which gets no termination notice. */
  CANCELLED(31, Outcome.RESET, Optional.of(Outcome.CANCELLED)),
  /** The request was rejected for lack of capacity: the VM never ran. */
  REJECTED(34, Outcome.FULL, Optional.empty()),
  /** The attempt was lost in transit, or the running VM was lost. */
  RESET(41, Outcome.RESET, Optional.of(Outcome.RESET)),
  /** The request failed: the VM may have run. */
  FAILED(47, Outcome.ERROR, Optional.empty()),
  /** The request was never sent to a machine. */
  NOT_SENT(102, Outcome.NOT_SENT, Optional.empty());

  private final int code;
  private final Outcome outcomeIfPending;
  private final Optional<Outcome> outcomeIfRunning;

  TerminationCode(int code, Outcome outcomeIfPending, Optional<Outcome> outcomeIfRunning) {
    this.code = code;
    this.outcomeIfPending = outcomeIfPending;
    this.outcomeIfRunning = outcomeIfRunning;
  }

  /**
   * Returns the constant for a code received from a machine; {@link #RESET} for any other code, or
   * none.
   */
  public static TerminationCode fromCode(int code) {
    for (TerminationCode cause : values()) {
      if (cause.code == code) {
        return cause;
      }
    }
    return RESET;
  }

  /** The code in the protocol. */
  public int code() {
    return code;
  }

  /** The outcome of an attempt whose placement request was still pending. */
  public Outcome outcomeIfPending() {
    return outcomeIfPending;
  }

  /**
   * The outcome of an attempt whose VM was running; empty if the cause is that of a placement
   * request only, so that the notice is a late one about an attempt that was given up.
   */
  public Optional<Outcome> outcomeIfRunning() {
    return outcomeIfRunning;
  }
}
