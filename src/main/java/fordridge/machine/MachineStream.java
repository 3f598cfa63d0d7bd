package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SeededRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The stream of one scheduler to one machine on the gRPC protocol, and what may be concluded from
 * it about the attempts on that machine. The machine opens each stream with an inventory of the
 * attempts that it knows.
 *
 * <p>Free of I/O, threads and clocks: the time is a parameter, and it acts through {@link
 * MachineStreamTransport} and {@link Listener}. Not thread-safe; all methods belong on one event
 * loop.
 *
 * <p>What a failure proves ({@link ExecutionEvidence}): an attempt whose offer was not written
 * never ran. One whose offer was written and not answered when the stream broke may have run; if it
 * is not idempotent, the stream has a while to come back, and the inventory then tells. A running
 * VM is lost by the machine's inventory or notice or by the machine list, never because a stream
 * broke: it may well run on behind a broken path.
 *
 * <pre>
 * state        wanted      inventory    lost or timed out  pause over          idle
 * CLOSED       CONNECTING  -            -                  -                   -
 * CONNECTING   -           ESTABLISHED  BACKING_OFF        -                   -
 * ESTABLISHED  -           -            BACKING_OFF        -                   CLOSED
 * BACKING_OFF  -           -            -                  CLOSED, CONNECTING  -
 * </pre>
 *
 * <p>Once the machine is listed as gone, a stream that is not established, or breaks, is CLOSED.
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

  private static final String CONNECT_TIMED_OUT = "no message from the machine in time";

  private final Machine machine;
  private final MachineStreamSettings settings;
  private final MachineStreamTransport transport;
  private final Listener listener;
  private final ExponentialBackoff backoff;
  private final StreamAttempts attempts;
  private State state = State.CLOSED;
  private boolean gone;
  private boolean inventoryWanted;
  private boolean probeQueued;
  private Duration probeRequestedAt;
  private Optional<Long> incarnation = Optional.empty();
  private Duration connectBy;
  private Duration retryAt;
  private Duration lastUsedAt = Duration.ZERO;

  /** Creates a closed stream to a machine that is not gone. */
  public MachineStream(
      Machine machine,
      MachineStreamSettings settings,
      MachineStreamTransport transport,
      Listener listener,
      SeededRandom random) {
    this.machine = machine;
    this.settings = settings;
    this.transport = transport;
    this.listener = listener;
    backoff = new ExponentialBackoff(settings.minBackoff(), settings.maxBackoff(), random);
    attempts = new StreamAttempts(machine, settings, transport, listener);
  }

  /** Where the stream is in its life cycle. */
  public State state() {
    return state;
  }

  /** The attempt of that id, unless the scheduler has cancelled it. */
  public Optional<PlacementAttempt> findAttempt(AttemptId id) {
    return attempts.find(id).filter(entry -> !entry.isCancelled()).map(StreamAttempt::attempt);
  }

  /** Whether as many offers wait as may, so that a further one would end at once. */
  public boolean isQueueFull() {
    return attempts.isQueueFull();
  }

  int attemptCount() {
    return attempts.size();
  }

  // Requests of the scheduler

  /**
   * Offers an attempt as soon as the stream allows, and opens the stream if need be. Ends at once
   * as {@link Outcome#UNREACHABLE} while the stream backs off, and as {@link Outcome#NOT_SENT} if
   * too many offers wait.
   *
   * @param idempotent whether the VM may be placed again without harm, even if it may have run
   * @param timeLeft time in which the machine has to answer
   */
  public void offer(
      PlacementAttempt attempt, AttemptId id, boolean idempotent, Duration timeLeft, Duration now) {
    lastUsedAt = now;
    if (!isReachable()) {
      // The last stream failed a moment ago: known not to have run, and cheaper than to connect.
      Outcome outcome = ExecutionEvidence.NEVER_SENT.outcomeOnFailure();
      listener.attemptEnded(attempt, outcome, OutcomeReason.UNSPECIFIED);
    } else if (attempts.isQueueFull()) {
      // Our own limit: it says nothing of the machine.
      listener.attemptEnded(attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
    } else {
      attempts.enqueue(StreamAttempt.queued(id, attempt, idempotent, now.plus(timeLeft)));
      connectIfClosed(now);
      writeQueued(now);
    }
  }

  /**
   * The scheduler waits for the attempt no longer. Its outcome is the caller's to record.
   *
   * @return whether the machine was never offered the attempt
   */
  public boolean cancel(PlacementAttempt attempt, Duration now) {
    return attempts.cancel(attempt, state == State.ESTABLISHED);
  }

  /** Terminates a running VM, if the stream is established; the machine confirms. */
  public void terminate(PlacementAttempt attempt, Duration now) {
    if (state == State.ESTABLISHED) {
      attempts.terminate(attempt);
    }
    lastUsedAt = now;
  }

  /** Starts a health check; it fails at once while the stream backs off. */
  public void probe(Duration now) {
    lastUsedAt = now;
    if (!isReachable()) {
      listener.probeCompleted(machine, false, false, Duration.ZERO);
      return;
    }
    probeQueued = true;
    probeRequestedAt = now;
    connectIfClosed(now);
    writeQueued(now);
  }

  /** Opens a stream for the sake of the machine's inventory, as after the scheduler's start. */
  public void reconcile(Duration now) {
    inventoryWanted = true;
    lastUsedAt = now;
    if (!gone) {
      connectIfClosed(now);
    }
  }

  /** Takes over a VM that an earlier incarnation of the scheduler started. */
  public void adopt(AttemptId id, PlacementAttempt attempt) {
    attempts.adopt(StreamAttempt.adopted(id, attempt));
  }

  // Events of the machine list

  /** The machine takes no new VMs: what was not offered yet is withdrawn. */
  public void machineDraining() {
    attempts.withdrawQueued();
  }

  /** The machine list has the machine, or has it no more. */
  public void machineListed(boolean isGone, Duration now) {
    if (isGone == gone) {
      return;
    }
    gone = isGone;
    if (gone) {
      machineGone();
    } else {
      backoff.reset();
      if (state == State.BACKING_OFF) {
        retryAt = now;
      }
    }
  }

  // Events of the stream

  /** The machine's first message on a stream: the attempts of this scheduler that it knows. */
  public void inventoryReceived(
      long machineIncarnation, Collection<ReportedVm> inventory, Duration now) {
    if (state != State.CONNECTING) {
      return;
    }
    established(now);
    boolean restarted = incarnation.isPresent() && incarnation.get() != machineIncarnation;
    incarnation = Optional.of(machineIncarnation);
    attempts.reconcile(inventory, restarted);
    writeQueued(now);
  }

  /** The transport can write again. */
  public void transportReady(Duration now) {
    writeQueued(now);
  }

  /** The stream broke, could not be opened, or received what violates the protocol. */
  public void connectionLost(String reason, Duration now) {
    if (state != State.CONNECTING && state != State.ESTABLISHED) {
      return;
    }
    boolean wasEstablished = state == State.ESTABLISHED;
    backOff(now);
    failProbe(now);
    attempts.connectionLost(now);
    if (wasEstablished || backoff.failures() == 1) {
      listener.connectionLost(machine, reason);
    }
    if (gone) {
      attempts.machineLost();
      state = State.CLOSED;
    }
  }

  /** The machine has queued the VM. */
  public void attemptAccepted(AttemptId id) {
    attempts.attemptAccepted(id);
  }

  /** The machine has started the VM. */
  public void vmStarted(AttemptId id) {
    attempts.vmStarted(id);
  }

  /** The machine rejected the VM: it never ran, unless the machine had accepted it before. */
  public void attemptRejected(AttemptId id, OutcomeReason reason, Duration now) {
    attempts.attemptRejected(id, reason);
    lastUsedAt = now;
  }

  /** The machine ended the attempt. */
  public void attemptEnded(AttemptId id, Outcome outcome, OutcomeReason reason, Duration now) {
    attempts.attemptEnded(id, outcome, reason);
    lastUsedAt = now;
  }

  /** The machine reported its load. */
  public void loadReported(boolean answersProbe, Duration now) {
    if (answersProbe && probeRequestedAt != null) {
      Duration roundTrip = now.minus(probeRequestedAt);
      probeRequestedAt = null;
      listener.probeCompleted(machine, true, true, roundTrip);
    }
  }

  // Time

  /** When {@link #tick} has to be called next; empty if nothing has a deadline. */
  public Optional<Duration> nextDeadline() {
    return Stream.of(attempts.nextConfirmationDeadline(), probeDeadline(), stateDeadline())
        .flatMap(Optional::stream)
        .min(Duration::compareTo);
  }

  /** Applies the timeouts that are due. */
  public void tick(Duration now) {
    attempts.cancelUnconfirmed(now);
    if (isDue(probeDeadline(), now)) {
      failProbe(now);
    }
    if (!isDue(stateDeadline(), now)) {
      return;
    }
    switch (state) {
      case CONNECTING -> connectTimedOut(now);
      case BACKING_OFF -> pauseOver(now);
      case ESTABLISHED -> closeIdle();
      case CLOSED -> {}
    }
  }

  private Optional<Duration> probeDeadline() {
    return Optional.ofNullable(probeRequestedAt).map(at -> at.plus(settings.probeTimeout()));
  }

  private Optional<Duration> stateDeadline() {
    return switch (state) {
      case CONNECTING -> Optional.of(connectBy);
      case BACKING_OFF -> Optional.of(retryAt);
      case ESTABLISHED ->
          attempts.isEmpty()
              ? Optional.of(lastUsedAt.plus(settings.idleTimeout()))
              : Optional.empty();
      case CLOSED -> Optional.empty();
    };
  }

  private static boolean isDue(Optional<Duration> deadline, Duration now) {
    return deadline.isPresent() && now.compareTo(deadline.get()) >= 0;
  }

  // Transitions

  private void connectIfClosed(Duration now) {
    if (state == State.CLOSED) {
      state = State.CONNECTING;
      connectBy = now.plus(settings.connectTimeout());
      transport.connect();
    }
  }

  private void established(Duration now) {
    state = State.ESTABLISHED;
    backoff.reset();
    inventoryWanted = false;
    lastUsedAt = now;
  }

  private void backOff(Duration now) {
    state = State.BACKING_OFF;
    retryAt = now.plus(backoff.nextPause());
  }

  private void connectTimedOut(Duration now) {
    transport.close(CONNECT_TIMED_OUT);
    connectionLost(CONNECT_TIMED_OUT, now);
  }

  private void pauseOver(Duration now) {
    state = State.CLOSED;
    if ((inventoryWanted || !attempts.isEmpty()) && !gone) {
      connectIfClosed(now);
    }
  }

  private void closeIdle() {
    transport.close("idle");
    state = State.CLOSED;
  }

  private void machineGone() {
    machineDraining();
    if (state == State.ESTABLISHED) {
      return;
    }
    attempts.machineLost();
    if (state == State.CONNECTING) {
      transport.close("the machine is listed as gone");
    }
    state = State.CLOSED;
  }

  // Private steps

  private boolean isReachable() {
    return state != State.BACKING_OFF && !gone;
  }

  private void writeQueued(Duration now) {
    if (state != State.ESTABLISHED) {
      return;
    }
    attempts.writeQueued(now);
    if (probeQueued && transport.isReady()) {
      probeQueued = false;
      transport.probe();
    }
  }

  private void failProbe(Duration now) {
    probeQueued = false;
    if (probeRequestedAt != null) {
      Duration roundTrip = now.minus(probeRequestedAt);
      probeRequestedAt = null;
      listener.probeCompleted(machine, false, false, roundTrip);
    }
  }
}
