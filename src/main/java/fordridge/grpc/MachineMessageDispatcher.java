package fordridge.grpc;

import fordridge.machine.AttemptId;
import fordridge.machine.LoadReport;
import fordridge.machine.MachineStream;
import fordridge.machine.ReportedVm;
import fordridge.machine.VmReportKind;
import fordridge.v1.Finished;
import fordridge.v1.FromMachine;
import fordridge.v1.Holding;
import fordridge.v1.Note;
import fordridge.v1.Refused;
import fordridge.v1.Report;
import fordridge.v1.Started;
import java.time.Duration;
import java.util.List;

/**
 * Translates a machine's messages into calls of its {@link MachineStream} and into reports for the
 * scheduler. Stateless.
 */
public final class MachineMessageDispatcher {
  /** Receives the reports and events that do not change the state of an attempt. */
  public interface Listener {
    /** The machine reported its load, in a separate message or as part of another. */
    void loadReported(LoadReport report);

    /** The load report was a separate message and does not answer a health check. */
    void loadReportCompleted();

    /** The machine reported on one VM. */
    void vmReported(AttemptId attemptId, VmReportKind kind, double value);

    /** The machine sent a message that violates the protocol. */
    void protocolViolated(String reason);
  }

  private MachineMessageDispatcher() {}

  /** Passes the inventory to the stream. */
  public static void dispatchInventory(Holding inventory, MachineStream stream, Duration now) {
    List<ReportedVm> reportedVms =
        inventory.getHeldList().stream().map(ProtoConversions::toReportedVm).toList();
    stream.inventoryReceived(inventory.getIncarnation(), reportedVms, now);
  }

  /** Passes any other message to the stream or to the listener. */
  public static void dispatch(
      FromMachine message,
      MachineStream stream,
      GrpcMachineTransport transport,
      Listener listener,
      Duration now) {
    switch (message.getBodyCase()) {
      case ACCEPTED ->
          stream.attemptAccepted(ProtoConversions.toAttemptId(message.getAccepted().getClaim()));
      case REFUSED -> rejected(message.getRefused(), stream, listener, now);
      case STARTED -> started(message.getStarted(), stream, listener);
      case FINISHED -> finished(message.getFinished(), stream, now);
      case NOTE -> vmReported(message.getNote(), listener);
      case REPORT -> loadReported(message.getReport(), stream, transport, listener, now);
      default ->
          listener.protocolViolated(
              "message out of order, or without a known body: " + message.getBodyCase());
    }
  }

  private static void rejected(
      Refused rejection, MachineStream stream, Listener listener, Duration now) {
    if (rejection.hasReport()) {
      listener.loadReported(loadReport(rejection.getReport()));
    }
    stream.attemptRejected(
        ProtoConversions.toAttemptId(rejection.getClaim()),
        ProtoConversions.toOutcomeReason(rejection.getReason()),
        now);
  }

  private static void started(Started start, MachineStream stream, Listener listener) {
    if (start.hasReport()) {
      listener.loadReported(loadReport(start.getReport()));
    }
    stream.vmStarted(ProtoConversions.toAttemptId(start.getClaim()));
  }

  private static void finished(Finished end, MachineStream stream, Duration now) {
    stream.attemptEnded(
        ProtoConversions.toAttemptId(end.getClaim()),
        ProtoConversions.toOutcome(end),
        ProtoConversions.toOutcomeReason(end.getHow()),
        now);
  }

  private static void vmReported(Note note, Listener listener) {
    listener.vmReported(
        ProtoConversions.toAttemptId(note.getClaim()),
        reportKind(note.getWhat()),
        note.getAmount());
  }

  private static void loadReported(
      Report report,
      MachineStream stream,
      GrpcMachineTransport transport,
      Listener listener,
      Duration now) {
    listener.loadReported(loadReport(report));
    if (report.getProbe() > 0) {
      stream.loadReported(transport.answersProbe(report), now);
    } else {
      listener.loadReportCompleted();
    }
  }

  private static LoadReport loadReport(Report report) {
    double utilization = report.getBusy() < 0 ? Double.NaN : report.getBusy();
    return new LoadReport(report.getSpareCores(), report.getSpareMemory(), utilization);
  }

  private static VmReportKind reportKind(Note.What what) {
    return switch (what) {
      case CORES -> VmReportKind.CORE_USAGE;
      case MEMORY -> VmReportKind.MEMORY_USAGE;
      case SERVICE -> VmReportKind.SERVICE_LEVEL;
      case PRESSURE -> VmReportKind.MEMORY_PRESSURE;
      default -> VmReportKind.UNKNOWN;
    };
  }
}
