package fordridge.session;

import fordridge.session.PendingResponses.AddressedNotice;
import fordridge.session.PendingResponses.TerminationNotice;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Delivers termination notices at least once: each is kept from its VM's end until the client
 * acknowledges it on a connection that it was sent on, or it expires. It waits while no connection
 * is open; while one is and does not acknowledge it, it is sent on others in turn, on each once.
 *
 * <p>Free of I/O, threads and clocks; to be used by one thread only.
 *
 * @param <C> a client's connection
 */
final class NoticeDeliveries<C> {
  /** A notice has to arrive within a second: on the third connection at the latest. */
  private static final Duration ACKNOWLEDGEMENT_TIMEOUT = Duration.ofMillis(350);

  /** One notice, the connections it was sent on and the one on which that was done last. */
  private static final class Delivery<C> {
    final TerminationNotice notice;

    /** Whether its client is known to be on the connection that it was sent on first. */
    final boolean hasOwnConnection;

    final Set<C> triedConnections = new LinkedHashSet<>();

    /** Where the client was before it came on its own connection, to be tried first. */
    final List<C> formerConnections;

    C connection;
    Duration sentAt;

    Delivery(TerminationNotice notice, boolean hasOwnConnection, List<C> formerConnections) {
      this.notice = notice;
      this.hasOwnConnection = hasOwnConnection;
      this.formerConnections = formerConnections;
    }

    boolean isDeferred() {
      return connection == null;
    }

    boolean isExpired(Duration now) {
      return notice.expiresAt().compareTo(now) <= 0;
    }
  }

  private final int maxDeliveries;
  private final Consumer<TerminationNotice> displacedNotices;

  /** Open connections that have carried a request, the most recent last. */
  private final LinkedHashSet<C> openConnections = new LinkedHashSet<>();

  /**
   * Of these, the ones that have acknowledged notices, and how many. One that has acknowledged many
   * is a client's for certain; one that came and acknowledged a single one may be anybody's.
   */
  private final Map<C, Integer> acknowledgements = new HashMap<>();

  /** By VM, the oldest first. */
  private final Map<String, Delivery<C>> deliveries = new LinkedHashMap<>();

  private int deferred;
  private long expired;
  private long displaced;
  private long resent;

  /**
   * None is to be delivered yet.
   *
   * @param maxDeliveries the maximum number of notices that are kept; beyond it the oldest is
   *     displaced, and counted
   * @param displacedNotices receives each notice that is displaced
   */
  NoticeDeliveries(int maxDeliveries, Consumer<TerminationNotice> displacedNotices) {
    this.maxDeliveries = maxDeliveries;
    this.displacedNotices = displacedNotices;
  }

  /** The connection is open and has carried a request. */
  void connectionUsed(C connection) {
    openConnections.remove(connection);
    openConnections.add(connection);
  }

  /** What was sent on the connection and not acknowledged may be lost: it is sent on another. */
  void connectionClosed(C connection) {
    openConnections.remove(connection);
    acknowledgements.remove(connection);
    for (Delivery<C> delivery : deliveries.values()) {
      if (connection.equals(delivery.connection)) {
        defer(delivery);
      }
    }
  }

  /**
   * A VM is over. The result is the connection to send the notice on now; empty if none is open.
   *
   * @param own the connection on which its client is known to be, empty if that has closed
   * @param former connections on which its client has been, the most recent first
   */
  Optional<C> add(TerminationNotice notice, Optional<C> own, List<C> former, Duration now) {
    if (deliveries.size() >= maxDeliveries) {
      TerminationNotice oldest = deliveries.values().iterator().next().notice;
      remove(oldest.vmId());
      displaced++;
      displacedNotices.accept(oldest);
    }
    Delivery<C> delivery = new Delivery<>(notice, own.isPresent(), former);
    deliveries.put(notice.vmId(), delivery);
    deferred++;
    Optional<C> connection = own.or(() -> alternativeTo(delivery));
    connection.ifPresent(open -> sendOn(open, delivery, now));
    return connection;
  }

  /**
   * A client acknowledges the notice of a VM. Without effect on a connection that the notice was
   * not sent on: it may be another client's, and says nothing of who listens there. False if it was
   * without effect.
   */
  boolean acknowledged(String vmId, C connection) {
    Delivery<C> delivery = deliveries.get(vmId);
    if (delivery == null || !delivery.triedConnections.contains(connection)) {
      return false;
    }
    remove(vmId);
    if (openConnections.contains(connection)) {
      acknowledgements.merge(connection, 1, Integer::sum);
    }
    return true;
  }

  /** The notices that have waited for a connection and are to be sent now. */
  List<AddressedNotice<C>> takeDeferred(Duration now) {
    List<AddressedNotice<C>> due = new ArrayList<>();
    if (deferred == 0 || openConnections.isEmpty()) {
      return due;
    }
    for (Delivery<C> delivery : deliveries.values()) {
      if (delivery.isDeferred()) {
        C connection =
            alternativeTo(delivery)
                .orElseGet(() -> openConnections.stream().reduce(this::preferred).orElseThrow());
        due.add(new AddressedNotice<>(connection, delivery.notice));
        sendOn(connection, delivery, now);
      }
    }
    return due;
  }

  /** The notices that were not acknowledged in time and are to be sent on a further connection. */
  List<AddressedNotice<C>> takeOverdue(Duration now) {
    List<AddressedNotice<C>> due = new ArrayList<>();
    for (Delivery<C> delivery : deliveries.values()) {
      if (!delivery.isDeferred()
          && now.minus(delivery.sentAt).compareTo(ACKNOWLEDGEMENT_TIMEOUT) >= 0) {
        Optional<C> connection = alternativeTo(delivery);
        if (connection.isPresent()) {
          resent++;
          due.add(new AddressedNotice<>(connection.get(), delivery.notice));
          sendOn(connection.get(), delivery, now);
        }
      }
    }
    return due;
  }

  /** Drops the notices that are no longer worth sending, and returns them. */
  List<TerminationNotice> expire(Duration now) {
    List<TerminationNotice> dropped = new ArrayList<>();
    for (Delivery<C> delivery : deliveries.values()) {
      if (delivery.isExpired(now)) {
        dropped.add(delivery.notice);
      }
    }
    dropped.forEach(notice -> remove(notice.vmId()));
    expired += dropped.size();
    return dropped;
  }

  /** Whether the notice of the VM's end is kept, as no client has acknowledged it yet. */
  boolean isUndelivered(String vmId) {
    return deliveries.containsKey(vmId);
  }

  int size() {
    return deliveries.size();
  }

  /** Counts for the log. */
  String describe() {
    return "notices without a connection "
        + deferred
        + ", not acknowledged "
        + (deliveries.size() - deferred)
        + ", expired "
        + expired
        + ", displaced "
        + displaced
        + ", resent "
        + resent;
  }

  /**
   * A connection that the notice was not sent on yet: one of its client's former ones, else the one
   * that has acknowledged most. Others only if its client's own is not known: a client that never
   * acknowledges would get everything twice.
   */
  private Optional<C> alternativeTo(Delivery<C> delivery) {
    for (C former : delivery.formerConnections) {
      if (openConnections.contains(former) && !delivery.triedConnections.contains(former)) {
        return Optional.of(former);
      }
    }
    return openConnections.stream()
        .filter(candidate -> !delivery.triedConnections.contains(candidate))
        .filter(candidate -> !delivery.hasOwnConnection || acknowledgements.containsKey(candidate))
        .reduce(this::preferred);
  }

  /** The one that has acknowledged more, the later one if both have as much. */
  private C preferred(C earlier, C later) {
    int ofEarlier = acknowledgements.getOrDefault(earlier, 0);
    return ofEarlier > acknowledgements.getOrDefault(later, 0) ? earlier : later;
  }

  private void sendOn(C connection, Delivery<C> delivery, Duration now) {
    if (delivery.isDeferred()) {
      deferred--;
    }
    delivery.connection = connection;
    delivery.sentAt = now;
    delivery.triedConnections.add(connection);
  }

  private void defer(Delivery<C> delivery) {
    delivery.connection = null;
    deferred++;
  }

  private void remove(String vmId) {
    Delivery<C> delivery = deliveries.remove(vmId);
    if (delivery.isDeferred()) {
      deferred--;
    }
  }
}
