package fordridge.server.json;

import fordridge.model.SharedLimit;

/**
 * Divides the heap of the process among the structures that grow with the input of peers, so that
 * all of them can be at their bounds at once. The rest is left to the machine list, the code's own
 * data and the young generation.
 *
 * @param heapBytes the maximum size of the heap
 */
record HeapBudget(long heapBytes) {
  private static final int PENDING_REQUESTS_FRACTION = 6;
  private static final int VMS_FRACTION = 4;
  private static final int INPUT_FRACTION = 16;

  /** What a VM that runs retains, with its attempt and its entries in maps. */
  private static final long VM_BYTES = 1024;

  private static final double HANDOVER_SHARE = 0.75;

  /** The budget of this process, whose heap {@code deploy/serve.sh} sets by the configuration. */
  static HeapBudget ofThisProcess() {
    return new HeapBudget(Runtime.getRuntime().maxMemory());
  }

  /** The maximum of the bytes that all pending requests together retain. */
  long pendingRequestBytes() {
    return heapBytes / PENDING_REQUESTS_FRACTION;
  }

  /** The maximum of the bytes of incomplete lines, of all clients or of all machines. */
  long inputBytes() {
    return heapBytes / INPUT_FRACTION;
  }

  /** The maximum number of VMs that are known at once, pending, running or being terminated. */
  int maxVms() {
    return (int) (heapBytes / VMS_FRACTION / VM_BYTES);
  }

  /** The part of {@link #maxVms} up to which clients may hand over running VMs. */
  SharedLimit handoverLimit() {
    return new SharedLimit((long) (maxVms() * HANDOVER_SHARE));
  }
}
