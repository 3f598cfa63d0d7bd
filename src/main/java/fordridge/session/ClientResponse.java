package fordridge.session;

import java.time.Duration;

/**
 * One message to a client about one of its VMs. {@link Accepted}, {@link Rejected} and {@link
 * Failed} are the final responses, of which each placement request gets exactly one; {@link
 * Terminated} may follow an acceptance.
 */
public sealed interface ClientResponse {
  /** The kinds of responses, one for each record. */
  enum Kind {
    ACCEPTED,
    REJECTED,
    FAILED,
    TERMINATED
  }

  /** The VM's name as its client knows it. */
  String vm();

  /** Which of the records it is. */
  Kind kind();

  /** Whether this is the one response that settles the placement request. */
  default boolean isFinal() {
    return kind() != Kind.TERMINATED;
  }

  /** Whether nothing more is sent about the VM after this. */
  default boolean isLast() {
    return kind() != Kind.ACCEPTED;
  }

  /** The VM runs, or is accepted by a machine, by the placement attempt of the given number. */
  record Accepted(String vm, String machine, int attemptNumber, Duration startLatency)
      implements ClientResponse {
    @Override
    public Kind kind() {
      return Kind.ACCEPTED;
    }
  }

  /** The VM does not run, and a retry does no harm; a zero {@code retryAfter} gives no advice. */
  record Rejected(String vm, Duration retryAfter, String reason) implements ClientResponse {
    @Override
    public Kind kind() {
      return Kind.REJECTED;
    }
  }

  /** The outcome is unknown: the VM may have run. */
  record Failed(String vm, String reason) implements ClientResponse {
    @Override
    public Kind kind() {
      return Kind.FAILED;
    }
  }

  /** A VM that was accepted runs no longer. */
  record Terminated(String vm, TerminationCause cause) implements ClientResponse {
    @Override
    public Kind kind() {
      return Kind.TERMINATED;
    }
  }

  /** Why a VM that was accepted runs no longer. */
  enum TerminationCause {
    /** It ran to its end, or its client stopped it. */
    COMPLETED,
    /** Its machine gave it up for lack of capacity. */
    EVICTED,
    /** Its machine gave its place to a VM of a higher priority. */
    PREEMPTED,
    /** Its machine drained. */
    DRAINED,
    /** Its machine restarted, left the cluster, or no longer knows it. */
    LOST,
    /** It ended with an error of its own. */
    EXITED_WITH_ERROR,
    /** The scheduler stopped it so that its client requests it again elsewhere. */
    MIGRATED
  }
}
