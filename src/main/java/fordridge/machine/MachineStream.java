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
 * The stream of one scheduler to one machine on the gRPC protocol, and the outcomes of the attempts
 * on that machine. The first message of the machine on each stream is an inventory of the attempts
 * that it knows.
 *
 * <p>Free of I/O, threads and clocks: the time is a parameter, and the stream acts through {@link
 * MachineStreamTransport} and {@link Listener}. Not thread-safe; all methods must be called on one
 * event loop.
 *
 * <p>What a failure proves ({@link ExecutionEvidence}): an attempt whose offer was not written
 * never ran. One whose offer was written but not answered when the stream broke may have run. If it
 * is not idempotent, its outcome is deferred until the stream is re-established and the inventory
 * shows it, or until the resume timeout. A running VM counts as lost by the machine's inventory or
 * notice or by the machine list, but never because a stream broke: it may still run while only the
 * network path is broken.
 *
 * <pre>
 * state        needed      inventory    lost or timed out  backoff elapsed     idle
 * CLOSED       CONNECTING  -            -                  -                   -
 * CONNECTING   -           ESTABLISHED  BACKING_OFF        -                   -
 * ESTABLISHED  -           -            BACKING_OFF        -                   CLOSED
 * BACKING_OFF  -           -            -                  CLOSED, CONNECTING  -
 * </pre>
 *
 * <p>Once the machine is listed as gone, a stream is CLOSED if it is not established or breaks.
 */
public final class MachineStream {
  /** The state of the stream. */
  public enum State {
    /** No stream is needed. */
    CLOSED,
    /** The stream is being opened, or the machine has not sent its inventory yet. */
    CONNECTING,
    /** The machine has sent its inventory. */
    ESTABLISHED,
    /** The last stream failed; the next is opened after a backoff delay. */
    BACKING_OFF
  }

  /** Receives the events of the stream to a machine. */
  public interface Listener extends AttemptListener {
    /** The machine accepted the VM or, if {@code running}, has already started it. */
    void attemptAccepted(PlacementAttempt attempt, boolean running);

    /** The machine runs a VM that an earlier incarnation of this scheduler placed. */
    void unknownVmReported(ReportedVm reportedVm, Machine machine);

    /** A cancelled attempt is now known to use no capacity on its machine any more. */
    void attemptReleased(PlacementAttempt attempt);

    /** An established stream broke, or the first in a series of connection attempts failed. */
    void connectionLost(Machine machine, String reason);
  }

  private static final String CONNECT_TIMED_OUT = "no inventory within the connect timeout";

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
  private Duration connectDeadline;
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

  /** Returns the state of the stream. */
  public State state() {
    return state;
  }

  /** Returns the attempt with that id, unless the scheduler has cancelled it. */
  public Optional<PlacementAttempt> findAttempt(AttemptId id) {
    return attempts.find(id).filter(entry -> !entry.isCancelled()).map(StreamAttempt::attempt);
  }

  /** Whether the offer queue is full, so that a further offer would end at once. */
  public boolean isQueueFull() {
    return attempts.isQueueFull();
  }

  int attemptCount() {
    return attempts.size();
  }

  // Requests from the scheduler

  /**
   * Offers an attempt as soon as the stream allows, and opens the stream if necessary. The attempt
   * ends at once as {@link Outcome#UNREACHABLE} while the stream backs off or the machine is gone,
   * and as {@link Outcome#NOT_SENT} if the offer queue is full.
   *
   * @param idempotent whether the VM can safely be placed again even if it may have run
   * @param timeLeft time within which the machine has to answer
   */
  public void offer(
      PlacementAttempt attempt, AttemptId id, boolean idempotent, Duration timeLeft, Duration now) {
    lastUsedAt = now;
    if (!isReachable()) {
      // The last stream has just failed: ending the attempt is cheaper than another connect, and
      // it is known not to have run.
      Outcome outcome = ExecutionEvidence.NEVER_SENT.outcomeOnFailure();
      listener.attemptEnded(attempt, outcome, OutcomeReason.UNSPECIFIED);
    } else if (attempts.isQueueFull()) {
      // The limit is the scheduler's own: it says nothing about the machine.
      listener.attemptEnded(attempt, Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
    } else {
      attempts.enqueue(StreamAttempt.queued(id, attempt, idempotent, now.plus(timeLeft)));
      connectIfClosed(now);
      writeQueued(now);
    }
  }

  /**
   * Cancels an attempt that the scheduler no longer waits for. The caller records its outcome.
   *
   * @return whether the machine was never offered the attempt
   */
  public boolean cancel(PlacementAttempt attempt, Duration now) {
    return attempts.cancel(attempt, state == State.ESTABLISHED);
  }

  /** Requests the termination of a running VM if the stream is established. */
  public void terminate(PlacementAttempt attempt, Duration now) {
    if (state == State.ESTABLISHED) {
      attempts.terminate(attempt);
    }
    lastUsedAt = now;
  }

  /** Starts a health check; it fails at once while the stream backs off or the machine is gone. */
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

  /** Opens a stream to obtain the machine's inventory, as after the scheduler's start. */
  public void reconcile(Duration now) {
    inventoryWanted = true;
    lastUsedAt = now;
    if (!gone) {
      connectIfClosed(now);
    }
  }

  /** Adopts a VM that an earlier incarnation of the scheduler placed. */
  public void adopt(AttemptId id, PlacementAttempt attempt) {
    attempts.adopt(StreamAttempt.adopted(id, attempt));
  }

  // Events of the machine list

  /** The machine accepts no new VMs: attempts not offered yet are withdrawn. */
  public void machineDraining() {
    attempts.withdrawQueued();
  }

  /** The machine list shows the machine, or shows it as gone. */
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

  /** The machine's first message on a stream: this scheduler's attempts that it knows. */
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

  /** The stream broke, could not be opened, or received a message that violates the protocol. */
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

  /** The machine rejected the VM: it never ran, unless the machine had accepted it earlier. */
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

  /** Returns when {@link #tick} has to be called next; empty if there is no deadline. */
  public Optional<Duration> nextDeadline() {
    return Stream.of(attempts.nextConfirmationDeadline(), probeDeadline(), stateDeadline())
        .flatMap(Optional::stream)
        .min(Duration::compareTo);
  }

  /** Applies the timeouts that have expired. */
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
      case BACKING_OFF -> backoffElapsed(now);
      case ESTABLISHED -> closeIdle();
      case CLOSED -> {}
    }
  }

  private Optional<Duration> probeDeadline() {
    return Optional.ofNullable(probeRequestedAt).map(at -> at.plus(settings.probeTimeout()));
  }

  private Optional<Duration> stateDeadline() {
    return switch (state) {
      case CONNECTING -> Optional.of(connectDeadline);
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
      connectDeadline = now.plus(settings.connectTimeout());
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
    retryAt = now.plus(backoff.nextDelay());
  }

  private void connectTimedOut(Duration now) {
    transport.close(CONNECT_TIMED_OUT);
    connectionLost(CONNECT_TIMED_OUT, now);
  }

  private void backoffElapsed(Duration now) {
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

  // Helpers

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
