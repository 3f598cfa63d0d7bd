package fordridge.server.json;

/**
 * Divides the heap of the process among the structures that grow with the input of peers, so that
 * all of them can be at their bounds at once. The rest is left to the machine list, the code's own
 * data and the young generation.
 *
 * @param heapBytes the maximum size of the heap
 */
record HeapBudget(long heapBytes) {
  private static final int PENDING_REQUESTS_FRACTION = 4;

  /** The budget of this process, whose heap {@code deploy/serve.sh} sets by the configuration. */
  static HeapBudget ofThisProcess() {
    return new HeapBudget(Runtime.getRuntime().maxMemory());
  }

  /** The maximum of the bytes that all pending requests together retain. */
  long pendingRequestBytes() {
    return heapBytes / PENDING_REQUESTS_FRACTION;
  }
}
