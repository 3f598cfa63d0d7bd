package fordridge.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The services that machines no longer host, oldest first. Each machine remembers a past service
 * only while a start there may count as warm; clients choose the services, so that without a bound
 * they would fill the memory. At most the latest {@value #MAX_KEPT} are remembered. Not
 * thread-safe.
 */
final class PastServices {
  static final int MAX_KEPT = 8192;

  private record Entry(Machine machine, long service, Duration since) {}

  private final Deque<Entry> entries = new ArrayDeque<>();

  /** The machine hosts no VM of the service any more. */
  void add(Machine machine, long service, Duration since) {
    entries.addLast(new Entry(machine, service, since));
    if (entries.size() > MAX_KEPT) {
      forgetOldest();
    }
  }

  /** Forgets the services that ended at this time or earlier. */
  void forgetUpTo(Duration time) {
    while (!entries.isEmpty() && entries.getFirst().since.compareTo(time) <= 0) {
      forgetOldest();
    }
  }

  /** Forgets the oldest, unless the machine has hosted the service again since then. */
  private void forgetOldest() {
    Entry oldest = entries.removeFirst();
    HostedService service = oldest.machine.hostedServices.get(oldest.service);
    if (service != null && service.count == 0 && service.lastHostedAt.equals(oldest.since)) {
      oldest.machine.hostedServices.remove(oldest.service);
    }
  }
}
