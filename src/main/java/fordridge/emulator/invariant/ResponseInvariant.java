package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.TIMELY_RESPONSE;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import fordridge.emulator.record.RecordedEventKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that every placement request gets one final response before its deadline, and an accepted
 * VM at most one termination notice. A withdrawn request needs no response, and the response may be
 * late if the client was disconnected at the deadline.
 */
final class ResponseInvariant {
  private static final class ObservedRequest {
    final String priorityClass;
    final long deadlineUs;
    Optional<RecordedEventKind> response = Optional.empty();
    boolean hasEnded;
    boolean isWithdrawn;

    ObservedRequest(String priorityClass, long deadlineUs) {
      this.priorityClass = priorityClass;
      this.deadlineUs = deadlineUs;
    }
  }

  private record DisconnectedSpan(long fromUs, long untilUs) {
    boolean covers(long timeUs, long toleranceUs) {
      return fromUs <= timeUs + toleranceUs && untilUs >= timeUs - toleranceUs;
    }
  }

  private final ObservedState state;
  private final Findings findings;
  private final Map<String, ObservedRequest> requestsByVm = new LinkedHashMap<>();
  private final Map<String, Long> disconnectedSinceUs = new HashMap<>();
  private final Map<String, List<DisconnectedSpan>> disconnectedSpans = new HashMap<>();

  ResponseInvariant(ObservedState state, Findings findings) {
    this.state = state;
    this.findings = findings;
  }

  /**
   * The name of a client's VM in messages to machines: the client's name, a slash, and the VM's
   * name.
   */
  static String qualifiedVm(RecordedEvent clientEvent) {
    return clientEvent.source() + "/" + clientEvent.text(RecordField.VM);
  }

  void placementRequested(RecordedEvent event) {
    findings.increment(Statistic.REQUESTS);
    requestsByVm.put(
        qualifiedVm(event),
        new ObservedRequest(
            event.text(RecordField.PRIORITY_CLASS),
            event.timeUs() + event.whole(RecordField.TIME_LEFT)));
  }

  void requestWithdrawn(RecordedEvent event) {
    ObservedRequest request = requestsByVm.get(qualifiedVm(event));
    if (request != null) {
      request.isWithdrawn = true;
    }
  }

  void clientDisconnected(RecordedEvent event) {
    disconnectedSinceUs.put(event.source(), event.timeUs());
  }

  void clientConnected(RecordedEvent event) {
    Long since = disconnectedSinceUs.remove(event.source());
    if (since != null) {
      disconnectedSpans
          .computeIfAbsent(event.source(), client -> new ArrayList<>())
          .add(new DisconnectedSpan(since, event.timeUs()));
    }
  }

  /**
   * Records a final response, and returns the priority class of the request if it is the first
   * response to it.
   */
  Optional<String> responded(RecordedEvent event, RecordedEventKind response) {
    String vm = qualifiedVm(event);
    ObservedRequest request = requestsByVm.get(vm);
    findings.increment(statisticOf(response));
    if (request == null) {
      findings.addViolation(
          TIMELY_RESPONSE, describe(response) + " for " + vm + ", which was not requested");
      return Optional.empty();
    }
    if (request.response.isPresent()) {
      findings.addViolation(
          TIMELY_RESPONSE,
          describe(response) + " after " + describe(request.response.get()) + " for " + vm);
      return Optional.empty();
    }
    request.response = Optional.of(response);
    request.hasEnded = response != RecordedEventKind.REQUEST_ACCEPTED;
    checkInTime(event, response, request);
    return Optional.of(request.priorityClass);
  }

  private static Statistic statisticOf(RecordedEventKind response) {
    return switch (response) {
      case REQUEST_ACCEPTED -> Statistic.RESPONSES_ACCEPTED;
      case REQUEST_REJECTED -> Statistic.RESPONSES_REJECTED;
      default -> Statistic.RESPONSES_FAILED;
    };
  }

  private static String describe(RecordedEventKind response) {
    return switch (response) {
      case REQUEST_ACCEPTED -> "accepted";
      case REQUEST_REJECTED -> "rejected";
      default -> "failed";
    };
  }

  private void checkInTime(
      RecordedEvent event, RecordedEventKind response, ObservedRequest request) {
    long nowUs = event.timeUs();
    boolean isLate = nowUs > request.deadlineUs + state.toleranceUs(nowUs);
    if (isLate && !request.isWithdrawn && !wasDisconnected(event.source(), request.deadlineUs)) {
      findings.addViolation(
          TIMELY_RESPONSE,
          describe(response)
              + " for "
              + qualifiedVm(event)
              + " "
              + (nowUs - request.deadlineUs) / 1000
              + " ms after the deadline");
    }
  }

  private boolean wasDisconnected(String client, long timeUs) {
    return disconnectedSpans.getOrDefault(client, List.of()).stream()
        .anyMatch(span -> span.covers(timeUs, ObservedState.TOLERANCE_US));
  }

  /** Records a termination notice: the VM ended or was stopped for migration. */
  void terminated(RecordedEvent event) {
    ObservedRequest request = requestsByVm.get(qualifiedVm(event));
    String vm = event.text(RecordField.VM);
    if (request == null
        || !request.response.equals(Optional.of(RecordedEventKind.REQUEST_ACCEPTED))) {
      findings.addViolation(
          TIMELY_RESPONSE, "termination notice without an accepted request for " + vm);
    } else if (request.hasEnded) {
      findings.addViolation(TIMELY_RESPONSE, "a second termination notice for " + vm);
    } else {
      request.hasEnded = true;
    }
  }

  void sequenceRepeated(RecordedEvent event) {
    findings.addViolation(TIMELY_RESPONSE, "a sequence number repeated at " + event.source());
  }

  /** Reports the requests that have no final response at the end of the recording. */
  void finish() {
    requestsByVm.forEach(
        (vm, request) -> {
          if (request.response.isEmpty() && !request.isWithdrawn) {
            findings.addViolation(TIMELY_RESPONSE, vm + " has no final response");
          }
        });
  }
}
