package fordridge.machine;

import fordridge.model.Durations;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SeededRandom;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one placer may conclude of its claims on one machine from what its stream to it does: which
 * never ran, which may have run, which run. Free of I/O, threads and clocks: the time comes in, and
 * it acts through {@link Line} and {@link Fate}.
 *
 * <p>A claim whose offer was not written never ran. One whose offer was written and not answered
 * when the stream broke may have run; if it must not run twice, the stream gets a short while to
 * come back, and the machine then says whether it holds it. A VM that runs is lost only on the
 * machine's own word or on the list's, never because a stream broke: it may well run on behind a
 * broken path.
 */
public final class MachineStream {
  /**
   * Closed: no stream wanted. Waiting: a try failed, the next is due later. Greeted: Holding has
   * come.
   */
  public enum Phase {
    CLOSED,
    CONNECTING,
    GREETED,
    WAITING
  }

  /** A claim as both sides name it. */
  public record AttemptId(String vm, int number) {}

  /** One line of what a machine says it holds. */
  public record ReportedVm(
      AttemptId name,
      State state,
      String priorityClass,
      long service,
      String tenant,
      double cores,
      double memory,
      String client) {
    public enum State {
      IN_LINE,
      RUNNING,
      ENDED,
      REFUSED
    }
  }

  /** The stream, as far as the link may act on it. */
  public interface Transport {
    void connect();

    void close(String why);

    /** Whether a message would be written now rather than queue up. */
    boolean ready();

    void offer(PlacementAttempt attempt, AttemptId name, Duration within);

    void cancel(AttemptId name);

    void stop(AttemptId name);

    void probe();
  }

  /** What the link concludes, handed to the module. */
  public interface AttemptListener {
    void bound(PlacementAttempt attempt, boolean running);

    void ended(PlacementAttempt attempt, Outcome end, OutcomeReason why);

    void runsAlready(ReportedVm held, Machine machine);

    void probed(Machine machine, boolean ok, Duration took);

    /** A claim that was given up is now known not to be there any more. */
    void cleared(PlacementAttempt attempt);

    /** News of the stream for those on call. */
    void note(Machine machine, String line);
  }

  /** How streams are opened, kept and given up; spans from the settings. */
  public record ConnectionTimeouts(
      Duration connectTimeout,
      Duration idle,
      Duration retryLeast,
      Duration retryMost,
      Duration unsure,
      Duration probeTimeout,
      int line,
      boolean yesAtAcceptance) {}

  private enum Stage {
    QUEUED,
    WRITTEN,
    UNSURE,
    BOUND,
    ABANDONED
  }

  private static final class Entry {
    final AttemptId name;
    final PlacementAttempt attempt;
    final boolean mayRepeat;
    Duration by;
    Stage stage = Stage.QUEUED;
    Duration unsureUntil;

    Entry(AttemptId name, PlacementAttempt attempt, boolean mayRepeat) {
      this.name = name;
      this.attempt = attempt;
      this.mayRepeat = mayRepeat;
    }
  }

  private final Machine machine;
  private final ConnectionTimeouts connectionTimeouts;
  private final Transport line;
  private final AttemptListener fate;
  private final SeededRandom chance;
  private final Map<AttemptId, Entry> entries = new LinkedHashMap<>();
  private final Deque<Entry> queue = new ArrayDeque<>();
  private Phase phase = Phase.CLOSED;
  private boolean gone;
  private boolean callWanted;
  private boolean probeQueued;
  private Duration probeSentAt;
  private long incarnation = -1;
  private int failures;
  private Duration connectBy;
  private Duration retryAt;
  private Duration usedAt = Duration.ZERO;

  public MachineStream(
      Machine machine,
      ConnectionTimeouts connectionTimeouts,
      Transport line,
      AttemptListener fate,
      SeededRandom chance) {
    this.machine = machine;
    this.connectionTimeouts = connectionTimeouts;
    this.line = line;
    this.fate = fate;
    this.chance = chance;
  }

  public Phase phase() {
    return phase;
  }

  public int attempts() {
    return entries.size();
  }

  public int queued() {
    return queue.size();
  }

  // ---- What the placer wants
  // -------------------------------------------------------------------------

  /** Offers a claim; {@code mayRepeat} if a second run does no harm. */
  public void offer(
      PlacementAttempt attempt, AttemptId name, boolean mayRepeat, Duration within, Duration now) {
    usedAt = now;
    if (phase == Phase.WAITING || gone) {
      // The last try failed a moment ago: known not to have run, and no cheaper word for it.
      fate.ended(attempt, Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
    } else if (queue.size() >= connectionTimeouts.line) {
      fate.ended(attempt, Outcome.FULL, OutcomeReason.QUEUE_FULL);
    } else {
      Entry e = new Entry(name, attempt, mayRepeat);
      e.by = now.plus(within);
      entries.put(name, e);
      queue.addLast(e);
      wantStream(now);
      pump(now);
    }
  }

  /** The placer waits no longer; true if the machine was never offered the claim. */
  public boolean giveUp(PlacementAttempt attempt, Duration now) {
    Entry e = entryOf(attempt);
    if (e == null) {
      return false;
    }
    if (e.stage == Stage.QUEUED) {
      drop(e);
      return true;
    }
    abandon(e);
    return false;
  }

  /** Stops a bound VM. */
  public void stop(PlacementAttempt attempt, Duration now) {
    Entry e = entryOf(attempt);
    if (e != null && phase == Phase.GREETED) {
      line.stop(e.name);
    }
    usedAt = now;
  }

  public void probe(Duration now) {
    usedAt = now;
    if (phase == Phase.WAITING || gone) {
      fate.probed(machine, false, Duration.ZERO);
      return;
    }
    probeQueued = true;
    probeSentAt = now;
    wantStream(now);
    pump(now);
  }

  /** Opens a stream only to learn what the machine holds, as after the placer's own start. */
  public void call(Duration now) {
    callWanted = true;
    usedAt = now;
    if (phase == Phase.CLOSED && !gone) {
      wantStream(now);
    }
  }

  // ---- What the list says
  // ----------------------------------------------------------------------------

  /**
   * Told that it drains: what was decided but not yet written is taken back, and goes elsewhere.
   */
  public void drains() {
    for (Entry e : List.copyOf(queue)) {
      drop(e);
      fate.ended(e.attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
    }
  }

  /** Told that it is gone, or listed again. */
  public void listed(boolean isGone, Duration now) {
    boolean news = isGone != gone;
    gone = isGone;
    if (!news) {
      return;
    }
    if (gone) {
      drains();
      if (phase != Phase.GREETED) {
        lose();
        if (phase == Phase.CONNECTING) {
          line.close("the machine is listed as gone");
        }
        phase = Phase.CLOSED;
      }
    } else {
      failures = 0;
      if (phase == Phase.WAITING) {
        retryAt = now;
      }
    }
  }

  /**
   * Gone for good, by the list and without a stream: what ran there is lost, what may have run may
   * have run.
   */
  private void lose() {
    for (Entry e : List.copyOf(entries.values())) {
      drop(e);
      if (e.stage != Stage.ABANDONED) {
        fate.ended(
            e.attempt,
            e.stage == Stage.QUEUED ? Outcome.UNREACHABLE : Outcome.RESET,
            OutcomeReason.UNSPECIFIED);
      }
    }
  }

  // ---- What the stream does
  // --------------------------------------------------------------------------

  /** The first word of a stream: what the machine holds of ours. */
  public void holding(long itsIncarnation, Collection<ReportedVm> helds, Duration now) {
    if (phase != Phase.CONNECTING) {
      return;
    }
    phase = Phase.GREETED;
    failures = 0;
    callWanted = false;
    connectBy = null;
    usedAt = now;
    boolean restarted = incarnation >= 0 && incarnation != itsIncarnation;
    incarnation = itsIncarnation;
    Set<AttemptId> named = new HashSet<>();
    for (ReportedVm h : helds) {
      named.add(h.name);
      Entry e = entries.get(h.name);
      if (e != null) {
        resume(e, h, now);
      } else if (h.state == ReportedVm.State.RUNNING) {
        fate.runsAlready(h, machine);
      } else if (h.state == ReportedVm.State.IN_LINE) {
        // Offered by an earlier life of this placer: nobody waits for it.
        line.cancel(h.name);
      }
    }
    for (Entry e : List.copyOf(entries.values())) {
      if (e.stage != Stage.QUEUED && !named.contains(e.name)) {
        drop(e);
        missing(e, restarted);
      }
    }
    pump(now);
  }

  /** The machine still knows a claim of ours. */
  private void resume(Entry e, ReportedVm h, Duration now) {
    if (e.stage == Stage.ABANDONED) {
      if (h.state == ReportedVm.State.RUNNING || h.state == ReportedVm.State.IN_LINE) {
        line.cancel(e.name);
      } else {
        drop(e);
      }
      return;
    }
    switch (h.state) {
      case RUNNING -> started(e.name, now);
      case IN_LINE -> {
        if (e.stage != Stage.BOUND) {
          e.stage = Stage.WRITTEN;
        }
      }
      case ENDED ->
          finished(
              e.name,
              e.stage == Stage.BOUND ? Outcome.DONE : Outcome.ERROR,
              OutcomeReason.UNSPECIFIED,
              now);
      case REFUSED -> refused(e.name, OutcomeReason.UNSPECIFIED, now);
      default -> throw new IllegalStateException(h.state.name());
    }
  }

  /** The machine knows nothing of a claim that was written to it. */
  private void missing(Entry e, boolean restarted) {
    if (e.stage == Stage.BOUND) {
      fate.ended(e.attempt, Outcome.RESET, OutcomeReason.UNSPECIFIED);
    } else if (e.stage != Stage.ABANDONED) {
      // It remembers what it took in since its start: the offer never reached it, unless it started
      // anew.
      fate.ended(
          e.attempt, restarted ? Outcome.RESET : Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
    }
  }

  /** More can be written. */
  public void ready(Duration now) {
    pump(now);
  }

  /** The stream broke, could not be opened, or said what it may not. */
  public void broke(String why, Duration now) {
    if (phase != Phase.CONNECTING && phase != Phase.GREETED) {
      return;
    }
    boolean was = phase == Phase.GREETED;
    phase = Phase.WAITING;
    failures++;
    connectBy = null;
    retryAt = now.plus(wait(failures));
    probeFailed(now);
    for (Entry e : List.copyOf(entries.values())) {
      if (e.stage == Stage.QUEUED) {
        drop(e);
        fate.ended(e.attempt, Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
      } else if (e.stage == Stage.WRITTEN && e.mayRepeat) {
        e.stage = Stage.ABANDONED;
        fate.ended(e.attempt, Outcome.RESET, OutcomeReason.UNSPECIFIED);
      } else if (e.stage == Stage.WRITTEN) {
        e.stage = Stage.UNSURE;
        e.unsureUntil = min(now.plus(connectionTimeouts.unsure), e.by);
      }
    }
    if (was || failures == 1) {
      fate.note(machine, "stream broke: " + why);
    }
    if (gone) {
      lose();
      phase = Phase.CLOSED;
    }
  }

  public void accepted(AttemptId name, Duration now) {
    Entry e = entries.get(name);
    if (e != null && e.stage == Stage.WRITTEN && connectionTimeouts.yesAtAcceptance) {
      e.stage = Stage.BOUND;
      fate.bound(e.attempt, false);
    }
  }

  public void started(AttemptId name, Duration now) {
    Entry e = entries.get(name);
    if (e == null || e.stage == Stage.ABANDONED) {
      return;
    }
    e.stage = Stage.BOUND;
    fate.bound(e.attempt, true);
  }

  public void refused(AttemptId name, OutcomeReason why, Duration now) {
    Entry e = entries.get(name);
    if (e != null) {
      drop(e);
      if (e.stage != Stage.ABANDONED) {
        fate.ended(e.attempt, e.stage == Stage.BOUND ? Outcome.RESET : Outcome.FULL, why);
      }
    }
    usedAt = now;
  }

  public void finished(AttemptId name, Outcome end, OutcomeReason why, Duration now) {
    Entry e = entries.get(name);
    if (e != null) {
      drop(e);
      if (e.stage != Stage.ABANDONED) {
        fate.ended(e.attempt, end, why);
      }
    }
    usedAt = now;
  }

  /** The claim that goes by that name and is still ours to hear of, or null. */
  public PlacementAttempt attempt(AttemptId name) {
    Entry e = entries.get(name);
    return e == null || e.stage == Stage.ABANDONED ? null : e.attempt;
  }

  /** A VM of an earlier life runs there: from now on it is one of ours. */
  public void adopt(AttemptId name, PlacementAttempt attempt) {
    Entry e = new Entry(name, attempt, false);
    e.stage = Stage.BOUND;
    entries.put(name, e);
  }

  public void reported(boolean answersProbe, Duration now) {
    if (answersProbe && probeSentAt != null) {
      Duration took = now.minus(probeSentAt);
      probeSentAt = null;
      fate.probed(machine, true, took);
    }
  }

  // ---- What time does
  // --------------------------------------------------------------------------------

  /** When {@link #tick} has something to do, or null. */
  public Duration due() {
    Duration due = null;
    for (Entry e : entries.values()) {
      if (e.stage == Stage.UNSURE) {
        due = min(due, e.unsureUntil);
      }
    }
    if (probeSentAt != null) {
      due = min(due, probeSentAt.plus(connectionTimeouts.probeTimeout));
    }
    if (phase == Phase.CONNECTING) {
      due = min(due, connectBy);
    } else if (phase == Phase.WAITING) {
      due = min(due, retryAt);
    } else if (phase == Phase.GREETED && entries.isEmpty()) {
      due = min(due, usedAt.plus(connectionTimeouts.idle));
    }
    return due;
  }

  public void tick(Duration now) {
    for (Entry e : List.copyOf(entries.values())) {
      if (e.stage == Stage.UNSURE && now.compareTo(e.unsureUntil) >= 0) {
        e.stage = Stage.ABANDONED;
        fate.ended(e.attempt, Outcome.RESET, OutcomeReason.UNSPECIFIED);
      }
    }
    if (probeSentAt != null
        && now.compareTo(probeSentAt.plus(connectionTimeouts.probeTimeout)) >= 0) {
      probeFailed(now);
    }
    if (phase == Phase.CONNECTING && now.compareTo(connectBy) >= 0) {
      line.close("no word from the machine in time");
      broke("no word from the machine in time", now);
    } else if (phase == Phase.WAITING && now.compareTo(retryAt) >= 0) {
      phase = Phase.CLOSED;
      if ((callWanted || !entries.isEmpty()) && !gone) {
        wantStream(now);
      }
    } else if (phase == Phase.GREETED
        && entries.isEmpty()
        && now.compareTo(usedAt.plus(connectionTimeouts.idle)) >= 0) {
      line.close("idle");
      phase = Phase.CLOSED;
    }
  }

  // ---- Within
  // ----------------------------------------------------------------------------------------

  private void wantStream(Duration now) {
    if (phase == Phase.CLOSED) {
      phase = Phase.CONNECTING;
      connectBy = now.plus(connectionTimeouts.connectTimeout);
      line.connect();
    }
  }

  private void pump(Duration now) {
    if (phase != Phase.GREETED) {
      return;
    }
    while (!queue.isEmpty() && line.ready()) {
      Entry e = queue.removeFirst();
      e.stage = Stage.WRITTEN;
      Duration left = e.by.minus(now);
      line.offer(e.attempt, e.name, left.isNegative() ? Duration.ZERO : left);
    }
    if (probeQueued && line.ready()) {
      probeQueued = false;
      line.probe();
    }
  }

  private void abandon(Entry e) {
    if (e.stage == Stage.ABANDONED) {
      return;
    }
    e.stage = Stage.ABANDONED;
    if (phase == Phase.GREETED) {
      line.cancel(e.name);
    }
  }

  private void probeFailed(Duration now) {
    probeQueued = false;
    if (probeSentAt != null) {
      Duration took = now.minus(probeSentAt);
      probeSentAt = null;
      fate.probed(machine, false, took);
    }
  }

  private void drop(Entry e) {
    entries.remove(e.name);
    if (e.stage == Stage.ABANDONED) {
      fate.cleared(e.attempt);
    }
    if (e.stage == Stage.QUEUED) {
      queue.remove(e);
    }
  }

  private Entry entryOf(PlacementAttempt attempt) {
    for (Entry e : entries.values()) {
      if (e.attempt == attempt) {
        return e;
      }
    }
    return null;
  }

  /** Doubles with each failure from the least to the most, drawn from its upper half. */
  private Duration wait(int after) {
    double most = Durations.toSeconds(connectionTimeouts.retryMost);
    double full =
        Math.min(
            most,
            Durations.toSeconds(connectionTimeouts.retryLeast)
                * Math.pow(2, Math.min(after - 1, 30)));
    return Durations.ofSeconds(full * (0.5 + chance.next() / 2));
  }

  private static Duration min(Duration a, Duration b) {
    return a == null || b != null && b.compareTo(a) < 0 ? b : a;
  }

  /** Names of what the machine may still hold though the placer gave it up, for those on call. */
  public List<AttemptId> abandoned() {
    List<AttemptId> some = new ArrayList<>();
    entries.values().stream()
        .filter(e -> e.stage == Stage.ABANDONED)
        .forEach(e -> some.add(e.name));
    return some;
  }
}
