package fordridge.cli;

import fordridge.discovery.MachineListFile;
import fordridge.server.grpc.PlacerProcess;
import fordridge.settings.DeploymentSettings;
import java.io.File;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code check-config}: validates a settings file, and its machine list file if that exists. */
@Command(
    name = "check-config",
    description = "Validates a settings file and its machine list file.",
    mixinStandardHelpOptions = true)
final class CheckConfigCommand implements Callable<Integer> {
  private static final long FIRST_VERSION = 1;

  @Parameters(paramLabel = "FILE")
  private File file;

  @Override
  public Integer call() throws Exception {
    DeploymentSettings settings = Cli.readSettings(file, Map.of());
    PlacerProcess.readShadowSettings(settings);
    File machineListFile = settings.machineListFile();
    if (machineListFile.isFile()) {
      int machines =
          MachineListFile.read(machineListFile, settings, FIRST_VERSION).entries().size();
      System.out.println(file + ": valid; " + machines + " machines in " + machineListFile);
    } else {
      System.out.println(
          file + ": valid; machine list file " + machineListFile + " does not exist yet");
    }
    return ExitCode.OK;
  }
}
