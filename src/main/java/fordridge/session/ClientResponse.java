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

  /** The kind of this response. */
  Kind kind();

  /** Whether this is the final response to the placement request. */
  default boolean isFinal() {
    return kind() != Kind.TERMINATED;
  }

  /** Whether this is the last response about the VM. */
  default boolean isLast() {
    return kind() != Kind.ACCEPTED;
  }

  /**
   * A machine accepted the VM, or already runs it, through the placement attempt with this number.
   */
  record Accepted(String vm, String machine, int attemptNumber, Duration startLatency)
      implements ClientResponse {
    @Override
    public Kind kind() {
      return Kind.ACCEPTED;
    }
  }

  /**
   * The VM is not running and may be requested again; a zero {@code retryAfter} gives no advice on
   * when.
   */
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

  /** An accepted VM is no longer running. */
  record Terminated(String vm, TerminationCause cause) implements ClientResponse {
    @Override
    public Kind kind() {
      return Kind.TERMINATED;
    }
  }

  /** Why an accepted VM is no longer running. */
  enum TerminationCause {
    /** It finished, or its client stopped it. */
    COMPLETED,
    /** Its machine evicted it for lack of capacity. */
    EVICTED,
    /** Its machine preempted it for a VM of a higher priority. */
    PREEMPTED,
    /** Its machine was drained. */
    DRAINED,
    /** Its machine restarted, left the cluster, or no longer knows the VM. */
    LOST,
    /** It exited with an error of its own. */
    EXITED_WITH_ERROR,
    /** The scheduler stopped it so that its client requests it again, for another machine. */
    MIGRATED
  }
}
