package fordridge.cli;

import fordridge.settings.HostAndPort;
import fordridge.v1.ExplainReply;
import fordridge.v1.ExplainRequest;
import fordridge.v1.Misfit;
import fordridge.v1.OperatingGrpc;
import fordridge.v1.Spot;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code ctl explain}: which machines the constraints in effect allow for a VM, and why. */
@Command(
    name = "explain",
    description = "Prints which machines the constraints in effect allow for a VM.",
    mixinStandardHelpOptions = true)
final class CtlExplainCommand implements Callable<Integer> {
  private static final int MAX_MESSAGE_BYTES = 64 << 20;
  private static final long CALL_TIMEOUT_SECONDS = 5;

  @Option(names = "--placer", required = true, paramLabel = "HOST:PORT")
  private String scheduler;

  @Option(names = "--customer")
  private String tenant = "";

  @Option(names = "--flavour")
  private String priorityClass = "";

  @Option(names = "--service")
  private long service;

  @Option(
      names = "--vm",
      paramLabel = "CLIENT/VM",
      description = "A running VM, instead of customer, flavour and service.")
  private String vm = "";

  @Override
  public Integer call() throws IOException {
    if (!HostAndPort.hasValidForm(scheduler)) {
      throw new IllegalArgumentException("--placer: '" + scheduler + "' is not host:port");
    }
    print(explain());
    return ExitCode.OK;
  }

  private ExplainReply explain() throws IOException {
    ManagedChannel channel =
        NettyChannelBuilder.forAddress(HostAndPort.parse(scheduler))
            .usePlaintext()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .build();
    try {
      return OperatingGrpc.newBlockingStub(channel)
          .withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .explain(
              ExplainRequest.newBuilder()
                  .setCustomer(tenant)
                  .setFlavour(priorityClass)
                  .setService(service)
                  .setVm(vm)
                  .build());
    } catch (StatusRuntimeException e) {
      // The cause is omitted, as its status is already in the message.
      throw new IOException("placer at " + scheduler + ": " + e.getStatus());
    } finally {
      channel.shutdownNow();
    }
  }

  private void print(ExplainReply reply) {
    System.out.println("constraints version " + reply.getVersion());
    if (!reply.getRunsOn().isEmpty()) {
      System.out.println(vm + " runs on " + reply.getRunsOn());
    }
    reply.getSpotsList().forEach(CtlExplainCommand::printMachine);
    reply.getMisfitsList().forEach(misfit -> printMisplaced(misfit, " in violation of: "));
    reply
        .getStrayedList()
        .forEach(
            strayed -> printMisplaced(strayed, " although another machine would now satisfy: "));
  }

  private static void printMachine(Spot machine) {
    String preference =
        machine.getUnfit() > 0 ? "violates preferences of weight " + machine.getUnfit() : "";
    System.out.printf(
        Locale.ROOT,
        "%-24s %-4s %s%n",
        machine.getMachine(),
        machine.getAllowed() ? "may" : "not",
        preference);
    machine.getReasonsList().forEach(reason -> System.out.println("    " + reason));
  }

  private static void printMisplaced(Misfit misplaced, String why) {
    System.out.println(
        misplaced.getVm()
            + " runs on "
            + misplaced.getMachine()
            + why
            + String.join("; ", misplaced.getReasonsList()));
  }
}
