package fordridge.emulator;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.Event;
import fordridge.etcd.api.WatchCreateRequest;
import fordridge.etcd.api.WatchCreateRequest.FilterType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** One watch on a stream: its key range and filters, and the next revision to send. */
final class EtcdWatch {
  private final long id;
  private final WatchCreateRequest request;
  private long nextRevision;

  EtcdWatch(long id, WatchCreateRequest request, long nextRevision) {
    this.id = id;
    this.request = request;
    this.nextRevision = nextRevision;
  }

  long id() {
    return id;
  }

  boolean allowsFragments() {
    return request.getFragment();
  }

  boolean wantsPeriodicProgress() {
    return request.getProgressNotify();
  }

  boolean isCaughtUp(long revision) {
    return nextRevision > revision;
  }

  /** Returns the unsent events up to the latest revision, and marks them as sent. */
  List<Event> takePendingEvents(MvccStore store) throws MvccStore.RevisionUnavailableException {
    List<Event> pending = new ArrayList<>();
    if (!isCaughtUp(store.revision())) {
      for (List<Event> batch : store.eventsSince(nextRevision)) {
        addMatching(batch, pending);
      }
    }
    nextRevision = Math.max(nextRevision, store.revision() + 1);
    return pending;
  }

  private void addMatching(List<Event> batch, List<Event> matching) {
    for (Event event : batch) {
      if (covers(event.getKv().getKey()) && !isFiltered(event.getType())) {
        matching.add(request.getPrevKv() ? event : event.toBuilder().clearPrevKv().build());
      }
    }
  }

  private boolean isFiltered(Event.EventType type) {
    FilterType filter = type == Event.EventType.PUT ? FilterType.NOPUT : FilterType.NODELETE;
    return request.getFiltersList().contains(filter);
  }

  private boolean covers(ByteString key) {
    ByteString start = request.getKey();
    ByteString end = request.getRangeEnd();
    if (end.isEmpty()) {
      return key.equals(start);
    }
    Comparator<ByteString> order = ByteString.unsignedLexicographicalComparator();
    boolean isUnbounded = end.size() == 1 && end.byteAt(0) == 0;
    return order.compare(key, start) >= 0 && (isUnbounded || order.compare(key, end) < 0);
  }
}
