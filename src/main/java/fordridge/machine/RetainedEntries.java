package fordridge.machine;

/**
 * What is retained about VMs that do not run, counted over all machines of a scheduler: bounds for
 * each machine alone would add up. Not thread-safe.
 */
public final class RetainedEntries {
  /** Entries have some 200 bytes each. */
  static final int MAX_ENTRIES = 8192;

  final SharedEntryCount unclaimedTerminations = new SharedEntryCount(MAX_ENTRIES);
  final SharedEntryCount unsettledAttempts = new SharedEntryCount(MAX_ENTRIES);

  /** Creates the counts of a scheduler without machines. */
  public RetainedEntries() {}
}
