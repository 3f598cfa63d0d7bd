package fordridge.json;

/**
 * Limits the number of connections to all machines together. Not thread-safe; confined to the event
 * loop.
 */
public final class ConnectionQuota {
  private int limit;
  private int openCount;

  /** Those of the open connections that the scheduler has half-closed and reads to their end. */
  private int closingCount;

  /** Creates a quota of at most {@code limit} connections. */
  public ConnectionQuota(int limit) {
    this.limit = limit;
  }

  /** Changes the limit; connections that exceed it stay open. */
  public void setLimit(int newLimit) {
    limit = newLimit;
  }

  /** The maximum number of connections to all machines. */
  public int limit() {
    return limit;
  }

  /** The number of connections that are open, or being opened or closed. */
  public int openCount() {
    return openCount;
  }

  /** The number of connections that are open and not being closed. */
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
