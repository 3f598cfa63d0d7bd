package fordridge.emulator;

import fordridge.etcd.api.Event;
import fordridge.etcd.api.WatchCreateRequest;
import fordridge.etcd.api.WatchRequest;
import fordridge.etcd.api.WatchResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A client's stream of watches. Guarded by the lock of {@link EtcdState}. */
final class EtcdWatchStream implements StreamObserver<WatchRequest> {
  /** Watch id of the response to a progress request, which covers all watches of the stream. */
  private static final long ALL_WATCHES = -1;

  /** Earlier revisions that are sent again while the fault that repeats events is active. */
  private static final int REPEATED_REVISIONS = 3;

  private final EtcdState state;
  private final ServerCallStreamObserver<WatchResponse> responses;
  private final String client = EtcdClientInterceptor.currentClient();
  private final Map<Long, EtcdWatch> watches = new TreeMap<>();
  private final Deque<WatchResponse> delayedResponses = new ArrayDeque<>();
  private long lastId;
  private boolean isEnded;
  private int sentEventResponses;

  EtcdWatchStream(EtcdState state, ServerCallStreamObserver<WatchResponse> responses) {
    this.state = state;
    this.responses = responses;
    responses.setOnCancelHandler(this::cancelled);
  }

  int watchCount() {
    return watches.size();
  }

  private void cancelled() {
    synchronized (state) {
      isEnded = true;
      state.remove(this);
    }
  }

  @Override
  public void onNext(WatchRequest request) {
    synchronized (state) {
      switch (request.getRequestUnionCase()) {
        case CREATE_REQUEST -> create(request.getCreateRequest());
        case CANCEL_REQUEST -> cancel(request.getCancelRequest().getWatchId());
        default -> sendProgress(ALL_WATCHES);
      }
    }
  }

  private void create(WatchCreateRequest request) {
    long id = request.getWatchId() != 0 ? request.getWatchId() : lastId + 1;
    lastId = Math.max(lastId, id);
    EtcdWatch watch = new EtcdWatch(id, request, firstRevision(request.getStartRevision()));
    send(response(id).setCreated(true).build());
    watches.put(id, watch);
    sendPending();
  }

  private long firstRevision(long startRevision) {
    if (startRevision <= 0) {
      return state.store().revision() + 1;
    }
    if (state.faults().repeatsEvents) {
      return Math.max(state.store().compactedRevision() + 1, startRevision - REPEATED_REVISIONS);
    }
    return startRevision;
  }

  private void cancel(long id) {
    if (watches.remove(id) != null) {
      send(response(id).setCanceled(true).build());
    }
  }

  private WatchResponse.Builder response(long id) {
    return WatchResponse.newBuilder().setHeader(state.header()).setWatchId(id);
  }

  /** Sends progress notifications to the watches that asked for periodic ones. */
  void sendPeriodicProgress() {
    for (EtcdWatch watch : List.copyOf(watches.values())) {
      if (watch.wantsPeriodicProgress()) {
        sendProgress(watch.id());
      }
    }
  }

  private void sendProgress(long id) {
    long revision = state.store().revision();
    boolean isCaughtUp = watches.values().stream().allMatch(watch -> watch.isCaughtUp(revision));
    if (!state.faults().isSilent && isCaughtUp && delayedResponses.isEmpty()) {
      send(response(id).build());
    }
  }

  /** Sends each watch its unsent events. */
  void sendPending() {
    if (state.faults().isSilent || isEnded) {
      return;
    }
    for (EtcdWatch watch : List.copyOf(watches.values())) {
      try {
        sendFragments(watch, watch.takePendingEvents(state.store()));
      } catch (MvccStore.RevisionUnavailableException e) {
        watches.remove(watch.id());
        send(
            response(watch.id())
                .setCanceled(true)
                .setCompactRevision(state.store().compactedRevision())
                .setCancelReason("etcdserver: mvcc: required revision has been compacted")
                .build());
      }
    }
  }

  private void sendFragments(EtcdWatch watch, List<Event> events) {
    int size = watch.allowsFragments() ? state.faults().maxEventsPerFragment : Integer.MAX_VALUE;
    for (int start = 0; start < events.size(); start += size) {
      int end = (int) Math.min(events.size(), (long) start + size);
      send(
          response(watch.id())
              .setFragment(end < events.size())
              .addAllEvents(events.subList(start, end))
              .build());
      sentEventResponses++;
      if (isResetDue()) {
        state.faults().fragmentsBeforeReset = 0;
        end(Status.UNAVAILABLE.withDescription("transport is closing"));
        return;
      }
    }
  }

  private boolean isResetDue() {
    int resetAfter = state.faults().fragmentsBeforeReset;
    return resetAfter > 0 && sentEventResponses >= resetAfter;
  }

  private void send(WatchResponse response) {
    if (isEnded) {
      return;
    }
    long delayMillis = state.faults().eventDelayMillis;
    boolean isDelayed = delayMillis > 0 && response.getEventsCount() > 0;
    // A response must not overtake a delayed one, so it is queued behind it.
    if (!isDelayed && delayedResponses.isEmpty()) {
      write(response);
      return;
    }
    delayedResponses.addLast(response);
    Timers.schedule(
        state.executor(), Duration.ofMillis(Math.max(1, delayMillis)), this::sendFirstDelayed);
  }

  private void sendFirstDelayed() {
    synchronized (state) {
      WatchResponse first = delayedResponses.pollFirst();
      if (first != null && !isEnded) {
        write(first);
      }
    }
  }

  private void write(WatchResponse response) {
    for (Event event : response.getEventsList()) {
      boolean isDeleted = event.getType() == Event.EventType.DELETE;
      state.sendListener().recordSent(client, event.getKv().getKey().toStringUtf8(), isDeleted);
    }
    responses.onNext(response);
  }

  /** Ends the stream with an error. */
  void end(Status reason) {
    if (!isEnded) {
      isEnded = true;
      state.remove(this);
      responses.onError(reason.asRuntimeException());
    }
  }

  @Override
  public void onError(Throwable cause) {
    cancelled();
  }

  @Override
  public void onCompleted() {
    synchronized (state) {
      if (!isEnded) {
        cancelled();
        responses.onCompleted();
      }
    }
  }
}
