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
 * The attempts on one machine's stream: which wait to be offered, and what the machine's messages,
 * its inventory and a broken stream mean for each. It knows nothing of how the stream is opened and
 * kept; that is {@link MachineStream}, its only user.
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

  // Requests of the scheduler

  void enqueue(StreamAttempt entry) {
    attemptsById.put(entry.id(), entry);
    queue.addLast(entry);
  }

  void adopt(StreamAttempt entry) {
    attemptsById.put(entry.id(), entry);
  }

  /**
   * Offers what waits, as far as the transport takes it; the stream is established. What was
   * decided earlier is confirmed at this instant: an offer can't be taken back.
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
      Duration timeLeft = entry.answerBy().minus(now);
      transport.offer(
          entry.attempt(), entry.id(), timeLeft.isNegative() ? Duration.ZERO : timeLeft);
    }
  }

  /** Withdraws what was not offered yet. */
  void withdrawQueued() {
    for (StreamAttempt entry : List.copyOf(queue)) {
      remove(entry);
      end(entry, Outcome.NOT_SENT);
    }
  }

  /**
   * Cancels an attempt; its outcome is the caller's to record.
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

  // Messages of the machine

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
   * @param restarted whether the machine has started anew since its last inventory
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
      // Offered by an earlier incarnation of this scheduler: nobody waits for it.
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
   * The inventory lacks an attempt that was offered. A machine remembers what it took in since its
   * start: the offer of an unanswered one never reached it, unless it started anew.
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

  /** The stream broke; what that means for an attempt depends on how far it had come. */
  void connectionLost(Duration now) {
    for (StreamAttempt entry : List.copyOf(attemptsById.values())) {
      switch (entry.stage()) {
        case QUEUED -> {
          remove(entry);
          end(entry, ExecutionEvidence.NEVER_SENT.outcomeOnFailure());
        }
        case SENT -> sentWhenConnectionLost(entry, now);
        case UNCONFIRMED, ACCEPTED, CANCELLED -> {}
      }
    }
  }

  private void sentWhenConnectionLost(StreamAttempt entry, Duration now) {
    if (entry.isIdempotent()) {
      entry.cancelled();
      entry.attempt().mayStillRun = true;
      end(entry, ExecutionEvidence.MAY_HAVE_RUN.outcomeOnFailure());
    } else {
      Duration resumeBy = now.plus(settings.resumeTimeout());
      entry.unconfirmed(entry.answerBy().compareTo(resumeBy) < 0 ? entry.answerBy() : resumeBy);
    }
  }

  /** Gives up the attempts that were not confirmed in time after a broken stream. */
  void cancelUnconfirmed(Duration now) {
    for (StreamAttempt entry : List.copyOf(attemptsById.values())) {
      if (entry.isConfirmationOverdue(now)) {
        entry.cancelled();
        entry.attempt().mayStillRun = true;
        end(entry, ExecutionEvidence.MAY_HAVE_RUN.outcomeOnFailure());
      }
    }
  }

  /** The earliest time by which an attempt has to be confirmed after a broken stream. */
  Optional<Duration> nextConfirmationDeadline() {
    return attemptsById.values().stream()
        .filter(entry -> entry.stage() == Stage.UNCONFIRMED)
        .map(StreamAttempt::confirmBy)
        .min(Duration::compareTo);
  }

  /** The machine is gone, and no stream can tell more. */
  void machineLost() {
    for (StreamAttempt entry : List.copyOf(attemptsById.values())) {
      Outcome outcome = entry.stage().evidence().outcomeOnFailure();
      removeAndEnd(entry, outcome, OutcomeReason.UNSPECIFIED);
    }
  }

  // Private steps

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
