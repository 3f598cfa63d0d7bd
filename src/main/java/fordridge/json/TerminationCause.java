package fordridge.json;

import fordridge.model.PlacementAttempt.Outcome;
import java.util.Optional;

/**
 * The cause in a termination line ({@code down}) on the JSON lines protocol, to clients and from
 * machines. A machine's code that is not listed here counts as {@link #RESET}.
 */
public enum TerminationCause {
  /** The VM ended normally; sent by the scheduler, it withdraws a placement request. */
  DONE(16, Outcome.RESET, Optional.of(Outcome.DONE)),
  /** Migrated, or terminated by its client, who gets no termination notice. */
  CANCELLED(31, Outcome.RESET, Optional.of(Outcome.CANCELLED)),
  /** Rejected for lack of capacity: it never ran. */
  REJECTED(34, Outcome.FULL, Optional.empty()),
  /** The attempt broke on its way, or the running VM was lost. */
  RESET(41, Outcome.RESET, Optional.of(Outcome.RESET)),
  /** Failed: it may have run. */
  FAILED(47, Outcome.ERROR, Optional.empty()),
  /** The request was never sent. */
  NOT_SENT(102, Outcome.NOT_SENT, Optional.empty());

  private final int code;
  private final Outcome outcomeIfPending;
  private final Optional<Outcome> outcomeIfRunning;

  TerminationCause(int code, Outcome outcomeIfPending, Optional<Outcome> outcomeIfRunning) {
    this.code = code;
    this.outcomeIfPending = outcomeIfPending;
    this.outcomeIfRunning = outcomeIfRunning;
  }

  /** The cause for a code received from a machine; {@link #RESET} for any other code, or none. */
  public static TerminationCause fromCode(int code) {
    for (TerminationCause cause : values()) {
      if (cause.code == code) {
        return cause;
      }
    }
    return RESET;
  }

  /** The code on the wire. */
  public int code() {
    return code;
  }

  /** The outcome of an attempt whose placement request was still pending. */
  public Outcome outcomeIfPending() {
    return outcomeIfPending;
  }

  /**
   * The outcome of an attempt whose VM was running; empty for a late notice on a placement request
   * that was given up.
   */
  public Optional<Outcome> outcomeIfRunning() {
    return outcomeIfRunning;
  }
}
