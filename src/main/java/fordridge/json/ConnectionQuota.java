package fordridge.json;

/**
 * Counts the connections to all machines against a limit. Not thread-safe: confined to the event
 * loop.
 */
public final class ConnectionQuota {
  private int limit;
  private int openCount;

  /** Of the open ones, those that are half-closed from here and read to their end. */
  private int closingCount;

  /** Creates a quota of at most {@code limit} connections. */
  public ConnectionQuota(int limit) {
    this.limit = limit;
  }

  /** Changes the limit; connections above it stay open. */
  public void setLimit(int newLimit) {
    limit = newLimit;
  }

  /** The limit on all connections. */
  public int limit() {
    return limit;
  }

  /** Connections that are open, or being opened or closed. */
  public int openCount() {
    return openCount;
  }

  /** Connections that are open and not being closed. */
  public int inUseCount() {
    return openCount - closingCount;
  }

  boolean isExhausted() {
    return openCount >= limit;
  }

  void connectionOpened() {
    openCount++;
  }

  void connectionClosing() {
    closingCount++;
  }

  void connectionClosed(boolean wasClosing) {
    openCount--;
    closingCount -= wasClosing ? 1 : 0;
  }
}
