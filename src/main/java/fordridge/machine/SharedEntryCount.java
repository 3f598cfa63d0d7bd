package fordridge.machine;

import fordridge.model.SharedLimit;

/**
 * Counts the entries that one kind of structure has for all machines together, against a {@link
 * SharedLimit} of which each machine is a peer. Not thread-safe.
 */
final class SharedEntryCount {
  private final SharedLimit limit;
  private long total;

  SharedEntryCount(int maxEntries) {
    limit = new SharedLimit(maxEntries);
  }

  void added() {
    total++;
  }

  void removed(int entries) {
    total -= entries;
  }

  /** Whether a machine with so many entries has to displace one of them. */
  boolean isExceededBy(int entriesOfMachine) {
    return !limit.admits(total, entriesOfMachine);
  }

  long total() {
    return total;
  }
}
