package fordridge.discovery;

import fordridge.model.Machine.Lifecycle;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;

/**
 * Where the list of machines comes from. Whatever stands behind it gives whole lists, each newer
 * than the last.
 */
public interface MachineListSource extends AutoCloseable {
  /**
   * One machine; {@code started} is null for long ago, and changes only when the machine starts
   * anew.
   */
  record Entry(
      String name,
      InetSocketAddress address,
      String kind,
      String zone,
      int cell,
      Lifecycle lifecycle,
      double freeCores,
      double freeMemory,
      Instant started) {}

  /**
   * A list, whole (what it does not name is gone) or of changes only; {@code old} if it may be
   * stale by more than its source allows.
   */
  record Update(long version, boolean whole, boolean old, List<Entry> entries) {}

  /** The latest whole list. */
  Update latest();

  /**
   * Tells of the latest list, then of each change, on a thread of its own; the taker hands it to
   * its loop.
   */
  void follow(Consumer<Update> taker);

  /** How many placers share the cluster, where the source knows; 0 where it does not. */
  default int placers() {
    return 0;
  }

  /** A term that the source holds under that name, or null. */
  default String term(String name) {
    return null;
  }

  @Override
  void close();
}
