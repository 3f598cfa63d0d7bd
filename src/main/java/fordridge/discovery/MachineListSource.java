package fordridge.discovery;

import fordridge.model.Machine.Lifecycle;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A source of the machine list: a file, or etcd.
 *
 * <p>All methods may be called from any thread.
 */
public interface MachineListSource extends AutoCloseable {
  /**
   * One machine.
   *
   * @param cell number of the failure domain within its zone
   * @param freeCores cores that nobody has reserved; the same for {@code freeMemory}
   * @param startedAt when the machine started, null for long ago; it changes only when the machine
   *     starts anew
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
   * A new version of the list.
   *
   * @param version grows with each update
   * @param isSnapshot whether the entries are the whole list, so that a machine that is not among
   *     them is gone; otherwise they are the changed ones
   * @param isStale whether the list may be older than its source allows
   */
  record Update(long version, boolean isSnapshot, boolean isStale, List<Entry> entries) {}

  /** The latest version, as a snapshot. */
  Update latest();

  /**
   * Passes the latest snapshot and then each update to a listener, on a thread of the source. The
   * listener must not block.
   */
  void watch(Consumer<Update> listener);

  /** How many schedulers share the cluster; 0 where the source does not know. */
  default int schedulerCount() {
    return 0;
  }

  /** The text of a setting that the source holds for all schedulers, by name. */
  default Optional<String> sharedSetting(String name) {
    return Optional.empty();
  }

  @Override
  void close();
}
