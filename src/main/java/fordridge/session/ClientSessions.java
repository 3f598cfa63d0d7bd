package fordridge.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Who is owed which answers: sessions of clients, the asks in hand, and answers already given, for
 * clients that come back or ask again. Free of I/O, threads and clocks.
 *
 * <p>Its bounds: VMs in hand over all clients and of one client, answers that one client has not
 * taken in, answers kept in all, and how long a client may be away. What happens at each is said
 * where it is checked.
 */
public final class ClientSessions {
  /** The bounds, from the settings. */
  public record Bounds(int open, int openOfOne, int unread, int kept, Duration keep) {}

  /** What becomes of an ask. */
  public enum Admission {
    /** New: it goes to the module. */
    NEW,
    /** Known: what was said of it is said again, and what comes will be said. */
    KNOWN,
    /** Too many are in hand already: not taken, and to be denied. */
    OVER
  }

  private static final class Request {
    final String client;
    final String vm;
    ClientSession owner;
    ClientResponse given;
    ClientResponse last;
    Duration overAt;

    Request(String client, String vm, ClientSession owner) {
      this.client = client;
      this.vm = vm;
      this.owner = owner;
    }
  }

  private final Bounds bounds;
  private final Map<String, ClientSession> sessions = new LinkedHashMap<>();
  private final Map<String, Map<String, Request>> asks = new HashMap<>();
  private final Deque<Request> over = new ArrayDeque<>();
  private int inHand;
  private long tokens;
  private final long seed;

  public ClientSessions(Bounds bounds, long seed) {
    this.bounds = bounds;
    this.seed = seed;
  }

  /** A client begins a stream; the second value tells whether its session was found. */
  public ClientSession hello(String client, String token, long seen, Duration now) {
    ClientSession s = sessions.get(client);
    if (s != null && s.token.equals(token) && s.machineHandles(seen)) {
      s.acknowledge(seen);
      s.rewind(seen);
    } else {
      ClientSession fresh =
          new ClientSession(client, Long.toHexString(seed) + "-" + Long.toHexString(++tokens));
      if (s != null) {
        // A new process under the same name: what it asked for before stays in hand, and is spoken
        // of
        // only if it asks for it again.
        asks.getOrDefault(client, Map.of()).values().forEach(a -> a.owner = null);
      }
      fresh.strayed = s == null && !token.isEmpty();
      sessions.put(client, fresh);
      s = fresh;
    }
    s.attached = true;
    s.awayAt = null;
    return s;
  }

  public boolean resumed(ClientSession s, String token) {
    return s.token.equals(token);
  }

  public void away(ClientSession s, Duration now) {
    s.attached = false;
    s.awayAt = now;
  }

  /** False for a number that this session never said. */
  public boolean acknowledge(ClientSession s, long seen) {
    return s.acknowledge(seen);
  }

  /** A client asks for a VM. */
  public Admission want(ClientSession s, String vm, Duration now) {
    Map<String, Request> own = asks.computeIfAbsent(s.client, c -> new HashMap<>());
    Request a = own.get(vm);
    if (a == null) {
      if (inHand >= bounds.open || s.inHand >= bounds.openOfOne) {
        return Admission.OVER;
      }
      own.put(vm, new Request(s.client, vm, s));
      inHand++;
      s.inHand++;
      return Admission.NEW;
    }
    if (a.owner != s) {
      // Asked for in an earlier life of the client: said again, under this session's numbers.
      a.owner = s;
      if (a.given == null) {
        s.inHand++;
      }
      if (a.given != null) {
        s.say(a.given, most());
      }
      if (a.last != null && a.last != a.given) {
        s.say(a.last, most());
      }
    }
    return Admission.KNOWN;
  }

  /** Denies an ask that is not taken to the module; one over the bound is not kept. */
  public void refuse(ClientSession s, ClientResponse denied, Duration now) {
    if (!say(s.client, denied, now)) {
      s.say(denied, most());
    }
  }

  /** Whether the VM is in hand: asked for and not answered. */
  public boolean waits(String client, String vm) {
    Request a = asks.getOrDefault(client, Map.of()).get(vm);
    return a != null && a.given == null && a.overAt == null;
  }

  /** The client no longer wants it: nothing more is said of one without an answer. */
  public void unwant(ClientSession s, String vm, Duration now) {
    Request a = asks.getOrDefault(s.client, Map.of()).get(vm);
    if (a != null && a.given == null && a.overAt == null) {
      close(a, now);
    }
  }

  /**
   * A VM that runs since an earlier life of this placer; its owner hears of it when it asks for it
   * again, or now if it has asked.
   */
  public void found(String client, String vm, ClientResponse bound, Duration now) {
    if (waits(client, vm)) {
      say(client, bound, now);
      return;
    }
    Request a = new Request(client, vm, null);
    a.given = bound;
    asks.computeIfAbsent(client, c -> new HashMap<>()).putIfAbsent(vm, a);
  }

  /**
   * Says something of a VM. False if it may not be said: a second final answer, or anything after
   * the last; the session's owner would see a broken rule, so it is refused here whatever the
   * cause.
   */
  public boolean say(String client, ClientResponse answer, Duration now) {
    Request a = asks.getOrDefault(client, Map.of()).get(answer.vm());
    if (a == null || a.overAt != null || answer.kind().isFinal() == (a.given != null)) {
      return false;
    }
    if (answer.kind().isFinal()) {
      a.given = answer;
      inHand--;
      if (a.owner != null) {
        a.owner.inHand--;
      }
    }
    if (answer.kind().isLast()) {
      a.last = answer;
      a.overAt = now;
      over.addLast(a);
    }
    if (a.owner != null) {
      a.owner.say(answer, most());
    }
    tidy(now);
    return true;
  }

  private void close(Request a, Duration now) {
    inHand--;
    if (a.owner != null) {
      a.owner.inHand--;
    }
    a.overAt = now;
    over.addLast(a);
  }

  /** The oldest answers go when too many are kept. */
  private void tidy(Duration now) {
    while (over.size() > bounds.kept
        || !over.isEmpty() && over.peekFirst().overAt.plus(bounds.keep).compareTo(now) <= 0) {
      Request a = over.removeFirst();
      asks.getOrDefault(a.client, Map.of()).remove(a.vm, a);
    }
  }

  /** Clients away for too long with nothing in hand are forgotten; the result names them. */
  public List<String> expire(Duration now) {
    List<String> gone = new ArrayList<>();
    for (ClientSession s : List.copyOf(sessions.values())) {
      if (!s.attached && s.inHand == 0 && s.awayAt.plus(bounds.keep).compareTo(now) <= 0) {
        sessions.remove(s.client);
        Map<String, Request> own = asks.get(s.client);
        if (own != null) {
          own.values().removeIf(a -> a.overAt != null);
          own.values().forEach(a -> a.owner = null);
        }
        gone.add(s.client);
      }
    }
    tidy(now);
    asks.values().removeIf(Map::isEmpty);
    return gone;
  }

  /**
   * Whether more may be read from the client. At the bound it is left waiting, and the transport's
   * flow control with it: nothing it says is lost, and nothing grows here. It goes by what it does
   * not read, not by what it has not acknowledged: an acknowledgement may stand behind all that we
   * would refuse to read.
   */
  public boolean mayRead(ClientSession s) {
    return s.unwritten() < bounds.unread;
  }

  /** Answers kept for one client to be said again. */
  private int most() {
    return bounds.unread + 2 * bounds.openOfOne;
  }

  public int inHand() {
    return inHand;
  }

  public int kept() {
    return over.size();
  }

  public int clients() {
    return sessions.size();
  }
}
