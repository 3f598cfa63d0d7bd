package fordridge.cli;

import fordridge.etcd.EtcdAdmin;
import java.io.IOException;
import java.time.Instant;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code ctl drain}: drains a machine. */
@Command(
    name = "drain",
    description = "Drains a machine: schedulers stop placing VMs on it.",
    mixinStandardHelpOptions = true)
final class CtlDrainCommand implements Callable<Integer> {
  @Mixin private EtcdOptions etcd;

  @Parameters(paramLabel = "MACHINE")
  private String machine;

  @Option(names = "--reason", required = true, description = "Reason, shown to other operators.")
  private String reason;

  @Override
  public Integer call() throws IOException {
    try (EtcdAdmin admin = etcd.connect()) {
      long revision = admin.drain(machine, reason, Instant.now());
      System.out.println(machine + " drains from revision " + revision);
    }
    return ExitCode.OK;
  }
}
