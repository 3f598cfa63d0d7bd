package fordridge.json;

/** Why a client connection was closed, for logs and statistics. */
public enum ClientConnectionCloseReason {
  /** The client or the network closed it. */
  BY_CLIENT,
  /** It was not used for a while. */
  IDLE,
  /** It exceeded the limit on connections, or had to be closed for a new one. */
  OVER_LIMIT,
  /** It sent input that can't be decoded. */
  MALFORMED_INPUT,
  /** It sent a request that violates the protocol; the responses to it were sent. */
  INVALID_REQUEST,
  /** The client does not read the output written to it. */
  OUTPUT_NOT_READ,
  /** The server shuts down. */
  SHUTDOWN
}
