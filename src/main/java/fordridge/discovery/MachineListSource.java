package fordridge.discovery;

import fordridge.model.Machine.Lifecycle;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A source of the machine list, such as a file or etcd.
 *
 * <p>Implementations are thread-safe.
 */
public interface MachineListSource extends AutoCloseable {
  /**
   * One machine in the list.
   *
   * @param cell number of the cell, a failure domain within the zone
   * @param freeCores cores that are not reserved
   * @param freeMemory memory that is not reserved
   * @param startedAt start time of the machine, null if it is unknown or long ago; it changes only
   *     when the machine restarts
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
      Instant startedAt) {}

  /**
   * A new version of the machine list.
   *
   * @param version increases with each update
   * @param isSnapshot whether the entries are the complete list, so that machines without an entry
   *     are gone; otherwise they are only the changed machines
   * @param isStale whether the source cannot confirm that the list is current
   */
  record Update(long version, boolean isSnapshot, boolean isStale, List<Entry> entries) {}

  /** Returns the latest version of the list, as a snapshot. */
  Update latest();

  /**
   * Adds a listener, which gets the latest snapshot and then each update, on a thread of the
   * source. The listener must not block.
   */
  void watch(Consumer<Update> listener);

  /** Returns the number of schedulers that share the cluster; 0 if the source does not know it. */
  default int schedulerCount() {
    return 0;
  }

  /** Returns the text of a setting that the source stores for all schedulers. */
  default Optional<String> sharedSetting(String name) {
    return Optional.empty();
  }

  @Override
  void close();
}
