package fordridge.rpc;

import fordridge.link.Link;
import fordridge.session.Answer;
import fordridge.session.Session;
import fordridge.state.Claim.End;
import fordridge.state.Claim.Why;
import fordridge.v1.Bound;
import fordridge.v1.ClaimName;
import fordridge.v1.Denied;
import fordridge.v1.Ended;
import fordridge.v1.Errored;
import fordridge.v1.Finished;
import fordridge.v1.Held;
import fordridge.v1.Moved;
import fordridge.v1.PlacerMessage;
import fordridge.v1.Refused;
import java.time.Duration;

/** The protocol's messages and our own words for the same, and nothing else. */
final class Words {
    private Words() {
    }

    static long micros(Duration d) {
        return d.isNegative() ? 0 : d.toNanos() / 1000;
    }

    static Link.Name name(ClaimName n) {
        return new Link.Name(n.getVm(), n.getNumber());
    }

    static ClaimName name(Link.Name n) {
        return ClaimName.newBuilder().setVm(n.vm()).setNumber(n.number()).build();
    }

    static Link.Held held(Held h) {
        Link.Held.State state = switch (h.getState()) {
            case RUNNING -> Link.Held.State.RUNNING;
            case ENDED -> Link.Held.State.ENDED;
            case REFUSED -> Link.Held.State.REFUSED;
            default -> Link.Held.State.IN_LINE;
        };
        return new Link.Held(name(h.getClaim()), state, h.getFlavour(), h.getService(), h.getCustomer(), h.getCores(),
                h.getMemory(), h.getClient());
    }

    static Why why(Refused.Reason reason) {
        return switch (reason) {
            case NO_CORES -> Why.NO_CORES;
            case NO_MEMORY -> Why.NO_MEMORY;
            case LINE_FULL -> Why.LINE_FULL;
            case NOT_HERE -> Why.NOT_HERE;
            default -> Why.UNTOLD;
        };
    }

    static End end(Finished f) {
        return switch (f.getHow()) {
            case DONE -> End.DONE;
            case CANCELLED -> f.getRan() ? End.CANCELLED : End.MOOT;
            case EVICTED, PUSHED_OUT, SENT_AWAY -> f.getRan() ? End.RESET : End.FULL;
            default -> End.ERROR;
        };
    }

    static Why why(Finished.How how) {
        return switch (how) {
            case EVICTED -> Why.EVICTED;
            case PUSHED_OUT -> Why.PUSHED_OUT;
            case SENT_AWAY -> Why.SENT_AWAY;
            default -> Why.UNTOLD;
        };
    }

    static PlacerMessage message(Session.Told told) {
        PlacerMessage.Builder m = PlacerMessage.newBuilder().setSeq(told.seq());
        Answer a = told.answer();
        switch (a.kind()) {
            case BOUND -> m.setBound(Bound.newBuilder().setVm(a.vm()).setMachine(a.machine()).setClaim(a.claim())
                    .setTookUs(micros(a.span())));
            case DENIED -> m.setDenied(Denied.newBuilder().setVm(a.vm()).setRetryAfterUs(micros(a.span()))
                    .setReason(a.reason()));
            case ERRORED -> m.setErrored(Errored.newBuilder().setVm(a.vm()).setReason(a.reason()));
            case MOVED -> m.setMoved(Moved.newBuilder().setVm(a.vm()));
            default -> m.setEnded(Ended.newBuilder().setVm(a.vm()).setHow(switch (a.kind()) {
                case EVICTED -> Ended.How.EVICTED;
                case PUSHED_OUT -> Ended.How.PUSHED_OUT;
                case SENT_AWAY -> Ended.How.SENT_AWAY;
                case LOST -> Ended.How.LOST;
                case FAILED -> Ended.How.ERROR;
                default -> Ended.How.DONE;
            }));
        }
        return m.build();
    }
}
