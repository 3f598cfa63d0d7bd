package fordridge.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which owner's line is owed which answer, where an ask is bound to the connection that it came on
 * and what stands is bound to none. Free of I/O, threads and clocks. An ask gets one answer; what
 * stands, one release.
 *
 * @param <L> an owner's connection
 */
public final class PendingResponses<L> {
  /** What becomes of an ask. */
  public enum Admission {
    NEW,
    /** An ask under this name is in hand, or stands. */
    TWICE,
    /** Too many are in hand. */
    OVER
  }

  /** That a VM that stood is over, for as long as it is worth telling. */
  public record TerminationNotice(String vm, int cause, Duration until) {}

  /** A release, and the line that it goes out on now. */
  public record AddressedNotice<L>(L line, TerminationNotice release) {}

  private static final class PendingResponse<L> {
    L line;
    boolean stands;

    PendingResponse(L line, boolean stands) {
      this.line = line;
      this.stands = stands;
    }
  }

  private final int most;
  private final Duration keeps;
  private final Map<String, PendingResponse<L>> duties = new HashMap<>();
  private final Map<L, Set<String>> lines = new HashMap<>();

  /** Lines that have carried an ask, the latest last. */
  private final LinkedHashSet<L> owners = new LinkedHashSet<>();

  /** Of these, the ones on which something was said to be heard, the latest last. */
  private final LinkedHashSet<L> hearing = new LinkedHashSet<>();

  /** Releases that no line could carry yet. */
  private final Deque<TerminationNotice> parked = new ArrayDeque<>();

  /**
   * Releases that went out and were not heard yet, the oldest first: what closes a line may have
   * met them on the way.
   */
  private final Map<String, AddressedNotice<L>> unheard = new LinkedHashMap<>();

  private int inHand;

  /** At most so many asks in hand and as many releases, and those kept for so long. */
  public PendingResponses(int most, Duration keeps) {
    this.most = most;
    this.keeps = keeps;
  }

  public Admission ask(String vm, L line) {
    if (duties.containsKey(vm)) {
      return Admission.TWICE;
    }
    if (inHand >= most) {
      return Admission.OVER;
    }
    inHand++;
    put(vm, line, false);
    return Admission.NEW;
  }

  /** A VM that runs already: no answer is owed, its end is. False if it is known already. */
  public boolean stands(String vm, L line) {
    if (duties.containsKey(vm)) {
      return false;
    }
    put(vm, line, true);
    return true;
  }

  private void put(String vm, L line, boolean stands) {
    duties.put(vm, new PendingResponse<>(line, stands));
    lines.computeIfAbsent(line, l -> new LinkedHashSet<>()).add(vm);
    owners.remove(line);
    owners.add(line);
  }

  /**
   * The line to be told the one answer; null if none is owed (any more). From then on it stands, or
   * is over.
   */
  public L answer(String vm, boolean stands) {
    PendingResponse<L> d = duties.get(vm);
    if (d == null || d.stands) {
      return null;
    }
    inHand--;
    if (stands) {
      d.stands = true;
    } else {
      drop(vm, d);
    }
    return d.line;
  }

  /**
   * What stood is over: the line to be told; null if nothing is owed, or no line is there and it is
   * parked.
   */
  public L release(String vm, int cause, Duration now) {
    PendingResponse<L> d = duties.get(vm);
    if (d == null || !d.stands) {
      return null;
    }
    drop(vm, d);
    TerminationNotice r = new TerminationNotice(vm, cause, now.plus(keeps));
    L line = d.line == null ? latest() : d.line;
    if (line == null) {
      park(r);
    } else {
      goesOut(line, r);
    }
    return line;
  }

  /** Its owner says, on this line, that it heard the release. */
  public void heard(String vm, L line) {
    unheard.remove(vm);
    if (owners.contains(line)) {
      hearing.remove(line);
      hearing.add(line);
    }
  }

  /**
   * The line of an owner that is known to hear, else the one that has asked last: not every line
   * that asks listens.
   */
  private L latest() {
    L line = null;
    for (L l : hearing.isEmpty() ? owners : hearing) {
      line = l;
    }
    return line;
  }

  private void park(TerminationNotice r) {
    if (parked.size() >= most) {
      parked.removeFirst();
    }
    parked.addLast(r);
  }

  private void goesOut(L line, TerminationNotice r) {
    if (unheard.size() >= most) {
      unheard.remove(unheard.keySet().iterator().next());
    }
    unheard.put(r.vm, new AddressedNotice<>(line, r));
  }

  /** Its owner ended it: nothing is owed. True if it was known. */
  public boolean ends(String vm) {
    PendingResponse<L> d = duties.get(vm);
    if (d == null) {
      return false;
    }
    if (!d.stands) {
      inHand--;
    }
    drop(vm, d);
    return true;
  }

  public boolean waits(String vm) {
    PendingResponse<L> d = duties.get(vm);
    return d != null && !d.stands;
  }

  /**
   * The line is no more: its asks are given up (their names come back), what stands goes on without
   * it, and releases that were not heard on it wait for another, see {@link #unpark}.
   */
  public List<String> closed(L line) {
    owners.remove(line);
    hearing.remove(line);
    for (Iterator<AddressedNotice<L>> i = unheard.values().iterator(); i.hasNext(); ) {
      AddressedNotice<L> t = i.next();
      if (t.line.equals(line)) {
        i.remove();
        park(t.release);
      }
    }
    Set<String> own = lines.remove(line);
    List<String> asks = new ArrayList<>();
    if (own != null) {
      for (String vm : own) {
        PendingResponse<L> d = duties.get(vm);
        if (d.stands) {
          d.line = null;
        } else {
          inHand--;
          duties.remove(vm);
          asks.add(vm);
        }
      }
    }
    return asks;
  }

  /**
   * Releases that waited for a line, if one that has carried an ask is there now; those too old are
   * let go.
   */
  public List<AddressedNotice<L>> unpark(Duration now) {
    tidy(now);
    List<AddressedNotice<L>> due = new ArrayList<>();
    L line = latest();
    for (TerminationNotice r = line == null ? null : parked.pollFirst();
        r != null;
        r = parked.pollFirst()) {
      goesOut(line, r);
      due.add(new AddressedNotice<>(line, r));
    }
    return due;
  }

  public void tidy(Duration now) {
    parked.removeIf(r -> r.until.compareTo(now) <= 0);
    unheard.values().removeIf(t -> t.release.until.compareTo(now) <= 0);
  }

  /** Releases that wait for a line, or to be heard. */
  public int untold() {
    return parked.size() + unheard.size();
  }

  /** Asks in hand on the line, and what stands by it. */
  public int on(L line) {
    return lines.getOrDefault(line, Set.of()).size();
  }

  /** The asks in hand on the line. */
  public List<String> asksOn(L line) {
    return lines.getOrDefault(line, Set.of()).stream().filter(this::waits).toList();
  }

  public int inHand() {
    return inHand;
  }

  public int standing() {
    return duties.size() - inHand;
  }

  private void drop(String vm, PendingResponse<L> d) {
    duties.remove(vm);
    Set<String> own = d.line == null ? null : lines.get(d.line);
    if (own != null) {
      own.remove(vm);
      if (own.isEmpty()) {
        lines.remove(d.line);
      }
    }
  }
}
