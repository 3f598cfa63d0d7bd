package fordridge.json;

/** Why a client's connection was closed, for logs and statistics. */
public enum CloseReason {
  /** The client closed it, or the network did. */
  BY_CLIENT,
  /** It carried nothing for a while. */
  IDLE,
  /** Another connection needed its place. */
  OVER_LIMIT,
  /** It sent what can't be decoded. */
  MALFORMED_INPUT,
  /** It sent a request that does not keep to the protocol, and has its responses. */
  INVALID_REQUEST,
  /** It does not take in what is written to it. */
  OUTPUT_NOT_READ,
  /** The server ends. */
  SHUTDOWN
}
