package fordridge.cli;

import fordridge.discovery.MachineListFile;
import fordridge.server.grpc.PlacerCommand;
import fordridge.settings.DeploymentSettings;
import java.io.File;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code check-config}: checks a settings file, and its machine list where that is a file. */
@Command(
    name = "check-config",
    description = "Checks a settings file whole, and its machine list.",
    mixinStandardHelpOptions = true)
final class CheckConfigCommand implements Callable<Integer> {
  private static final long FIRST_VERSION = 1;

  @Parameters(paramLabel = "FILE")
  private File file;

  @Override
  public Integer call() throws Exception {
    DeploymentSettings settings = Cli.readSettings(file, Map.of());
    PlacerCommand.readShadowSettings(settings);
    File list = settings.machineListFile();
    if (list.isFile()) {
      int machines = MachineListFile.read(list, settings, FIRST_VERSION).entries().size();
      System.out.println(file + ": fine; " + machines + " machines in " + list);
    } else {
      System.out.println(file + ": fine; no list of machines at " + list + " yet");
    }
    return ExitCode.OK;
  }
}
