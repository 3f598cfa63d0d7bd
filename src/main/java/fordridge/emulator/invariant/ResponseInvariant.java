package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.TIMELY_RESPONSE;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordKind;
import fordridge.emulator.record.RecordedEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Every placement request gets one final response before its deadline, and a running VM at most one
 * termination notice. Requests that were withdrawn need none, and a response may come late while
 * its client was disconnected.
 */
final class ResponseInvariant {
  private static final class ObservedRequest {
    final String priorityClass;
    final long deadlineUs;
    Optional<RecordKind> response = Optional.empty();
    boolean isClosed;
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

  /** The name by which machines know a client's VM. */
  static String qualifiedVm(RecordedEvent clientEvent) {
    return clientEvent.source() + "/" + clientEvent.text(RecordField.VM);
  }

  void placementRequested(RecordedEvent event) {
    findings.count(Figure.REQUESTS);
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

  /** A final response arrived; the priority class of its request if it is the first one to it. */
  Optional<String> responded(RecordedEvent event, RecordKind response) {
    String vm = qualifiedVm(event);
    ObservedRequest request = requestsByVm.get(vm);
    findings.count(figureOf(response));
    if (request == null) {
      findings.violated(
          TIMELY_RESPONSE, describe(response) + " for " + vm + ", which was not requested");
      return Optional.empty();
    }
    if (request.response.isPresent()) {
      findings.violated(
          TIMELY_RESPONSE,
          describe(response) + " after " + describe(request.response.get()) + " for " + vm);
      return Optional.empty();
    }
    request.response = Optional.of(response);
    request.isClosed = response != RecordKind.BOUND;
    checkInTime(event, response, request);
    return Optional.of(request.priorityClass);
  }

  private static Figure figureOf(RecordKind response) {
    return switch (response) {
      case BOUND -> Figure.RESPONSES_ACCEPTED;
      case DENIED -> Figure.RESPONSES_REJECTED;
      default -> Figure.RESPONSES_FAILED;
    };
  }

  private static String describe(RecordKind response) {
    return switch (response) {
      case BOUND -> "accepted";
      case DENIED -> "rejected";
      default -> "failed";
    };
  }

  private void checkInTime(RecordedEvent event, RecordKind response, ObservedRequest request) {
    long nowUs = event.timeUs();
    boolean isLate = nowUs > request.deadlineUs + state.toleranceUs(nowUs);
    if (isLate && !request.isWithdrawn && !wasDisconnected(event.source(), request.deadlineUs)) {
      findings.violated(
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

  /** A termination notice arrived: the VM ended or is migrated. */
  void terminated(RecordedEvent event) {
    ObservedRequest request = requestsByVm.get(qualifiedVm(event));
    String vm = event.text(RecordField.VM);
    if (request == null || !request.response.equals(Optional.of(RecordKind.BOUND))) {
      findings.violated(
          TIMELY_RESPONSE, "termination notice without an accepted request for " + vm);
    } else if (request.isClosed) {
      findings.violated(TIMELY_RESPONSE, "a second termination notice for " + vm);
    } else {
      request.isClosed = true;
    }
  }

  void sequenceRepeated(RecordedEvent event) {
    findings.violated(TIMELY_RESPONSE, "a sequence number repeated at " + event.source());
  }

  /** The recording is over: what was not answered by now never will be. */
  void finish() {
    requestsByVm.forEach(
        (vm, request) -> {
          if (request.response.isEmpty() && !request.isWithdrawn) {
            findings.violated(TIMELY_RESPONSE, vm + " has no final response");
          }
        });
  }
}
