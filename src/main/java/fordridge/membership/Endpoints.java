package fordridge.membership;

import fordridge.state.Chance;
import java.time.Duration;

/** Which of several endpoints is tried next, and after what wait: each in turn, then longer and longer rounds. */
public final class Endpoints {
    private static final Duration LEAST = Duration.ofMillis(20);
    private static final Duration MOST = Duration.ofSeconds(2);

    private final int count;
    private final Chance chance;
    private int at;
    private int failures;

    public Endpoints(int count, Chance chance) {
        this.count = count;
        this.chance = chance;
        at = (int) (chance.next() * count);
    }

    /** The one in use. */
    public int current() {
        return at;
    }

    /** It worked: the next failure begins with the shortest wait. */
    public void worked() {
        failures = 0;
    }

    /** It failed: the next one is in use, after the wait given. The first round through all goes without a wait. */
    public Duration failed() {
        failures++;
        at = (at + 1) % count;
        if (failures < count) {
            return Duration.ZERO;
        }
        double full = Math.min(MOST.toNanos(), LEAST.toNanos() * Math.pow(2, Math.min(30, failures - count)));
        return Duration.ofNanos((long) (full * (0.5 + chance.next() / 2)));
    }
}
