package fordridge.grpc;

import fordridge.machine.MachineStream;
import fordridge.v1.FromMachine;
import fordridge.v1.Holding;
import fordridge.v1.Note;
import fordridge.v1.Report;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Turns what a machine says into calls of its link, and hands on reports and notes. It decides
 * nothing.
 */
public final class MachineMessageDispatcher {
  /** Takes what is not the link's matter. */
  public interface Listener {
    void report(double spareCores, double spareMemory, double busy);

    /** A report stands by itself: nothing else follows that the module is told. */
    void reported();

    void note(MachineStream.AttemptId name, Note.What what, double amount);

    void wrong(String what);
  }

  private MachineMessageDispatcher() {}

  public static void holding(Holding h, MachineStream link, Duration now) {
    List<MachineStream.ReportedVm> held = new ArrayList<>(h.getHeldCount());
    h.getHeldList().forEach(x -> held.add(ProtoConversions.held(x)));
    link.holding(h.getIncarnation(), held, now);
  }

  public static void said(
      FromMachine m,
      MachineStream link,
      GrpcMachineTransport stream,
      Listener further,
      Duration now) {
    switch (m.getBodyCase()) {
      case ACCEPTED -> link.accepted(ProtoConversions.name(m.getAccepted().getClaim()), now);
      case REFUSED -> {
        if (m.getRefused().hasReport()) {
          report(m.getRefused().getReport(), further);
        }
        link.refused(
            ProtoConversions.name(m.getRefused().getClaim()),
            ProtoConversions.why(m.getRefused().getReason()),
            now);
      }
      case STARTED -> {
        if (m.getStarted().hasReport()) {
          report(m.getStarted().getReport(), further);
        }
        link.started(ProtoConversions.name(m.getStarted().getClaim()), now);
      }
      case FINISHED ->
          link.finished(
              ProtoConversions.name(m.getFinished().getClaim()),
              ProtoConversions.end(m.getFinished()),
              ProtoConversions.why(m.getFinished().getHow()),
              now);
      case NOTE ->
          further.note(
              ProtoConversions.name(m.getNote().getClaim()),
              m.getNote().getWhat(),
              m.getNote().getAmount());
      case REPORT -> {
        report(m.getReport(), further);
        if (m.getReport().getProbe() > 0) {
          link.reported(stream.answersProbe(m.getReport()), now);
        } else {
          further.reported();
        }
      }
      default ->
          further.wrong("a message out of order or without a known body: " + m.getBodyCase());
    }
  }

  private static void report(Report r, Listener further) {
    further.report(
        r.getSpareCores(), r.getSpareMemory(), r.getBusy() < 0 ? Double.NaN : r.getBusy());
  }
}
