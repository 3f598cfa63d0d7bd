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
 * Delivers termination notices at least once. A notice is kept from the termination of its VM until
 * the client acknowledges it on a connection that it was sent on, or until it expires. It is
 * deferred while no connection is open. A notice that is not acknowledged in time is sent on other
 * open connections in turn, once on each.
 *
 * <p>Does no I/O, starts no threads and reads no clock. Not thread-safe.
 *
 * @param <C> a client's connection
 */
final class NoticeDeliveries<C> {
  /**
   * Time to wait for an acknowledgement before a notice is sent on another connection. A notice has
   * to arrive within a second, so at the latest on the third connection.
   */
  private static final Duration ACKNOWLEDGEMENT_TIMEOUT = Duration.ofMillis(350);

  /** A notice, the connections that it was sent on, and the one that it was sent on last. */
  private static final class Delivery<C> {
    final TerminationNotice notice;

    /** Whether the client's own connection is known; the notice is then sent on that one first. */
    final boolean isClientConnected;

    final Set<C> triedConnections = new LinkedHashSet<>();

    /** Connections of the client before its own one; they are tried before any other. */
    final List<C> formerConnections;

    C connection;
    Duration sentAt;

    Delivery(TerminationNotice notice, boolean isClientConnected, List<C> formerConnections) {
      this.notice = notice;
      this.isClientConnected = isClientConnected;
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

  /** Open connections that have carried a request, the most recently used last. */
  private final LinkedHashSet<C> openConnections = new LinkedHashSet<>();

  /**
   * The number of notices acknowledged on each open connection that has acknowledged any. A
   * connection with many acknowledgements certainly belongs to a client that handles notices; a
   * single one may come from any peer.
   */
  private final Map<C, Integer> acknowledgements = new HashMap<>();

  /** The deliveries by VM id, oldest first. */
  private final Map<String, Delivery<C>> deliveries = new LinkedHashMap<>();

  private int deferred;
  private long expired;
  private long displaced;
  private long resent;

  /**
   * Creates a registry without deliveries.
   *
   * @param maxDeliveries the maximum number of notices that are kept; beyond it the oldest is
   *     displaced and counted
   * @param displacedNotices receives each notice that is displaced
   */
  NoticeDeliveries(int maxDeliveries, Consumer<TerminationNotice> displacedNotices) {
    this.maxDeliveries = maxDeliveries;
    this.displacedNotices = displacedNotices;
  }

  /** Records that a request came on this open connection. */
  void connectionUsed(C connection) {
    openConnections.remove(connection);
    openConnections.add(connection);
  }

  /**
   * Defers the unacknowledged notices that were last sent on this connection: they may be lost and
   * are sent again on another one.
   */
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
   * A VM terminated. Returns the connection to send the notice on now; empty if none is open.
   *
   * @param own the connection on which the client is known to be, empty if that one has closed
   * @param former earlier connections of the client, the most recent first
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
   * A client acknowledges the notice of a VM. Returns false, without effect, if the notice was not
   * sent on this connection: the connection may be another client's, and an acknowledgement of a
   * notice that it did not get does not show which client reads from it.
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

  /** Takes the deferred notices that are to be sent now, each with its connection. */
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

  /**
   * Takes the notices that were not acknowledged in time and are to be sent on a further
   * connection.
   */
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

  /** Drops the expired notices and returns them. */
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

  /** Whether the VM's termination notice is kept because no client has acknowledged it yet. */
  boolean isUndelivered(String vmId) {
    return deliveries.containsKey(vmId);
  }

  int size() {
    return deliveries.size();
  }

  /** The counts of notices, for the log. */
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
   * Returns an open connection that the notice was not sent on yet: one of the client's former
   * connections, otherwise the one with the most acknowledgements. If the client's own connection
   * is known, connections without any acknowledgement are left out: a client that never
   * acknowledges would get every notice twice.
   */
  private Optional<C> alternativeTo(Delivery<C> delivery) {
    for (C former : delivery.formerConnections) {
      if (openConnections.contains(former) && !delivery.triedConnections.contains(former)) {
        return Optional.of(former);
      }
    }
    return openConnections.stream()
        .filter(candidate -> !delivery.triedConnections.contains(candidate))
        .filter(candidate -> !delivery.isClientConnected || acknowledgements.containsKey(candidate))
        .reduce(this::preferred);
  }

  /**
   * Returns the connection with more acknowledgements, or the later one if both have equally many.
   */
  private C preferred(C earlier, C later) {
    int earlierCount = acknowledgements.getOrDefault(earlier, 0);
    return earlierCount > acknowledgements.getOrDefault(later, 0) ? earlier : later;
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
