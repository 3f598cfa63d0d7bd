package fordridge.machine;

import fordridge.machine.StreamAttempt.Stage;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The attempts on one machine's stream. Keeps the queue of attempts to be offered, and applies the
 * machine's messages, its inventory and the loss of the stream to each attempt. Its only user,
 * {@link MachineStream}, opens and closes the stream.
 */
final class StreamAttempts {
  private final Machine machine;
  private final MachineStreamSettings settings;
  private final MachineStreamTransport transport;
  private final MachineStream.Listener listener;
  private final Map<AttemptId, StreamAttempt> attemptsById = new LinkedHashMap<>();
  private final Deque<StreamAttempt> queue = new ArrayDeque<>();

  StreamAttempts(
      Machine machine,
      MachineStreamSettings settings,
      MachineStreamTransport transport,
      MachineStream.Listener listener) {
    this.machine = machine;
    this.settings = settings;
    this.transport = transport;
    this.listener = listener;
  }

  int size() {
    return attemptsById.size();
  }

  boolean isEmpty() {
    return attemptsById.isEmpty();
  }

  boolean isQueueFull() {
    return queue.size() >= settings.maxQueuedOffers();
  }

  Optional<StreamAttempt> find(AttemptId id) {
    return Optional.ofNullable(attemptsById.get(id));
  }

  private Optional<StreamAttempt> find(PlacementAttempt attempt) {
    return attemptsById.values().stream().filter(entry -> entry.attempt() == attempt).findFirst();
  }

  // Requests from the scheduler

  void enqueue(StreamAttempt entry) {
    attemptsById.put(entry.id(), entry);
    queue.addLast(entry);
  }

  void adopt(StreamAttempt entry) {
    attemptsById.put(entry.id(), entry);
  }

  /**
   * Offers the queued attempts for as long as the transport accepts output; the stream is
   * established. Each is confirmed immediately before, as an offer can't be taken back.
   */
  void writeQueued(Duration now) {
    while (!queue.isEmpty() && transport.isReady()) {
      StreamAttempt entry = queue.getFirst();
      if (!listener.confirmSend(entry.attempt())) {
        remove(entry);
        end(entry, Outcome.NOT_SENT);
        continue;
      }
      queue.removeFirst();
      entry.sent();
      Duration timeLeft = entry.answerDeadline().minus(now);
      transport.offer(
          entry.attempt(), entry.id(), timeLeft.isNegative() ? Duration.ZERO : timeLeft);
    }
  }

  /** Withdraws the attempts that were not offered yet. */
  void withdrawQueued() {
    for (StreamAttempt entry : List.copyOf(queue)) {
      remove(entry);
      end(entry, Outcome.NOT_SENT);
    }
  }

  /**
   * Cancels an attempt. The caller records its outcome.
   *
   * @return whether the machine was never offered the attempt
   */
  boolean cancel(PlacementAttempt attempt, boolean established) {
    Optional<StreamAttempt> found = find(attempt);
    if (found.isEmpty()) {
      return false;
    }
    StreamAttempt entry = found.get();
    if (entry.stage().evidence() == ExecutionEvidence.NEVER_SENT) {
      remove(entry);
      return true;
    }
    if (!entry.isCancelled()) {
      entry.cancelled();
      if (established) {
        transport.cancel(entry.id());
      }
    }
    return false;
  }

  void terminate(PlacementAttempt attempt) {
    find(attempt).ifPresent(entry -> transport.terminate(entry.id()));
  }

  // Messages from the machine

  void attemptAccepted(AttemptId id) {
    find(id)
        .filter(entry -> entry.stage() == Stage.SENT && settings.acceptanceIsFinal())
        .ifPresent(entry -> accept(entry, false));
  }

  void vmStarted(AttemptId id) {
    find(id).filter(entry -> !entry.isCancelled()).ifPresent(entry -> accept(entry, true));
  }

  void attemptRejected(AttemptId id, OutcomeReason reason) {
    find(id)
        .ifPresent(
            entry -> {
              boolean wasAccepted = entry.stage() == Stage.ACCEPTED;
              removeAndEnd(entry, wasAccepted ? Outcome.RESET : Outcome.FULL, reason);
            });
  }

  void attemptEnded(AttemptId id, Outcome outcome, OutcomeReason reason) {
    find(id).ifPresent(entry -> removeAndEnd(entry, outcome, reason));
  }

  /**
   * Compares the machine's inventory with the attempts known here.
   *
   * @param restarted whether the machine has restarted since its last inventory
   */
  void reconcile(Collection<ReportedVm> inventory, boolean restarted) {
    Set<AttemptId> reportedIds = new HashSet<>();
    for (ReportedVm reportedVm : inventory) {
      reportedIds.add(reportedVm.attemptId());
      reconcileReported(reportedVm);
    }
    for (StreamAttempt entry : List.copyOf(attemptsById.values())) {
      if (entry.stage() != Stage.QUEUED && !reportedIds.contains(entry.id())) {
        remove(entry);
        endUnreported(entry, restarted);
      }
    }
  }

  private void reconcileReported(ReportedVm reportedVm) {
    StreamAttempt entry = attemptsById.get(reportedVm.attemptId());
    if (entry == null) {
      reconcileUnknown(reportedVm);
    } else if (entry.isCancelled()) {
      reconcileCancelled(entry, reportedVm.state());
    } else {
      reconcileKnown(entry, reportedVm.state());
    }
  }

  private void reconcileUnknown(ReportedVm reportedVm) {
    if (reportedVm.state() == ReportedVm.State.RUNNING) {
      listener.unknownVmReported(reportedVm, machine);
    } else if (reportedVm.state() == ReportedVm.State.QUEUED) {
      // Offered by an earlier incarnation of this scheduler: no request waits for it.
      transport.cancel(reportedVm.attemptId());
    }
  }

  private void reconcileCancelled(StreamAttempt entry, ReportedVm.State reported) {
    switch (reported) {
      case RUNNING, QUEUED -> transport.cancel(entry.id());
      case ENDED, REJECTED -> remove(entry);
    }
  }

  private void reconcileKnown(StreamAttempt entry, ReportedVm.State reported) {
    boolean wasAccepted = entry.stage() == Stage.ACCEPTED;
    switch (reported) {
      case RUNNING -> accept(entry, true);
      case QUEUED -> {
        if (!wasAccepted) {
          entry.sent();
        }
      }
      case ENDED -> removeAndEnd(entry, Outcome.DONE, OutcomeReason.UNSPECIFIED);
      case REJECTED ->
          removeAndEnd(
              entry, wasAccepted ? Outcome.RESET : Outcome.FULL, OutcomeReason.UNSPECIFIED);
    }
  }

  /**
   * Ends an attempt that was offered but is missing from the inventory. A machine keeps all
   * attempts that it received since its start, so an unanswered offer never reached it unless it
   * restarted.
   */
  private void endUnreported(StreamAttempt entry, boolean restarted) {
    if (entry.isCancelled()) {
      return;
    }
    ExecutionEvidence evidence = entry.stage().evidence();
    boolean neverReached = evidence == ExecutionEvidence.MAY_HAVE_RUN && !restarted;
    end(entry, neverReached ? Outcome.NOT_SENT : evidence.outcomeOnFailure());
  }

  // Failures

  /** The stream broke; the effect on each attempt depends on its stage. */
  void connectionLost(Duration now) {
    for (StreamAttempt entry : List.copyOf(attemptsById.values())) {
      switch (entry.stage()) {
        case QUEUED -> {
          remove(entry);
          end(entry, ExecutionEvidence.NEVER_SENT.outcomeOnFailure());
        }
        case SENT -> unansweredWhenConnectionLost(entry, now);
        case UNCONFIRMED, ACCEPTED, CANCELLED -> {}
      }
    }
  }

  private void unansweredWhenConnectionLost(StreamAttempt entry, Duration now) {
    if (entry.isIdempotent()) {
      entry.cancelled();
      entry.attempt().mayStillRun = true;
      end(entry, ExecutionEvidence.MAY_HAVE_RUN.outcomeOnFailure());
    } else {
      Duration resumeDeadline = now.plus(settings.resumeTimeout());
      entry.unconfirmed(
          entry.answerDeadline().compareTo(resumeDeadline) < 0
              ? entry.answerDeadline()
              : resumeDeadline);
    }
  }

  /** Gives up the attempts that were not confirmed in time after the stream broke. */
  void cancelUnconfirmed(Duration now) {
    for (StreamAttempt entry : List.copyOf(attemptsById.values())) {
      if (entry.isConfirmationOverdue(now)) {
        entry.cancelled();
        entry.attempt().mayStillRun = true;
        end(entry, ExecutionEvidence.MAY_HAVE_RUN.outcomeOnFailure());
      }
    }
  }

  /** Returns the earliest time by which an attempt has to be confirmed after the stream broke. */
  Optional<Duration> nextConfirmationDeadline() {
    return attemptsById.values().stream()
        .filter(entry -> entry.stage() == Stage.UNCONFIRMED)
        .map(StreamAttempt::confirmationDeadline)
        .min(Duration::compareTo);
  }

  /** The machine is gone, and no stream can report on its attempts any more. */
  void machineLost() {
    for (StreamAttempt entry : List.copyOf(attemptsById.values())) {
      Outcome outcome = entry.stage().evidence().outcomeOnFailure();
      removeAndEnd(entry, outcome, OutcomeReason.UNSPECIFIED);
    }
  }

  // Helpers

  private void accept(StreamAttempt entry, boolean running) {
    entry.accepted();
    listener.attemptAccepted(entry.attempt(), running);
  }

  private void removeAndEnd(StreamAttempt entry, Outcome outcome, OutcomeReason reason) {
    remove(entry);
    if (!entry.isCancelled()) {
      listener.attemptEnded(entry.attempt(), outcome, reason);
    }
  }

  private void remove(StreamAttempt entry) {
    attemptsById.remove(entry.id());
    if (entry.isCancelled()) {
      listener.attemptReleased(entry.attempt());
    }
    if (entry.stage() == Stage.QUEUED) {
      queue.remove(entry);
    }
  }

  private void end(StreamAttempt entry, Outcome outcome) {
    listener.attemptEnded(entry.attempt(), outcome, OutcomeReason.UNSPECIFIED);
  }
}
