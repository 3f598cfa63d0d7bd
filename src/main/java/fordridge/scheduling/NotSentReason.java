package fordridge.scheduling;

/** Why an attempt that was decided earlier must not be sent any more. */
public enum NotSentReason {
  /** The attempt has ended. */
  ATTEMPT_ENDED,
  /** The client has left or already has its final response. */
  CLIENT_LEFT,
  /** Input of the client is left unread for a while, and it may have left. */
  CLIENT_INPUT_UNREAD,
  /** The client's deadline has passed. */
  DEADLINE_PASSED,
  /** The scheduler is shutting down. */
  SHUTDOWN,
  /** The machine is draining or gone. */
  MACHINE_NOT_LIVE,
  /** The priority class requires another kind of machine. */
  KIND_NOT_ALLOWED,
  /** The machine has been ejected. */
  MACHINE_EJECTED,
  /** The machine is in backoff for VMs of this tenant and class, as it rejected one. */
  BACKED_OFF,
  /** An earlier attempt may have run, and its deduplication window has passed. */
  WINDOW_CLOSED,
  /** The service has reached its spread limit in the machine's domain. */
  SPREAD_LIMIT,
  /** The machine started recently and its slow-start quota is used up. */
  SLOW_START
}
