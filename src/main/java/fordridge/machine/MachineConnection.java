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
 * One connection to a machine: its state, and what it carries. Owned by one {@link
 * MachineConnectionPool}, which makes every transition; not thread-safe.
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
  /** Where the connection is in its life cycle. */
  enum State {
    /** Being opened; placement requests and a health check wait for it. */
    OPENING,
    /** Carries placement requests and health checks. */
    OPEN,
    /**
     * Takes no new placement request: a late answer to what was cancelled on it could be mistaken
     * for the answer to a later request. Closed once its pending requests have their answers.
     */
    RETIRING,
    /** Nothing more is concluded from it. */
    CLOSED
  }

  /** A health check without an answer; {@code isProbe}: the scheduler waits for its result. */
  private record HealthCheck(Duration sentAt, boolean isProbe) {}

  private final Duration openedAt;
  private final Duration connectBy;
  private final Map<String, PlacementRequest> placementRequests = new LinkedHashMap<>();

  /** Ids whose request was withdrawn on it: what still comes on them is about that request. */
  private final Set<String> withdrawnVmIds = new HashSet<>();

  private State state = State.OPENING;
  private Duration lastUsedAt;
  private final Deque<HealthCheck> healthChecks = new ArrayDeque<>();
  private long healthCheckCount;
  private long answeredHealthCheckCount;
  private Object attachment;

  MachineConnection(Duration openedAt, Duration connectBy) {
    this.openedAt = openedAt;
    this.lastUsedAt = openedAt;
    this.connectBy = connectBy;
  }

  /** Keeps the transport's own object for this connection. */
  public void attach(Object transportHandle) {
    attachment = transportHandle;
  }

  /** The object that the transport attached, null before. */
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

  /** Whether it carries placement requests, or will once it is up. */
  boolean isCarrier() {
    return !placementRequests.isEmpty();
  }

  boolean hasConnectTimedOut(Duration now) {
    return state == State.OPENING && now.compareTo(connectBy) >= 0;
  }

  // Transitions

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

  /** Whether it is to be closed, as it takes no new request and carries none. */
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

  /** The request of this VM, if it was written. */
  Optional<PlacementRequest> findSent(String vmId) {
    return find(vmId).filter(PlacementRequest::isSent);
  }

  /** The request of this VM was written and is withdrawn. */
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

  /** Those of which nothing was written yet, in the order in which they came. */
  List<PlacementRequest> unsentRequests() {
    List<PlacementRequest> unsent = new ArrayList<>();
    for (PlacementRequest request : placementRequests.values()) {
      if (!request.isSent()) {
        unsent.add(request);
      }
    }
    return unsent;
  }

  /** Removes all placement requests, in the order in which they came. */
  List<PlacementRequest> takePlacementRequests() {
    List<PlacementRequest> taken = new ArrayList<>(placementRequests.values());
    placementRequests.clear();
    return taken;
  }

  /** The ids of the VMs whose placement requests it carries. */
  public List<String> placementRequestIds() {
    return List.copyOf(placementRequests.keySet());
  }

  int placementRequestCount() {
    return placementRequests.size();
  }

  // Use and health checks

  /** When it was started to be opened. */
  public Duration openedAt() {
    return openedAt;
  }

  Duration lastUsedAt() {
    return lastUsedAt;
  }

  boolean isUnusedFor(Duration span, Duration now) {
    return now.minus(lastUsedAt).compareTo(span) >= 0;
  }

  void used(Duration now) {
    lastUsedAt = now;
  }

  void probeRequested(Duration now) {
    healthCheckCount++;
    healthChecks.add(new HealthCheck(now, true));
  }

  /** A health check of which only the answer counts; its number on this connection. */
  long pingSent(Duration now) {
    healthCheckCount++;
    healthChecks.add(new HealthCheck(now, false));
    return healthCheckCount;
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
   * The first health check without an answer has been answered. How long that took, if it is a
   * probe; empty if it is not, or there is none.
   */
  Optional<Duration> healthCheckAnswered(Duration now) {
    HealthCheck answered = healthChecks.poll();
    if (answered == null) {
      return Optional.empty();
    }
    answeredHealthCheckCount++;
    return Optional.of(answered).filter(HealthCheck::isProbe).map(check -> now.minus(check.sentAt));
  }

  /** The number of the health check that was answered last, from 1 on. */
  long answeredHealthCheckCount() {
    return answeredHealthCheckCount;
  }

  /** No answer is waited for any more; for each probe, how long it was. */
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
