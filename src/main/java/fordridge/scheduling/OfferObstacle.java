package fordridge.scheduling;

/** What was learned since an attempt was decided and forbids that it is sent. */
public enum OfferObstacle {
  /** The attempt has ended. */
  ATTEMPT_ENDED,
  /** Its client has left, or has its final response. */
  CLIENT_LEFT,
  /** Its client's deadline has passed. */
  DEADLINE_PASSED,
  /** The shutdown has begun. */
  SHUTDOWN,
  /** Its machine drains or is gone. */
  MACHINE_NOT_LIVE,
  /** Its machine is of a kind that its class does not run on. */
  KIND_NOT_ALLOWED,
  /** Its machine was ejected. */
  MACHINE_EJECTED,
  /** Its machine rejects VMs of its tenant and class. */
  BACKED_OFF,
  /** The deduplication window of an earlier attempt is over. */
  WINDOW_CLOSED,
  /** The limit of its service is reached where the machine is. */
  SPREAD_LIMIT,
  /** Its machine has come up lately and has had what it gets for now. */
  SLOW_START
}
