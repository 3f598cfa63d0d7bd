package fordridge.emulator.machine;

import java.util.Iterator;
import java.util.LinkedHashSet;

/** An LRU cache of the services whose programs stay on the machine after their VMs ended. */
final class ProgramCache {
  private final int capacity;
  private final LinkedHashSet<Long> services = new LinkedHashSet<>();

  ProgramCache(int capacity) {
    this.capacity = capacity;
  }

  boolean contains(long service) {
    return services.contains(service);
  }

  void recordUse(long service) {
    services.remove(service);
    services.add(service);
    Iterator<Long> leastRecentlyUsed = services.iterator();
    while (services.size() > capacity) {
      leastRecentlyUsed.next();
      leastRecentlyUsed.remove();
    }
  }

  void clear() {
    services.clear();
  }
}
