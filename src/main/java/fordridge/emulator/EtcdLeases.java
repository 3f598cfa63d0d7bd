package fordridge.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The leases of the emulated etcd. Guarded by the lock of {@link EtcdState}. */
final class EtcdLeases {
  private static final long FIRST_ID = 1001;

  private record Lease(long ttlSeconds, long expiresAtMillis) {
    static Lease startingNow(long ttlSeconds) {
      return new Lease(ttlSeconds, nowMillis() + TimeUnit.SECONDS.toMillis(ttlSeconds));
    }

    boolean isExpired() {
      return expiresAtMillis <= nowMillis();
    }
  }

  private final Map<Long, Lease> leases = new HashMap<>();
  private long nextId = FIRST_ID;

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /**
   * Grants a lease and returns its id.
   *
   * @param requestedId the id that the client asks for; 0 to use the next free one
   */
  long grant(long requestedId, long ttlSeconds) {
    long id = requestedId != 0 ? requestedId : nextId++;
    leases.put(id, Lease.startingNow(ttlSeconds));
    return id;
  }

  boolean contains(long id) {
    return leases.containsKey(id);
  }

  void remove(long id) {
    leases.remove(id);
  }

  /** Renews a lease and returns its time to live in seconds; 0 if there is no such lease. */
  long keepAlive(long id) {
    Lease renewed = leases.computeIfPresent(id, (key, old) -> Lease.startingNow(old.ttlSeconds()));
    return renewed == null ? 0 : renewed.ttlSeconds();
  }

  /** Returns the granted time to live in seconds; 0 if there is no such lease. */
  long grantedTtlSeconds(long id) {
    Lease lease = leases.get(id);
    return lease == null ? 0 : lease.ttlSeconds();
  }

  /** Returns the time until the lease expires in seconds; -1 if there is no such lease. */
  long remainingSeconds(long id) {
    Lease lease = leases.get(id);
    return lease == null ? -1 : Math.max(0, (lease.expiresAtMillis() - nowMillis()) / 1000);
  }

  List<Long> all() {
    return List.copyOf(leases.keySet());
  }

  List<Long> expired() {
    List<Long> expired = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (lease.isExpired()) {
            expired.add(id);
          }
        });
    return expired;
  }
}
