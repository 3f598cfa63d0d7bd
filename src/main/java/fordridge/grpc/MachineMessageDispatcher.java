package fordridge.grpc;

import fordridge.machine.AttemptId;
import fordridge.machine.LoadReport;
import fordridge.machine.MachineStream;
import fordridge.machine.ReportedVm;
import fordridge.machine.VmReportKind;
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
    void loadReported(LoadReport report);

    /** A report stands by itself: nothing else follows that the module is told. */
    void loadReportCompleted();

    void vmReported(AttemptId attemptId, VmReportKind kind, double value);

    void protocolViolated(String reason);
  }

  private MachineMessageDispatcher() {}

  public static void dispatchInventory(Holding h, MachineStream link, Duration now) {
    List<ReportedVm> held = new ArrayList<>(h.getHeldCount());
    h.getHeldList().forEach(x -> held.add(ProtoConversions.held(x)));
    link.inventoryReceived(h.getIncarnation(), held, now);
  }

  public static void dispatch(
      FromMachine m,
      MachineStream link,
      GrpcMachineTransport stream,
      Listener further,
      Duration now) {
    switch (m.getBodyCase()) {
      case ACCEPTED -> link.attemptAccepted(ProtoConversions.name(m.getAccepted().getClaim()));
      case REFUSED -> {
        if (m.getRefused().hasReport()) {
          report(m.getRefused().getReport(), further);
        }
        link.attemptRejected(
            ProtoConversions.name(m.getRefused().getClaim()),
            ProtoConversions.why(m.getRefused().getReason()),
            now);
      }
      case STARTED -> {
        if (m.getStarted().hasReport()) {
          report(m.getStarted().getReport(), further);
        }
        link.vmStarted(ProtoConversions.name(m.getStarted().getClaim()));
      }
      case FINISHED ->
          link.attemptEnded(
              ProtoConversions.name(m.getFinished().getClaim()),
              ProtoConversions.end(m.getFinished()),
              ProtoConversions.why(m.getFinished().getHow()),
              now);
      case NOTE ->
          further.vmReported(
              ProtoConversions.name(m.getNote().getClaim()),
              kind(m.getNote().getWhat()),
              m.getNote().getAmount());
      case REPORT -> {
        report(m.getReport(), further);
        if (m.getReport().getProbe() > 0) {
          link.loadReported(stream.answersProbe(m.getReport()), now);
        } else {
          further.loadReportCompleted();
        }
      }
      default ->
          further.protocolViolated(
              "a message out of order or without a known body: " + m.getBodyCase());
    }
  }

  private static void report(Report r, Listener further) {
    further.loadReported(
        new LoadReport(
            r.getSpareCores(), r.getSpareMemory(), r.getBusy() < 0 ? Double.NaN : r.getBusy()));
  }

  private static VmReportKind kind(Note.What what) {
    return switch (what) {
      case CORES -> VmReportKind.CORE_USAGE;
      case MEMORY -> VmReportKind.MEMORY_USAGE;
      case SERVICE -> VmReportKind.SERVICE_LEVEL;
      case PRESSURE -> VmReportKind.MEMORY_PRESSURE;
      default -> VmReportKind.UNKNOWN;
    };
  }
}
