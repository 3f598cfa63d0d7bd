package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What one placer may conclude of its claims on one machine where each set-up is bound to the
 * connection that carries it, and what stands is bound to none: which never ran, which may have
 * run, which run. Free of I/O, threads and clocks: the time comes in, and it acts through {@link
 * Line} and {@link Fate}.
 *
 * <p>A set-up that no connection has carried yet never ran. One on a connection that breaks, or
 * says what can't be read, may have run. So a connection carries one set-up at a time while there
 * are connections to be had: what spoils one takes no other with it. What stands is lost on the
 * machine's own word, on the list's, or when the machine is dead: it refuses connections twice in a
 * row, or is silent and lets no connection come up for a while.
 */
public final class MachineConnectionPool {
  /** One connection to the machine. */
  public static final class Connection {
    private enum Stage {
      OPENING,
      OPEN,
      SPENT,
      CLOSED
    }

    /** What the transport keeps by it. */
    public Object wire;

    private Stage stage = Stage.OPENING;
    private Duration due;
    private Duration usedAt;
    private Duration probeSentAt;
    private final Map<String, PlacementRequest> setUps = new LinkedHashMap<>();

    private boolean idle() {
      return setUps.isEmpty() && probeSentAt == null;
    }
  }

  /** The connections, as far as the trunk may act on them. */
  public interface Transport {
    /** Whether there is a descriptor left for one more. */
    boolean mayOpen();

    /** Begins to connect; what comes of it is told later. */
    void open(Connection connection);

    void close(Connection connection);

    void setUp(Connection connection, PlacementAttempt attempt, Duration within);

    void giveUp(Connection connection, String vm);

    void cut(Connection connection, String vm);

    void probe(Connection connection);
  }

  /** What the trunk concludes. */
  public interface AttemptListener {
    /** The description is what the machine gave for this VM. */
    void bound(PlacementAttempt attempt, String description);

    void ended(PlacementAttempt attempt, Outcome end, OutcomeReason why);

    /**
     * The VM ran on the machine and is over there, and the answer to its set-up never came: it must
     * not be placed again, and its owner has to hear at once that it failed.
     */
    void endedUnanswered(PlacementAttempt attempt, Outcome end, OutcomeReason why);

    void probed(Machine machine, boolean ok, boolean told, Duration took);
  }

  /**
   * What stood and can't be told of has to be told within 8 s of its end: so long a silence is
   * looked into at the latest, and so long a machine that holds VMs may be left without a
   * connection where there are too few.
   */
  private static final Duration SILENT = Duration.ofSeconds(4);

  private static final Duration VISIT = Duration.ofSeconds(4);

  /** Spans from what was read at start. */
  public record ConnectionTimeouts(Duration connectTimeout, Duration settle) {
    /**
     * How long a connection is kept unused beside another, and an ended VM's machine is waited for.
     */
    Duration doubted() {
      return settle.dividedBy(2);
    }

    /**
     * Silence after which a machine with VMs is asked for a new connection, to learn whether it is
     * there.
     */
    Duration silent() {
      return settle.compareTo(SILENT) < 0 ? settle : SILENT;
    }

    /** Silence, with no connection coming up, after which what ran there is lost. */
    public Duration dead() {
      return silent().multipliedBy(3).dividedBy(2);
    }

    /** A connection heard from so lately is taken to be good. */
    Duration proven() {
      return settle.dividedBy(12);
    }
  }

  private static final class PlacementRequest {
    final PlacementAttempt attempt;
    final Duration by;

    /**
     * The machine has said something that it says only of a VM that runs there; its answer is still
     * to come.
     */
    boolean running;

    PlacementRequest(PlacementAttempt attempt, Duration by) {
      this.attempt = attempt;
      this.by = by;
    }
  }

  private final Machine machine;
  private ConnectionTimeouts connectionTimeouts;
  private final Transport line;
  private final AttemptListener fate;
  private final Set<Connection> connections = new LinkedHashSet<>();
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
      Transport line,
      AttemptListener fate) {
    this.machine = machine;
    this.connectionTimeouts = connectionTimeouts;
    this.line = line;
    this.fate = fate;
  }

  /** Other spans hold from now on. */
  public void connectionTimeouts(ConnectionTimeouts next) {
    connectionTimeouts = next;
  }

  public int connections() {
    return connections.size();
  }

  public int standing() {
    return standing.size();
  }

  /** Nothing is known of it any more, and nothing is owed to it. */
  public boolean over() {
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
      fate.ended(attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
      return;
    }
    Connection s = free(again, now);
    if (s == null) {
      // Every descriptor is taken: not sent at all.
      fate.ended(attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
      return;
    }
    PlacementRequest u = new PlacementRequest(attempt, now.plus(within));
    s.setUps.put(attempt.vm.id, u);
    if (s.stage == Connection.Stage.OPEN) {
      carry(s, u, now);
    }
  }

  /**
   * The placer waits no longer; ends as {@code how} if a connection has carried it, else it never
   * ran.
   */
  public void giveUp(PlacementAttempt attempt, Outcome how, Duration now) {
    for (Connection s : connections) {
      PlacementRequest u = s.setUps.get(attempt.vm.id);
      if (u != null && u.attempt == attempt) {
        s.setUps.remove(attempt.vm.id);
        boolean carried = s.stage != Connection.Stage.OPENING;
        if (carried) {
          line.giveUp(s, attempt.vm.id);
          // What comes late on it must not be taken for the answer to a later set-up of the same
          // VM.
          s.stage = Connection.Stage.SPENT;
        }
        closeIfSpent(s);
        fate.ended(attempt, carried ? how : Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
        return;
      }
    }
    if (attempt.isInFlight() && attempt.acceptedAt == null) {
      fate.ended(attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
    }
  }

  /**
   * Its owner, or a move, ends a VM that stands. The machine's word ends the claim, or its silence
   * does.
   */
  public void stop(PlacementAttempt attempt, Duration now) {
    if (standing.get(attempt.vm.id) == attempt && !stopping.containsKey(attempt.vm.id)) {
      stopping.put(attempt.vm.id, now.plus(connectionTimeouts.doubted()));
      Connection s = any();
      if (s != null) {
        line.cut(s, attempt.vm.id);
      }
    }
  }

  public void probe(Duration now) {
    Connection s = gone ? null : free(true, now);
    if (s == null) {
      fate.probed(machine, false, false, Duration.ZERO);
      return;
    }
    s.probeSentAt = now;
    if (s.stage == Connection.Stage.OPEN) {
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
  public void listed(Machine.Lifecycle as, Duration now) {
    draining = as != Machine.Lifecycle.LIVE;
    if (draining) {
      for (Connection s : List.copyOf(connections)) {
        if (s.stage == Connection.Stage.OPENING) {
          for (PlacementRequest u : takeAll(s)) {
            fate.ended(u.attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
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
  public void restarted(Duration at) {
    for (PlacementAttempt c : List.copyOf(standing.values())) {
      if (c.acceptedAt != null && c.acceptedAt.compareTo(at) < 0) {
        lost(c);
      }
    }
  }

  private void lost(PlacementAttempt c) {
    standing.remove(c.vm.id);
    stopping.remove(c.vm.id);
    fate.ended(c, Outcome.RESET, OutcomeReason.UNSPECIFIED);
  }

  /** The process is no more, or can't be reached: nothing that it held is waited for. */
  private void dies(Duration now) {
    for (Connection s : List.copyOf(connections)) {
      boolean carried = s.stage != Connection.Stage.OPENING;
      for (PlacementRequest u : takeAll(s)) {
        fate.ended(
            u.attempt, carried ? Outcome.RESET : Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
      }
      shut(s, now);
    }
    for (PlacementAttempt c : List.copyOf(standing.values())) {
      lost(c);
    }
  }

  // ---- What the connections do
  // ---------------------------------------------------------------------------

  public void connected(Connection s, Duration now) {
    if (s.stage != Connection.Stage.OPENING) {
      return;
    }
    heard(now);
    s.stage = Connection.Stage.OPEN;
    s.due = null;
    s.usedAt = now;
    for (PlacementRequest u : List.copyOf(s.setUps.values())) {
      carry(s, u, now);
    }
    // Said on a connection that broke, or on none: a machine that heard it already passes it over.
    stopping.keySet().forEach(vm -> line.cut(s, vm));
    if (s.probeSentAt != null) {
      sendProbe(s, now);
    }
  }

  /** Anything at all came from the machine. */
  public void heard(Duration now) {
    heardAt = now;
    refusals = 0;
    timeouts = 0;
  }

  /** No connection came up: refused, or no word in time. */
  public void failed(Connection s, boolean refused, Duration now) {
    if (!connections.remove(s)) {
      return;
    }
    s.stage = Connection.Stage.CLOSED;
    refusals = refused ? refusals + 1 : 0;
    timeouts += refused ? 0 : 1;
    for (PlacementRequest u : takeAll(s)) {
      fate.ended(u.attempt, Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
    }
    probeFails(s, now);
    if (refusals >= 2
        || timeouts >= 2 && now.minus(heardAt).compareTo(connectionTimeouts.dead()) >= 0) {
      // Nobody listens there any more, or nothing has come up for long: what ran was cut with the
      // process.
      dies(now);
    }
  }

  /**
   * A connection broke, was closed, or said what can't be read: all that it carried may have run.
   */
  public void broke(Connection s, Duration now) {
    if (!connections.remove(s)) {
      return;
    }
    // It had come up, even where this is heard before that: what it had not carried yet never ran.
    boolean carried = s.stage != Connection.Stage.OPENING;
    s.stage = Connection.Stage.CLOSED;
    for (PlacementRequest u : takeAll(s)) {
      fate.ended(
          u.attempt, carried ? Outcome.RESET : Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
    }
    probeFails(s, now);
  }

  /** The machine says that a VM stands; passed over unless this connection carries its set-up. */
  public void stands(Connection s, String vm, String description, Duration now) {
    PlacementRequest u = s.setUps.remove(vm);
    if (u == null) {
      return;
    }
    s.usedAt = now;
    standing.put(vm, u.attempt);
    fate.bound(u.attempt, description);
    closeIfSpent(s);
  }

  /**
   * The machine notes something on a VM, as it does only of one that runs: its answer may be late
   * or lost.
   */
  public void noted(Connection s, String vm) {
    PlacementRequest u = s.setUps.get(vm);
    if (u != null) {
      u.running = true;
    }
  }

  /**
   * The machine ends a set-up on this connection, or what stands (on any); unknown ids are passed
   * over.
   */
  public void ended(
      Connection s, String vm, Outcome before, Outcome after, OutcomeReason why, Duration now) {
    PlacementRequest u = s.setUps.remove(vm);
    if (u != null) {
      s.usedAt = now;
      if (u.running && after != null) {
        fate.endedUnanswered(u.attempt, after, why);
      } else {
        fate.ended(u.attempt, before, why);
      }
      closeIfSpent(s);
      return;
    }
    PlacementAttempt c = after == null ? null : standing.remove(vm);
    if (c != null) {
      stopping.remove(vm);
      fate.ended(c, after, why);
    }
  }

  public void probed(Connection s, boolean ok, boolean told, Duration now) {
    if (s.probeSentAt != null) {
      Duration took = now.minus(s.probeSentAt);
      s.probeSentAt = null;
      s.usedAt = now;
      fate.probed(machine, ok, told, took);
      closeIfSpent(s);
    }
  }

  /** The claim that stands there under this name, or null. */
  public PlacementAttempt attempt(String vm) {
    return standing.get(vm);
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
            fate.ended(c, Outcome.CANCELLED, OutcomeReason.UNSPECIFIED);
          }
        }
      }
    }
    if (gone || standing.isEmpty()) {
      wants = false;
      return;
    }
    boolean silent = now.minus(heardAt).compareTo(connectionTimeouts.silent()) >= 0;
    boolean bare = connections.isEmpty() && (!spared || now.minus(triedAt).compareTo(VISIT) >= 0);
    wants =
        (bare || silent && !opening())
            && now.minus(triedAt).compareTo(connectionTimeouts.connectTimeout) >= 0;
  }

  private void look(Duration now) {
    boolean kept = false;
    for (Connection s : connections.toArray(new Connection[0])) {
      if (s.stage == Connection.Stage.OPENING && now.compareTo(s.due) >= 0) {
        line.close(s);
        failed(s, false, now);
      } else if (s.stage != Connection.Stage.OPENING
          && s.probeSentAt != null
          && now.minus(s.probeSentAt).compareTo(connectionTimeouts.connectTimeout) >= 0) {
        probeFails(s, now);
        s.stage = Connection.Stage.SPENT;
        closeIfSpent(s);
      } else if (s.stage == Connection.Stage.OPEN && s.idle()) {
        // One is kept, for what the machine has to say of what stands; the others go once unused.
        if (kept && now.minus(s.usedAt).compareTo(connectionTimeouts.doubted()) >= 0) {
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
  public boolean wants() {
    return wants;
  }

  /** When it was connected to last, or tried to be. */
  public Duration triedAt() {
    return triedAt;
  }

  /** Connects to it if there is a descriptor left. */
  public void visit(Duration now) {
    if (line.mayOpen()) {
      wants = false;
      open(now);
    }
  }

  /**
   * Since when one of its connections has been of no use but for what the machine may say; null:
   * none is.
   */
  public Duration idleSince() {
    return idlest().map(s -> s.usedAt).orElse(null);
  }

  /** Closes that connection, for another machine's sake. */
  public void spare(Duration now) {
    idlest()
        .ifPresent(
            s -> {
              shut(s, now);
              spared = connections.isEmpty();
            });
  }

  private Optional<Connection> idlest() {
    return connections.stream()
        .filter(s -> s.stage == Connection.Stage.OPEN && s.idle())
        .min(Comparator.comparing(s -> s.usedAt));
  }

  private boolean opening() {
    return connections.stream().anyMatch(s -> s.stage == Connection.Stage.OPENING);
  }

  // ---- Within
  // ----------------------------------------------------------------------------------------

  /**
   * A connection that carries nothing and was good a moment ago (or where any will do, of a machine
   * that was heard from of late: a handshake is the dearest part of most set-ups); else a new one;
   * else the one that carries least.
   */
  private Connection free(boolean any, Duration now) {
    Duration proven = any ? connectionTimeouts.doubted() : connectionTimeouts.proven();
    Connection least = null;
    for (Connection s : connections) {
      if (s.stage == Connection.Stage.OPEN) {
        Duration good = any && heardAt.compareTo(s.usedAt) > 0 ? heardAt : s.usedAt;
        if (s.idle() && now.minus(good).compareTo(proven) < 0) {
          return s;
        }
        if (least == null || s.setUps.size() < least.setUps.size()) {
          least = s;
        }
      }
    }
    return line.mayOpen() ? open(now) : least;
  }

  private Connection any() {
    Connection some = null;
    for (Connection s : connections) {
      if (s.stage == Connection.Stage.OPEN || s.stage == Connection.Stage.SPENT) {
        some = s;
      }
    }
    return some;
  }

  private Connection open(Duration now) {
    Connection s = new Connection();
    s.due = now.plus(connectionTimeouts.connectTimeout);
    s.usedAt = now;
    triedAt = now;
    spared = false;
    connections.add(s);
    line.open(s);
    return s;
  }

  private void carry(Connection s, PlacementRequest u, Duration now) {
    Duration left = u.by.minus(now);
    s.usedAt = now;
    line.setUp(s, u.attempt, left);
  }

  private void sendProbe(Connection s, Duration now) {
    line.probe(s);
  }

  private void probeFails(Connection s, Duration now) {
    if (s.probeSentAt != null) {
      Duration took = now.minus(s.probeSentAt);
      s.probeSentAt = null;
      fate.probed(machine, false, false, took);
    }
  }

  private static List<PlacementRequest> takeAll(Connection s) {
    List<PlacementRequest> all = new ArrayList<>(s.setUps.values());
    s.setUps.clear();
    return all;
  }

  private void closeIfSpent(Connection s) {
    if (s.stage == Connection.Stage.SPENT && s.setUps.isEmpty() && connections.remove(s)) {
      s.stage = Connection.Stage.CLOSED;
      line.close(s);
    }
  }

  private void shut(Connection s, Duration now) {
    if (connections.remove(s)) {
      s.stage = Connection.Stage.CLOSED;
      probeFails(s, now);
      line.close(s);
    }
  }
}
