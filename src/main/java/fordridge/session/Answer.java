package fordridge.session;

import java.time.Duration;

/** One thing said of a VM to its owner. */
public record Answer(Kind kind, String vm, String machine, int claim, Duration span, String reason) {
    public enum Kind {
        BOUND, DENIED, ERRORED, DONE, EVICTED, PUSHED_OUT, SENT_AWAY, LOST, FAILED, MOVED;

        /** One of the three of which each VM gets exactly one. */
        public boolean isFinal() {
            return this == BOUND || this == DENIED || this == ERRORED;
        }

        /** Nothing more is said of the VM after it. */
        public boolean isLast() {
            return this != BOUND;
        }
    }

    public static Answer bound(String vm, String machine, int claim, Duration took) {
        return new Answer(Kind.BOUND, vm, machine, claim, took, "");
    }

    public static Answer denied(String vm, Duration retryAfter, String reason) {
        return new Answer(Kind.DENIED, vm, "", 0, retryAfter, reason);
    }

    public static Answer errored(String vm, String reason) {
        return new Answer(Kind.ERRORED, vm, "", 0, Duration.ZERO, reason);
    }

    public static Answer ended(String vm, Kind how) {
        return new Answer(how, vm, "", 0, Duration.ZERO, "");
    }
}
