package fordridge.rpc;

import fordridge.link.Link;
import fordridge.v1.FromMachine;
import fordridge.v1.Holding;
import fordridge.v1.Note;
import fordridge.v1.Report;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Turns what a machine says into calls of its link, and hands on reports and notes. It decides nothing. */
public final class Telling {
    /** Takes what is not the link's matter. */
    public interface Further {
        void report(double spareCores, double spareMemory, double busy);

        /** A report stands by itself: nothing else follows that the module is told. */
        void reported();

        void note(Link.Name name, Note.What what, double amount);

        void wrong(String what);
    }

    private Telling() {
    }

    public static void holding(Holding h, Link link, Duration now) {
        List<Link.Held> held = new ArrayList<>(h.getHeldCount());
        h.getHeldList().forEach(x -> held.add(Words.held(x)));
        link.holding(h.getIncarnation(), held, now);
    }

    public static void said(FromMachine m, Link link, MachineStream stream, Further further, Duration now) {
        switch (m.getBodyCase()) {
            case ACCEPTED -> link.accepted(Words.name(m.getAccepted().getClaim()), now);
            case REFUSED -> {
                if (m.getRefused().hasReport()) {
                    report(m.getRefused().getReport(), further);
                }
                link.refused(Words.name(m.getRefused().getClaim()), Words.why(m.getRefused().getReason()), now);
            }
            case STARTED -> {
                if (m.getStarted().hasReport()) {
                    report(m.getStarted().getReport(), further);
                }
                link.started(Words.name(m.getStarted().getClaim()), now);
            }
            case FINISHED -> link.finished(Words.name(m.getFinished().getClaim()), Words.end(m.getFinished()),
                    Words.why(m.getFinished().getHow()), now);
            case NOTE -> further.note(Words.name(m.getNote().getClaim()), m.getNote().getWhat(),
                    m.getNote().getAmount());
            case REPORT -> {
                report(m.getReport(), further);
                if (m.getReport().getProbe() > 0) {
                    link.reported(stream.answersProbe(m.getReport()), now);
                } else {
                    further.reported();
                }
            }
            default -> further.wrong("a message out of order or without a known body: " + m.getBodyCase());
        }
    }

    private static void report(Report r, Further further) {
        further.report(r.getSpareCores(), r.getSpareMemory(), r.getBusy() < 0 ? Double.NaN : r.getBusy());
    }
}
