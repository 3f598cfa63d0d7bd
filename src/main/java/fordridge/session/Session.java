package fordridge.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** One client of a placer, over any number of streams. */
public final class Session {
    /** An answer under the number that the client acknowledges. */
    public record Told(long seq, Answer answer) { }

    public final String client;
    public final String token;
    /** Said and not known to be taken in, in order. */
    private final Deque<Told> unread = new ArrayDeque<>();
    private long lastSeq;
    private long written;
    int inHand;
    boolean attached;
    Duration awayAt;

    Session(String client, String token) {
        this.client = client;
        this.token = token;
    }

    void say(Answer answer) {
        unread.addLast(new Told(++lastSeq, answer));
    }

    /** The next answer that this stream has not carried, or null; it counts as written. */
    public Told next() {
        if (written >= lastSeq) {
            return null;
        }
        for (Iterator<Told> i = unread.iterator(); i.hasNext();) {
            Told t = i.next();
            if (t.seq > written) {
                written = t.seq;
                return t;
            }
        }
        written = lastSeq;
        return null;
    }

    /** False for a number that was never said: the client speaks of another session. */
    boolean acknowledge(long seen) {
        if (seen > lastSeq) {
            return false;
        }
        while (!unread.isEmpty() && unread.peekFirst().seq <= seen) {
            unread.removeFirst();
        }
        return true;
    }

    /** A new stream: what came after {@code seen} is written again. */
    void rewind(long seen) {
        written = seen;
    }

    public int unread() {
        return unread.size();
    }

    public int inHand() {
        return inHand;
    }

    public boolean attached() {
        return attached;
    }
}
