package fordridge.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which owner's line is owed which answer, where an ask is bound to the connection that it came on and what stands is
 * bound to none. Free of I/O, threads and clocks. An ask gets one answer; what stands, one release.
 *
 * @param <L> an owner's connection
 */
public final class Owed<L> {
    /** What becomes of an ask. */
    public enum Taken {
        NEW,
        /** An ask under this name is in hand, or stands. */
        TWICE,
        /** Too many are in hand. */
        OVER
    }

    /** A release that no line could carry yet. */
    public record Parked(String vm, int cause, Duration until) { }

    private static final class Duty<L> {
        L line;
        boolean stands;

        Duty(L line, boolean stands) {
            this.line = line;
            this.stands = stands;
        }
    }

    private final int most;
    private final Duration keeps;
    private final Map<String, Duty<L>> duties = new HashMap<>();
    private final Map<L, Set<String>> lines = new HashMap<>();
    /** Lines that have carried an ask, the latest last. */
    private final LinkedHashSet<L> owners = new LinkedHashSet<>();
    private final Deque<Parked> parked = new ArrayDeque<>();
    private int inHand;

    /** At most so many asks in hand, and parked releases kept for so long. */
    public Owed(int most, Duration keeps) {
        this.most = most;
        this.keeps = keeps;
    }

    public Taken ask(String vm, L line) {
        if (duties.containsKey(vm)) {
            return Taken.TWICE;
        }
        if (inHand >= most) {
            return Taken.OVER;
        }
        inHand++;
        put(vm, line, false);
        return Taken.NEW;
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
        duties.put(vm, new Duty<>(line, stands));
        lines.computeIfAbsent(line, l -> new LinkedHashSet<>()).add(vm);
        owners.remove(line);
        owners.add(line);
    }

    /** The line to be told the one answer; null if none is owed (any more). From then on it stands, or is over. */
    public L answer(String vm, boolean stands) {
        Duty<L> d = duties.get(vm);
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

    /** What stood is over: the line to be told; null if nothing is owed, or no line is there and it is parked. */
    public L release(String vm, int cause, Duration now) {
        Duty<L> d = duties.get(vm);
        if (d == null || !d.stands) {
            return null;
        }
        drop(vm, d);
        L line = d.line;
        if (line == null) {
            for (L l : owners) {
                line = l;
            }
        }
        if (line == null) {
            parked.addLast(new Parked(vm, cause, now.plus(keeps)));
        }
        return line;
    }

    /** Its owner ended it: nothing is owed. True if it was known. */
    public boolean ends(String vm) {
        Duty<L> d = duties.get(vm);
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
        Duty<L> d = duties.get(vm);
        return d != null && !d.stands;
    }

    /** The line is no more: its asks are given up (their names come back), what stands goes on without it. */
    public List<String> closed(L line) {
        owners.remove(line);
        Set<String> own = lines.remove(line);
        List<String> asks = new ArrayList<>();
        if (own != null) {
            for (String vm : own) {
                Duty<L> d = duties.get(vm);
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

    /** Releases that waited for a line, for one that has carried an ask now; those too old are let go. */
    public List<Parked> unpark(Duration now) {
        List<Parked> due = new ArrayList<>();
        for (Iterator<Parked> i = parked.iterator(); i.hasNext(); i.remove()) {
            Parked p = i.next();
            if (p.until.compareTo(now) > 0) {
                due.add(p);
            }
        }
        return due;
    }

    public void tidy(Duration now) {
        while (!parked.isEmpty() && parked.peekFirst().until.compareTo(now) <= 0) {
            parked.removeFirst();
        }
    }

    /** Asks in hand on the line, and what stands by it. */
    public int on(L line) {
        return lines.getOrDefault(line, Set.of()).size();
    }

    public int inHand() {
        return inHand;
    }

    public int standing() {
        return duties.size() - inHand;
    }

    private void drop(String vm, Duty<L> d) {
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
