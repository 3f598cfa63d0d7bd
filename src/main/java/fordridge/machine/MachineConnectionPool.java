package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What one placer may conclude of its claims on one machine where each set-up is bound to the
 * connection that carries it, and what stands is bound to none: which never ran, which may have
 * run, which run. Free of I/O, threads and clocks: the time comes in, and it acts through {@link
 * MachineTransport} and {@link Listener}.
 *
 * <p>A set-up that no connection has carried yet never ran. One on a connection that breaks, or
 * says what can't be read, may have run. So a connection carries one set-up at a time while there
 * are connections to be had: what spoils one takes no other with it. What stands is lost on the
 * machine's own word, on the list's, or when the machine is dead: it refuses connections twice in a
 * row, or is silent and lets no connection come up for a while.
 */
public final class MachineConnectionPool {
  /** Receives what is concluded from the connections to a machine. */
  public interface Listener extends AttemptListener {
    /** The machine accepted the VM; the description is the one that the machine gave for it. */
    void attemptAccepted(PlacementAttempt attempt, String description);

    /**
     * The VM ran on the machine and is over there, and the answer to its placement request never
     * came: it must not be placed again, and its client has to be notified at once that it failed.
     */
    void attemptEndedUnanswered(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason);
  }

  /** How long a machine with VMs may go without a connection while descriptors are short. */
  private static final Duration MAX_TIME_UNCONNECTED = Duration.ofSeconds(4);

  private final Machine machine;
  private ConnectionTimeouts connectionTimeouts;
  private final MachineTransport transport;
  private final Listener listener;
  private final Set<MachineConnection> connections = new LinkedHashSet<>();
  private final Map<String, PlacementAttempt> standing = new HashMap<>();

  /** VMs that their owner has ended, until the machine says so. */
  private final Map<String, Duration> stopping = new HashMap<>();

  private boolean gone;
  private boolean draining;
  private Duration heardAt = Duration.ZERO;
  private Duration triedAt = Duration.ZERO;
  private int refusals;
  private int timeouts;

  /** It was left without a connection for the others' sake. */
  private boolean spared;

  private boolean wants;

  public MachineConnectionPool(
      Machine machine,
      ConnectionTimeouts connectionTimeouts,
      MachineTransport transport,
      Listener listener) {
    this.machine = machine;
    this.connectionTimeouts = connectionTimeouts;
    this.transport = transport;
    this.listener = listener;
  }

  /** Other spans hold from now on. */
  public void setTimeouts(ConnectionTimeouts next) {
    connectionTimeouts = next;
  }

  public int connectionCount() {
    return connections.size();
  }

  public int runningVmCount() {
    return standing.size();
  }

  /** Nothing is known of it any more, and nothing is owed to it. */
  public boolean isRetired() {
    return gone && connections.isEmpty() && standing.isEmpty();
  }

  // ---- What the placer wants
  // -------------------------------------------------------------------------

  /**
   * {@code again}: should a connection turn out to be dead, the VM can go elsewhere all the same,
   * so an open one will do; else only one that proves by not coming up that nothing ran, or was
   * good a moment ago.
   */
  public void offer(PlacementAttempt attempt, Duration within, boolean again, Duration now) {
    if (gone || draining) {
      listener.attemptEnded(attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
      return;
    }
    MachineConnection s = free(again, now);
    if (s == null) {
      // Every descriptor is taken: not sent at all.
      listener.attemptEnded(attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
      return;
    }
    PlacementRequest u = new PlacementRequest(attempt, now.plus(within));
    s.placementRequests.put(attempt.vm.id, u);
    if (s.state == MachineConnection.State.OPEN) {
      carry(s, u, now);
    }
  }

  /**
   * The placer waits no longer; ends as {@code how} if a connection has carried it, else it never
   * ran.
   */
  public void cancel(PlacementAttempt attempt, Outcome how, Duration now) {
    for (MachineConnection s : connections) {
      PlacementRequest u = s.placementRequests.get(attempt.vm.id);
      if (u != null && u.attempt() == attempt) {
        s.placementRequests.remove(attempt.vm.id);
        boolean carried = s.state != MachineConnection.State.OPENING;
        if (carried) {
          transport.cancel(s, attempt.vm.id);
          // What comes late on it must not be taken for the answer to a later set-up of the same
          // VM.
          s.state = MachineConnection.State.SPENT;
        }
        closeIfSpent(s);
        listener.attemptEnded(
            attempt, carried ? how : Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
        return;
      }
    }
    if (attempt.isInFlight() && attempt.acceptedAt == null) {
      listener.attemptEnded(attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
    }
  }

  /**
   * Its owner, or a move, ends a VM that stands. The machine's word ends the claim, or its silence
   * does.
   */
  public void terminate(PlacementAttempt attempt, Duration now) {
    if (standing.get(attempt.vm.id) == attempt && !stopping.containsKey(attempt.vm.id)) {
      stopping.put(attempt.vm.id, now.plus(connectionTimeouts.idleTimeout()));
      MachineConnection s = any();
      if (s != null) {
        transport.terminate(s, attempt.vm.id);
      }
    }
  }

  public void probe(Duration now) {
    MachineConnection s = gone ? null : free(true, now);
    if (s == null) {
      listener.probeCompleted(machine, false, false, Duration.ZERO);
      return;
    }
    s.probeSentAt = now;
    if (s.state == MachineConnection.State.OPEN) {
      sendProbe(s, now);
    }
  }

  /** A VM that runs there already. */
  public void adopt(PlacementAttempt attempt, Duration now) {
    standing.put(attempt.vm.id, attempt);
    if (heardAt.equals(Duration.ZERO)) {
      heardAt = now;
    }
  }

  // ---- What the list says
  // ----------------------------------------------------------------------------

  /**
   * What the list says of it now. Draining or gone, what no connection has carried yet is taken
   * back.
   */
  public void machineListed(Machine.Lifecycle as, Duration now) {
    draining = as != Machine.Lifecycle.LIVE;
    if (draining) {
      for (MachineConnection s : List.copyOf(connections)) {
        if (s.state == MachineConnection.State.OPENING) {
          for (PlacementRequest u : takeAll(s)) {
            listener.attemptEnded(u.attempt(), Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
          }
        }
      }
    }
    boolean isGone = as == Machine.Lifecycle.GONE;
    if (isGone && !gone) {
      dies(now);
    }
    gone = isGone;
  }

  /** It started anew at that time: what stood before is no more. */
  public void machineRestarted(Duration at) {
    for (PlacementAttempt c : List.copyOf(standing.values())) {
      if (c.acceptedAt != null && c.acceptedAt.compareTo(at) < 0) {
        lost(c);
      }
    }
  }

  /** The VM is known to run no longer, by other means than the machine's own notice. */
  public void vmLost(String vmId) {
    PlacementAttempt attempt = standing.get(vmId);
    if (attempt != null) {
      lost(attempt);
    }
  }

  private void lost(PlacementAttempt c) {
    standing.remove(c.vm.id);
    stopping.remove(c.vm.id);
    listener.attemptEnded(c, Outcome.RESET, OutcomeReason.UNSPECIFIED);
  }

  /** The process is no more, or can't be reached: nothing that it held is waited for. */
  private void dies(Duration now) {
    for (MachineConnection s : List.copyOf(connections)) {
      boolean carried = s.state != MachineConnection.State.OPENING;
      for (PlacementRequest u : takeAll(s)) {
        listener.attemptEnded(
            u.attempt(), carried ? Outcome.RESET : Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
      }
      shut(s, now);
    }
    for (PlacementAttempt c : List.copyOf(standing.values())) {
      lost(c);
    }
  }

  // ---- What the connections do
  // ---------------------------------------------------------------------------

  public void connectionEstablished(MachineConnection s, Duration now) {
    if (s.state != MachineConnection.State.OPENING) {
      return;
    }
    messageReceived(now);
    s.state = MachineConnection.State.OPEN;
    s.connectBy = null;
    s.lastUsedAt = now;
    for (PlacementRequest u : List.copyOf(s.placementRequests.values())) {
      carry(s, u, now);
    }
    // Said on a connection that broke, or on none: a machine that heard it already passes it over.
    stopping.keySet().forEach(vm -> transport.terminate(s, vm));
    if (s.probeSentAt != null) {
      sendProbe(s, now);
    }
  }

  /** Anything at all came from the machine. */
  public void messageReceived(Duration now) {
    heardAt = now;
    refusals = 0;
    timeouts = 0;
  }

  /** No connection came up: refused, or no word in time. */
  public void connectionFailed(MachineConnection s, boolean refused, Duration now) {
    if (!connections.remove(s)) {
      return;
    }
    s.state = MachineConnection.State.CLOSED;
    refusals = refused ? refusals + 1 : 0;
    timeouts += refused ? 0 : 1;
    for (PlacementRequest u : takeAll(s)) {
      listener.attemptEnded(u.attempt(), Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
    }
    probeFails(s, now);
    if (refusals >= 2
        || timeouts >= 2
            && now.minus(heardAt).compareTo(connectionTimeouts.failureTimeout()) >= 0) {
      // Nobody listens there any more, or nothing has come up for long: what ran was cut with the
      // process.
      dies(now);
    }
  }

  /**
   * A connection broke, was closed, or said what can't be read: all that it carried may have run.
   */
  public void connectionLost(MachineConnection s, Duration now) {
    if (!connections.remove(s)) {
      return;
    }
    // It had come up, even where this is heard before that: what it had not carried yet never ran.
    boolean carried = s.state != MachineConnection.State.OPENING;
    s.state = MachineConnection.State.CLOSED;
    for (PlacementRequest u : takeAll(s)) {
      listener.attemptEnded(
          u.attempt(), carried ? Outcome.RESET : Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
    }
    probeFails(s, now);
  }

  /** The machine says that a VM stands; passed over unless this connection carries its set-up. */
  public void vmAccepted(MachineConnection s, String vm, String description, Duration now) {
    PlacementRequest u = s.placementRequests.remove(vm);
    if (u == null) {
      return;
    }
    s.lastUsedAt = now;
    standing.put(vm, u.attempt());
    listener.attemptAccepted(u.attempt(), description);
    closeIfSpent(s);
  }

  /**
   * The machine reported on a VM, as it does only for one that runs: the answer to its placement
   * request may be late or lost.
   */
  public void vmReported(MachineConnection s, String vm) {
    PlacementRequest u = s.placementRequests.get(vm);
    if (u != null) {
      u.markReportedRunning();
    }
  }

  /**
   * The machine ends a set-up on this connection, or what stands (on any); unknown ids are passed
   * over.
   */
  public void vmTerminated(MachineConnection s, VmTermination termination, Duration now) {
    String vm = termination.vmId();
    PlacementRequest u = s.placementRequests.remove(vm);
    if (u != null) {
      s.lastUsedAt = now;
      if (u.isReportedRunning() && termination.outcomeIfRunning().isPresent()) {
        listener.attemptEndedUnanswered(
            u.attempt(), termination.outcomeIfRunning().get(), termination.reason());
      } else {
        listener.attemptEnded(u.attempt(), termination.outcomeIfPending(), termination.reason());
      }
      closeIfSpent(s);
      return;
    }
    PlacementAttempt c = termination.outcomeIfRunning().isEmpty() ? null : standing.remove(vm);
    if (c != null) {
      stopping.remove(vm);
      listener.attemptEnded(c, termination.outcomeIfRunning().get(), termination.reason());
    }
  }

  public void probeAnswered(
      MachineConnection s, boolean healthy, boolean withLoadReport, Duration now) {
    if (s.probeSentAt != null) {
      Duration took = now.minus(s.probeSentAt);
      s.probeSentAt = null;
      s.lastUsedAt = now;
      listener.probeCompleted(machine, healthy, withLoadReport, took);
      closeIfSpent(s);
    }
  }

  /** The claim that stands there under this name. */
  public Optional<PlacementAttempt> findRunningAttempt(String vm) {
    return Optional.ofNullable(standing.get(vm));
  }

  // ---- What time does
  // --------------------------------------------------------------------------------

  /**
   * To be called every now and then, a few times within the time a connection may take; {@link
   * ConnectionBudget} behind it.
   */
  public void tick(Duration now) {
    if (!connections.isEmpty()) {
      look(now);
    }
    if (!stopping.isEmpty()) {
      for (Map.Entry<String, Duration> e : List.copyOf(stopping.entrySet())) {
        if (now.compareTo(e.getValue()) >= 0) {
          stopping.remove(e.getKey());
          PlacementAttempt c = standing.remove(e.getKey());
          if (c != null) {
            listener.attemptEnded(c, Outcome.CANCELLED, OutcomeReason.UNSPECIFIED);
          }
        }
      }
    }
    if (gone || standing.isEmpty()) {
      wants = false;
      return;
    }
    boolean silent = now.minus(heardAt).compareTo(connectionTimeouts.silenceTimeout()) >= 0;
    boolean bare =
        connections.isEmpty()
            && (!spared || now.minus(triedAt).compareTo(MAX_TIME_UNCONNECTED) >= 0);
    wants =
        (bare || silent && !opening())
            && now.minus(triedAt).compareTo(connectionTimeouts.connectTimeout()) >= 0;
  }

  private void look(Duration now) {
    boolean kept = false;
    for (MachineConnection s : connections.toArray(new MachineConnection[0])) {
      if (s.state == MachineConnection.State.OPENING && now.compareTo(s.connectBy) >= 0) {
        transport.close(s);
        connectionFailed(s, false, now);
      } else if (s.state != MachineConnection.State.OPENING
          && s.probeSentAt != null
          && now.minus(s.probeSentAt).compareTo(connectionTimeouts.connectTimeout()) >= 0) {
        probeFails(s, now);
        s.state = MachineConnection.State.SPENT;
        closeIfSpent(s);
      } else if (s.state == MachineConnection.State.OPEN && s.isIdle()) {
        // One is kept, for what the machine has to say of what stands; the others go once unused.
        if (kept && now.minus(s.lastUsedAt).compareTo(connectionTimeouts.idleTimeout()) >= 0) {
          shut(s, now);
        }
        kept = true;
      }
    }
  }

  /**
   * Whether it has to be connected to, by the last tick: there are VMs that may end, and nothing to
   * hear it by.
   */
  public boolean needsConnection() {
    return wants;
  }

  /** When it was connected to last, or tried to be. */
  public Duration lastConnectAttemptAt() {
    return triedAt;
  }

  /** Connects to it if there is a descriptor left. */
  public void reconnect(Duration now) {
    if (transport.canOpen()) {
      wants = false;
      open(now);
    }
  }

  /**
   * Since when one of its connections has been of no use but for what the machine may say; empty:
   * none is.
   */
  public Optional<Duration> idleSince() {
    return idlest().map(s -> s.lastUsedAt);
  }

  /** Closes that connection, for another machine's sake. */
  public void closeIdleConnection(Duration now) {
    idlest()
        .ifPresent(
            s -> {
              shut(s, now);
              spared = connections.isEmpty();
            });
  }

  private Optional<MachineConnection> idlest() {
    return connections.stream()
        .filter(s -> s.state == MachineConnection.State.OPEN && s.isIdle())
        .min(Comparator.comparing(s -> s.lastUsedAt));
  }

  private boolean opening() {
    return connections.stream().anyMatch(s -> s.state == MachineConnection.State.OPENING);
  }

  // ---- Within
  // ----------------------------------------------------------------------------------------

  /**
   * A connection that carries nothing and was good a moment ago (or where any will do, of a machine
   * that was heard from of late: a handshake is the dearest part of most set-ups); else a new one;
   * else the one that carries least.
   */
  private MachineConnection free(boolean any, Duration now) {
    Duration proven = any ? connectionTimeouts.idleTimeout() : connectionTimeouts.provenFor();
    MachineConnection least = null;
    for (MachineConnection s : connections) {
      if (s.state == MachineConnection.State.OPEN) {
        Duration good = any && heardAt.compareTo(s.lastUsedAt) > 0 ? heardAt : s.lastUsedAt;
        if (s.isIdle() && now.minus(good).compareTo(proven) < 0) {
          return s;
        }
        if (least == null || s.placementRequests.size() < least.placementRequests.size()) {
          least = s;
        }
      }
    }
    return transport.canOpen() ? open(now) : least;
  }

  private MachineConnection any() {
    MachineConnection some = null;
    for (MachineConnection s : connections) {
      if (s.state == MachineConnection.State.OPEN || s.state == MachineConnection.State.SPENT) {
        some = s;
      }
    }
    return some;
  }

  private MachineConnection open(Duration now) {
    MachineConnection s = new MachineConnection();
    s.connectBy = now.plus(connectionTimeouts.connectTimeout());
    s.lastUsedAt = now;
    triedAt = now;
    spared = false;
    connections.add(s);
    transport.open(s);
    return s;
  }

  private void carry(MachineConnection s, PlacementRequest u, Duration now) {
    Duration left = u.answerBy().minus(now);
    s.lastUsedAt = now;
    transport.requestPlacement(s, u.attempt(), left);
  }

  private void sendProbe(MachineConnection s, Duration now) {
    transport.probe(s);
  }

  private void probeFails(MachineConnection s, Duration now) {
    if (s.probeSentAt != null) {
      Duration took = now.minus(s.probeSentAt);
      s.probeSentAt = null;
      listener.probeCompleted(machine, false, false, took);
    }
  }

  private static List<PlacementRequest> takeAll(MachineConnection s) {
    List<PlacementRequest> all = new ArrayList<>(s.placementRequests.values());
    s.placementRequests.clear();
    return all;
  }

  private void closeIfSpent(MachineConnection s) {
    if (s.state == MachineConnection.State.SPENT
        && s.placementRequests.isEmpty()
        && connections.remove(s)) {
      s.state = MachineConnection.State.CLOSED;
      transport.close(s);
    }
  }

  private void shut(MachineConnection s, Duration now) {
    if (connections.remove(s)) {
      s.state = MachineConnection.State.CLOSED;
      probeFails(s, now);
      transport.close(s);
    }
  }
}
