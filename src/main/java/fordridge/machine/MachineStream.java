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
import java.util.Optional;
import java.util.Set;

/**
 * What one placer may conclude of its claims on one machine from what its stream to it does: which
 * never ran, which may have run, which run. Free of I/O, threads and clocks: the time comes in, and
 * it acts through {@link MachineStreamTransport} and {@link Listener}.
 *
 * <p>A claim whose offer was not written never ran. One whose offer was written and not answered
 * when the stream broke may have run; if it must not run twice, the stream gets a short while to
 * come back, and the machine then says whether it holds it. A VM that runs is lost only on the
 * machine's own word or on the list's, never because a stream broke: it may well run on behind a
 * broken path.
 */
public final class MachineStream {
  /** Where the stream is in its life cycle. */
  public enum State {
    /** No stream is wanted. */
    CLOSED,
    /** The stream is being opened, or the machine has not sent its inventory yet. */
    CONNECTING,
    /** The machine has sent its inventory. */
    ESTABLISHED,
    /** The last stream failed; the next is opened after a pause. */
    BACKING_OFF
  }

  /** Receives what is concluded from the stream to a machine. */
  public interface Listener extends AttemptListener {
    /** The machine accepted the VM or, if {@code running}, has started it. */
    void attemptAccepted(PlacementAttempt attempt, boolean running);

    /** The machine runs a VM of an earlier incarnation of this scheduler. */
    void unknownVmReported(ReportedVm reportedVm, Machine machine);

    /** A cancelled attempt is now known to hold nothing on its machine any more. */
    void attemptReleased(PlacementAttempt attempt);

    /** The stream broke, or the first attempt to connect failed. */
    void connectionLost(Machine machine, String reason);
  }

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
  private final MachineStreamSettings settings;
  private final MachineStreamTransport transport;
  private final Listener listener;
  private final SeededRandom chance;
  private final Map<AttemptId, Entry> entries = new LinkedHashMap<>();
  private final Deque<Entry> queue = new ArrayDeque<>();
  private State state = State.CLOSED;
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
      MachineStreamSettings settings,
      MachineStreamTransport transport,
      Listener listener,
      SeededRandom chance) {
    this.machine = machine;
    this.settings = settings;
    this.transport = transport;
    this.listener = listener;
    this.chance = chance;
  }

  public State state() {
    return state;
  }

  public int attemptCount() {
    return entries.size();
  }

  public int queuedCount() {
    return queue.size();
  }

  // ---- What the placer wants
  // -------------------------------------------------------------------------

  /** Offers a claim; {@code mayRepeat} if a second run does no harm. */
  public void offer(
      PlacementAttempt attempt, AttemptId name, boolean mayRepeat, Duration within, Duration now) {
    usedAt = now;
    if (state == State.BACKING_OFF || gone) {
      // The last try failed a moment ago: known not to have run, and no cheaper word for it.
      listener.attemptEnded(attempt, Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
    } else if (queue.size() >= settings.maxQueuedOffers()) {
      listener.attemptEnded(attempt, Outcome.FULL, OutcomeReason.QUEUE_FULL);
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
  public boolean cancel(PlacementAttempt attempt, Duration now) {
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
  public void terminate(PlacementAttempt attempt, Duration now) {
    Entry e = entryOf(attempt);
    if (e != null && state == State.ESTABLISHED) {
      transport.terminate(e.name);
    }
    usedAt = now;
  }

  public void probe(Duration now) {
    usedAt = now;
    if (state == State.BACKING_OFF || gone) {
      listener.probeCompleted(machine, false, false, Duration.ZERO);
      return;
    }
    probeQueued = true;
    probeSentAt = now;
    wantStream(now);
    pump(now);
  }

  /** Opens a stream only to learn what the machine holds, as after the placer's own start. */
  public void reconcile(Duration now) {
    callWanted = true;
    usedAt = now;
    if (state == State.CLOSED && !gone) {
      wantStream(now);
    }
  }

  // ---- What the list says
  // ----------------------------------------------------------------------------

  /**
   * Told that it drains: what was decided but not yet written is taken back, and goes elsewhere.
   */
  public void machineDraining() {
    for (Entry e : List.copyOf(queue)) {
      drop(e);
      listener.attemptEnded(e.attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
    }
  }

  /** Told that it is gone, or listed again. */
  public void machineListed(boolean isGone, Duration now) {
    boolean news = isGone != gone;
    gone = isGone;
    if (!news) {
      return;
    }
    if (gone) {
      machineDraining();
      if (state != State.ESTABLISHED) {
        lose();
        if (state == State.CONNECTING) {
          transport.close("the machine is listed as gone");
        }
        state = State.CLOSED;
      }
    } else {
      failures = 0;
      if (state == State.BACKING_OFF) {
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
        listener.attemptEnded(
            e.attempt,
            e.stage == Stage.QUEUED ? Outcome.UNREACHABLE : Outcome.RESET,
            OutcomeReason.UNSPECIFIED);
      }
    }
  }

  // ---- What the stream does
  // --------------------------------------------------------------------------

  /** The first word of a stream: what the machine holds of ours. */
  public void inventoryReceived(long itsIncarnation, Collection<ReportedVm> helds, Duration now) {
    if (state != State.CONNECTING) {
      return;
    }
    state = State.ESTABLISHED;
    failures = 0;
    callWanted = false;
    connectBy = null;
    usedAt = now;
    boolean restarted = incarnation >= 0 && incarnation != itsIncarnation;
    incarnation = itsIncarnation;
    Set<AttemptId> named = new HashSet<>();
    for (ReportedVm h : helds) {
      named.add(h.attemptId());
      Entry e = entries.get(h.attemptId());
      if (e != null) {
        resume(e, h, now);
      } else if (h.state() == ReportedVm.State.RUNNING) {
        listener.unknownVmReported(h, machine);
      } else if (h.state() == ReportedVm.State.QUEUED) {
        // Offered by an earlier life of this placer: nobody waits for it.
        transport.cancel(h.attemptId());
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
      if (h.state() == ReportedVm.State.RUNNING || h.state() == ReportedVm.State.QUEUED) {
        transport.cancel(e.name);
      } else {
        drop(e);
      }
      return;
    }
    switch (h.state()) {
      case RUNNING -> vmStarted(e.name, now);
      case QUEUED -> {
        if (e.stage != Stage.BOUND) {
          e.stage = Stage.WRITTEN;
        }
      }
      case ENDED ->
          attemptEnded(
              e.name,
              e.stage == Stage.BOUND ? Outcome.DONE : Outcome.ERROR,
              OutcomeReason.UNSPECIFIED,
              now);
      case REJECTED -> attemptRejected(e.name, OutcomeReason.UNSPECIFIED, now);
      default -> throw new IllegalStateException(h.state().name());
    }
  }

  /** The machine knows nothing of a claim that was written to it. */
  private void missing(Entry e, boolean restarted) {
    if (e.stage == Stage.BOUND) {
      listener.attemptEnded(e.attempt, Outcome.RESET, OutcomeReason.UNSPECIFIED);
    } else if (e.stage != Stage.ABANDONED) {
      // It remembers what it took in since its start: the offer never reached it, unless it started
      // anew.
      listener.attemptEnded(
          e.attempt, restarted ? Outcome.RESET : Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
    }
  }

  /** More can be written. */
  public void transportReady(Duration now) {
    pump(now);
  }

  /** The stream broke, could not be opened, or said what it may not. */
  public void connectionLost(String why, Duration now) {
    if (state != State.CONNECTING && state != State.ESTABLISHED) {
      return;
    }
    boolean was = state == State.ESTABLISHED;
    state = State.BACKING_OFF;
    failures++;
    connectBy = null;
    retryAt = now.plus(wait(failures));
    probeFailed(now);
    for (Entry e : List.copyOf(entries.values())) {
      if (e.stage == Stage.QUEUED) {
        drop(e);
        listener.attemptEnded(e.attempt, Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
      } else if (e.stage == Stage.WRITTEN && e.mayRepeat) {
        e.stage = Stage.ABANDONED;
        listener.attemptEnded(e.attempt, Outcome.RESET, OutcomeReason.UNSPECIFIED);
      } else if (e.stage == Stage.WRITTEN) {
        e.stage = Stage.UNSURE;
        e.unsureUntil = min(now.plus(settings.resumeTimeout()), e.by);
      }
    }
    if (was || failures == 1) {
      listener.connectionLost(machine, why);
    }
    if (gone) {
      lose();
      state = State.CLOSED;
    }
  }

  public void attemptAccepted(AttemptId name, Duration now) {
    Entry e = entries.get(name);
    if (e != null && e.stage == Stage.WRITTEN && settings.acceptanceIsFinal()) {
      e.stage = Stage.BOUND;
      listener.attemptAccepted(e.attempt, false);
    }
  }

  public void vmStarted(AttemptId name, Duration now) {
    Entry e = entries.get(name);
    if (e == null || e.stage == Stage.ABANDONED) {
      return;
    }
    e.stage = Stage.BOUND;
    listener.attemptAccepted(e.attempt, true);
  }

  public void attemptRejected(AttemptId name, OutcomeReason why, Duration now) {
    Entry e = entries.get(name);
    if (e != null) {
      drop(e);
      if (e.stage != Stage.ABANDONED) {
        listener.attemptEnded(
            e.attempt, e.stage == Stage.BOUND ? Outcome.RESET : Outcome.FULL, why);
      }
    }
    usedAt = now;
  }

  public void attemptEnded(AttemptId name, Outcome end, OutcomeReason why, Duration now) {
    Entry e = entries.get(name);
    if (e != null) {
      drop(e);
      if (e.stage != Stage.ABANDONED) {
        listener.attemptEnded(e.attempt, end, why);
      }
    }
    usedAt = now;
  }

  /** The claim that goes by that name and is still ours to hear of. */
  public Optional<PlacementAttempt> findAttempt(AttemptId name) {
    Entry e = entries.get(name);
    return e == null || e.stage == Stage.ABANDONED ? Optional.empty() : Optional.of(e.attempt);
  }

  /** A VM of an earlier life runs there: from now on it is one of ours. */
  public void adopt(AttemptId name, PlacementAttempt attempt) {
    Entry e = new Entry(name, attempt, false);
    e.stage = Stage.BOUND;
    entries.put(name, e);
  }

  public void loadReported(boolean answersProbe, Duration now) {
    if (answersProbe && probeSentAt != null) {
      Duration took = now.minus(probeSentAt);
      probeSentAt = null;
      listener.probeCompleted(machine, true, true, took);
    }
  }

  // ---- What time does
  // --------------------------------------------------------------------------------

  /** When {@link #tick} has something to do, if ever. */
  public Optional<Duration> nextDeadline() {
    Duration due = null;
    for (Entry e : entries.values()) {
      if (e.stage == Stage.UNSURE) {
        due = min(due, e.unsureUntil);
      }
    }
    if (probeSentAt != null) {
      due = min(due, probeSentAt.plus(settings.probeTimeout()));
    }
    if (state == State.CONNECTING) {
      due = min(due, connectBy);
    } else if (state == State.BACKING_OFF) {
      due = min(due, retryAt);
    } else if (state == State.ESTABLISHED && entries.isEmpty()) {
      due = min(due, usedAt.plus(settings.idleTimeout()));
    }
    return Optional.ofNullable(due);
  }

  public void tick(Duration now) {
    for (Entry e : List.copyOf(entries.values())) {
      if (e.stage == Stage.UNSURE && now.compareTo(e.unsureUntil) >= 0) {
        e.stage = Stage.ABANDONED;
        listener.attemptEnded(e.attempt, Outcome.RESET, OutcomeReason.UNSPECIFIED);
      }
    }
    if (probeSentAt != null && now.compareTo(probeSentAt.plus(settings.probeTimeout())) >= 0) {
      probeFailed(now);
    }
    if (state == State.CONNECTING && now.compareTo(connectBy) >= 0) {
      transport.close("no word from the machine in time");
      connectionLost("no word from the machine in time", now);
    } else if (state == State.BACKING_OFF && now.compareTo(retryAt) >= 0) {
      state = State.CLOSED;
      if ((callWanted || !entries.isEmpty()) && !gone) {
        wantStream(now);
      }
    } else if (state == State.ESTABLISHED
        && entries.isEmpty()
        && now.compareTo(usedAt.plus(settings.idleTimeout())) >= 0) {
      transport.close("idle");
      state = State.CLOSED;
    }
  }

  // ---- Within
  // ----------------------------------------------------------------------------------------

  private void wantStream(Duration now) {
    if (state == State.CLOSED) {
      state = State.CONNECTING;
      connectBy = now.plus(settings.connectTimeout());
      transport.connect();
    }
  }

  private void pump(Duration now) {
    if (state != State.ESTABLISHED) {
      return;
    }
    while (!queue.isEmpty() && transport.isReady()) {
      Entry e = queue.removeFirst();
      e.stage = Stage.WRITTEN;
      Duration left = e.by.minus(now);
      transport.offer(e.attempt, e.name, left.isNegative() ? Duration.ZERO : left);
    }
    if (probeQueued && transport.isReady()) {
      probeQueued = false;
      transport.probe();
    }
  }

  private void abandon(Entry e) {
    if (e.stage == Stage.ABANDONED) {
      return;
    }
    e.stage = Stage.ABANDONED;
    if (state == State.ESTABLISHED) {
      transport.cancel(e.name);
    }
  }

  private void probeFailed(Duration now) {
    probeQueued = false;
    if (probeSentAt != null) {
      Duration took = now.minus(probeSentAt);
      probeSentAt = null;
      listener.probeCompleted(machine, false, false, took);
    }
  }

  private void drop(Entry e) {
    entries.remove(e.name);
    if (e.stage == Stage.ABANDONED) {
      listener.attemptReleased(e.attempt);
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
    double most = Durations.toSeconds(settings.maxBackoff());
    double full =
        Math.min(
            most,
            Durations.toSeconds(settings.minBackoff()) * Math.pow(2, Math.min(after - 1, 30)));
    return Durations.ofSeconds(full * (0.5 + chance.next() / 2));
  }

  private static Duration min(Duration a, Duration b) {
    return a == null || b != null && b.compareTo(a) < 0 ? b : a;
  }

  /** Names of what the machine may still hold though the placer gave it up, for those on call. */
  public List<AttemptId> abandonedAttempts() {
    List<AttemptId> some = new ArrayList<>();
    entries.values().stream()
        .filter(e -> e.stage == Stage.ABANDONED)
        .forEach(e -> some.add(e.name));
    return some;
  }
}
