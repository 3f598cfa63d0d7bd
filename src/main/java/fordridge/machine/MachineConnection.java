package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One connection to a machine: its state, and the placement requests and health checks that it
 * carries. Owned by one {@link MachineConnectionPool}, which makes every transition; not
 * thread-safe.
 *
 * <pre>
 * state     established  request cancelled or   last request  failed, lost
 *                        health check timed out answered      or closed
 * OPENING   OPEN         -                      -             CLOSED
 * OPEN      -            RETIRING               -             CLOSED
 * RETIRING  -            RETIRING               CLOSED        CLOSED
 * </pre>
 */
public final class MachineConnection {
  /** The state of the connection. */
  enum State {
    /** Being opened; placement requests and health checks are queued until it is established. */
    OPENING,
    /** Carries placement requests and health checks. */
    OPEN,
    /**
     * Accepts no new placement request, because a late answer to a request that was cancelled on it
     * could be mistaken for the answer to a later request for the same VM. Closed once its pending
     * placement requests and health checks have completed.
     */
    RETIRING,
    /** Closed; further events of it are ignored. */
    CLOSED
  }

  /** An unanswered health check; {@code isProbe} if the scheduler waits for its result. */
  private record HealthCheck(Duration sentAt, boolean isProbe) {}

  private final Duration openedAt;
  private final Duration connectDeadline;
  private final Map<String, PlacementRequest> placementRequests = new LinkedHashMap<>();

  /**
   * Ids of VMs whose request on this connection was withdrawn: further messages about them on this
   * connection refer to that request.
   */
  private final Set<String> withdrawnVmIds = new HashSet<>();

  private State state = State.OPENING;
  private Duration lastUsedAt;

  /** The number of the process that it leads to, see {@link ProcessIncarnations}. */
  private int incarnation;

  private final Deque<HealthCheck> healthChecks = new ArrayDeque<>();
  private long healthCheckCount;
  private long answeredHealthCheckCount;
  private Object attachment;

  MachineConnection(Duration openedAt, Duration connectDeadline) {
    this.openedAt = openedAt;
    this.lastUsedAt = openedAt;
    this.connectDeadline = connectDeadline;
  }

  /** Attaches the transport's own object for this connection. */
  public void attach(Object transportHandle) {
    attachment = transportHandle;
  }

  /** Returns the object that the transport attached; null if none is attached yet. */
  public Object attachment() {
    return attachment;
  }

  boolean isOpening() {
    return state == State.OPENING;
  }

  boolean isOpen() {
    return state == State.OPEN;
  }

  /** Whether the connection is open and carries neither a placement request nor a health check. */
  boolean isIdle() {
    return state == State.OPEN && placementRequests.isEmpty() && healthChecks.isEmpty();
  }

  /** Whether it carries placement requests, sent or queued. */
  boolean hasPlacementRequests() {
    return !placementRequests.isEmpty();
  }

  boolean hasConnectTimedOut(Duration now) {
    return state == State.OPENING && now.compareTo(connectDeadline) >= 0;
  }

  // Transitions

  int incarnation() {
    return incarnation;
  }

  void setIncarnation(int newIncarnation) {
    incarnation = newIncarnation;
  }

  void established(Duration now) {
    state = State.OPEN;
    lastUsedAt = now;
  }

  void retire() {
    state = State.RETIRING;
  }

  void closed() {
    state = State.CLOSED;
  }

  /** Whether it is retiring and nothing is pending on it, so that it can be closed. */
  boolean isRetired() {
    return state == State.RETIRING && placementRequests.isEmpty() && healthChecks.isEmpty();
  }

  // Placement requests

  void add(PlacementRequest request) {
    placementRequests.put(request.attempt().vm.id, request);
  }

  Optional<PlacementRequest> find(String vmId) {
    return Optional.ofNullable(placementRequests.get(vmId));
  }

  /** Returns the request for this VM if it was written. */
  Optional<PlacementRequest> findSent(String vmId) {
    return find(vmId).filter(PlacementRequest::isSent);
  }

  /** Records that the request for this VM was written and has been withdrawn. */
  void markWithdrawn(String vmId) {
    withdrawnVmIds.add(vmId);
  }

  boolean hasWithdrawn(String vmId) {
    return withdrawnVmIds.contains(vmId);
  }

  boolean carries(PlacementAttempt attempt) {
    return find(attempt.vm.id).filter(request -> request.attempt() == attempt).isPresent();
  }

  Optional<PlacementRequest> remove(String vmId) {
    return Optional.ofNullable(placementRequests.remove(vmId));
  }

  /** Returns the placement requests that were not written yet, in the order of arrival. */
  List<PlacementRequest> unsentRequests() {
    List<PlacementRequest> unsent = new ArrayList<>();
    for (PlacementRequest request : placementRequests.values()) {
      if (!request.isSent()) {
        unsent.add(request);
      }
    }
    return unsent;
  }

  /** Removes all placement requests and returns them in the order of arrival. */
  List<PlacementRequest> takePlacementRequests() {
    List<PlacementRequest> taken = new ArrayList<>(placementRequests.values());
    placementRequests.clear();
    return taken;
  }

  /** Returns the ids of the VMs whose placement requests it carries. */
  public List<String> placementRequestIds() {
    return List.copyOf(placementRequests.keySet());
  }

  int placementRequestCount() {
    return placementRequests.size();
  }

  // Use and health checks

  /** The time at which the connection attempt was started. */
  public Duration openedAt() {
    return openedAt;
  }

  Duration lastUsedAt() {
    return lastUsedAt;
  }

  boolean isUnusedFor(Duration span, Duration now) {
    return now.minus(lastUsedAt).compareTo(span) >= 0;
  }

  void markUsed(Duration now) {
    lastUsedAt = now;
  }

  void probeRequested(Duration now) {
    healthCheckCount++;
    healthChecks.add(new HealthCheck(now, true));
  }

  /**
   * Records a health check whose answer is needed only as an acknowledgement; returns its number on
   * this connection.
   */
  long pingSent(Duration now) {
    healthCheckCount++;
    healthChecks.add(new HealthCheck(now, false));
    return healthCheckCount;
  }

  /** Whether a health check of any kind is pending. */
  boolean hasHealthCheck() {
    return !healthChecks.isEmpty();
  }

  boolean isProbing() {
    return healthChecks.stream().anyMatch(HealthCheck::isProbe);
  }

  boolean hasHealthCheckTimedOut(Duration timeout, Duration now) {
    return state != State.OPENING
        && !healthChecks.isEmpty()
        && now.minus(healthChecks.peek().sentAt).compareTo(timeout) >= 0;
  }

  /**
   * Records the answer to the oldest pending health check. Returns its round-trip time if it is a
   * probe; empty if it is not, or if no health check is pending.
   */
  Optional<Duration> healthCheckAnswered(Duration now) {
    HealthCheck answered = healthChecks.poll();
    if (answered == null) {
      return Optional.empty();
    }
    answeredHealthCheckCount++;
    return Optional.of(answered).filter(HealthCheck::isProbe).map(check -> now.minus(check.sentAt));
  }

  /** Returns the number of the last answered health check, counted from 1; 0 if there is none. */
  long answeredHealthCheckCount() {
    return answeredHealthCheckCount;
  }

  /** Removes all pending health checks; returns the time since its request for each probe. */
  List<Duration> takeProbes(Duration now) {
    List<Duration> probes = new ArrayList<>();
    for (HealthCheck check : healthChecks) {
      if (check.isProbe) {
        probes.add(now.minus(check.sentAt));
      }
    }
    healthChecks.clear();
    return probes;
  }
}
