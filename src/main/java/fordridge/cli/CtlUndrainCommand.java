package fordridge.cli;

import fordridge.etcd.EtcdAdmin;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code ctl undrain}: ends a machine's drain. */
@Command(
    name = "undrain",
    description = "Ends the drain of a machine.",
    mixinStandardHelpOptions = true)
final class CtlUndrainCommand implements Callable<Integer> {
  @Mixin private EtcdOptions etcd;

  @Parameters(paramLabel = "MACHINE")
  private String machine;

  @Override
  public Integer call() throws IOException {
    try (EtcdAdmin admin = etcd.connect()) {
      System.out.println(machine + " takes new VMs again from revision " + admin.undrain(machine));
    }
    return ExitCode.OK;
  }
}
