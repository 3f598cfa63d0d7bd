package fordridge.model;

/** Whether a VM may be offered again after an attempt that may have run it. */
public enum RetrySafety {
  /** Always: running the VM twice does no harm. */
  IDEMPOTENT,
  /** Within the deduplication window and on machines in the idempotency key's scope. */
  IDEMPOTENT_WITH_KEY,
  /** Never. */
  NON_IDEMPOTENT
}
