package fordridge.state;

import java.time.Duration;

/** One offer of a VM to a machine, from its sending to its outcome. */
public final class Claim {
    /** How a claim ended. */
    public enum End { DONE, ERROR, FULL, TIMEOUT, UNREACHABLE, RESET, CANCELLED, MOOT }

    /** Why it ended so, where the machine says. */
    public enum Why { UNTOLD, NO_CORES, NO_MEMORY, LINE_FULL, NOT_HERE, EVICTED, PUSHED_OUT, SENT_AWAY }

    public final Vm vm;
    public final Machine machine;
    public final int number;
    public final Duration sentAt;
    public Duration within = Duration.ZERO;
    public Duration boundAt;
    /** When it was told to run, null before. */
    public Duration runsAt;
    public boolean programKnown;
    public End end;

    public Claim(Vm vm, Machine machine, int number, Duration sentAt) {
        this.vm = vm;
        this.machine = machine;
        this.number = number;
        this.sentAt = sentAt;
    }

    /** Its outcome proves that it never ran. */
    public boolean neverRan() {
        return end == End.FULL || end == End.UNREACHABLE || end == End.MOOT;
    }

    public boolean out() {
        return end == null;
    }
}
