package fordridge.cli;

import fordridge.observability.Logging;
import fordridge.server.grpc.PlacerCommand;
import fordridge.settings.DeploymentSettings;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code placer}: runs schedulers with their gRPC protocol until SIGTERM. */
@Command(
    name = "placer",
    description = "Serves clients and places their VMs.",
    mixinStandardHelpOptions = true)
final class PlacerSubcommand implements Callable<Integer> {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Settings, in HOCON.")
  private File config;

  @Option(
      names = "--placers",
      paramLabel = "N",
      description = "Instances in this process (placer.count).")
  private Integer instances;

  @Option(
      names = "--ports-file",
      paramLabel = "FILE",
      description = "Where to write each instance's name and port once all listen.")
  private File portsFile;

  @Override
  public Integer call() throws Exception {
    DeploymentSettings settings = Cli.readSettings(config, settingsFromOptions());
    Logging.configure(settings.logging().format(), settings.logging().level());
    PlacerCommand schedulers = new PlacerCommand(settings);
    if (portsFile != null) {
      writePorts(schedulers);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndHalt(schedulers), "stop"));
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }

  private Map<String, Integer> settingsFromOptions() {
    return instances == null ? Map.of() : Map.of("placer.count", instances);
  }

  /** Writes a file of another name and renames it, so that nobody reads half of it. */
  private void writePorts(PlacerCommand schedulers) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < schedulers.instanceCount(); i++) {
      text.append(schedulers.name(i)).append(' ').append(schedulers.port(i)).append('\n');
    }
    if (schedulers.metricsPort().isPresent()) {
      text.append("metrics ").append(schedulers.metricsPort().getAsInt()).append('\n');
    }
    File newFile = new File(portsFile.getPath() + ".next");
    Files.writeString(newFile.toPath(), text.toString());
    Files.move(newFile.toPath(), portsFile.toPath());
  }

  /** Ends the process with the exit code of the graceful shutdown, not with that of the signal. */
  private static void stopAndHalt(PlacerCommand schedulers) {
    int exitCode;
    try {
      exitCode = schedulers.shutdown() ? ExitCode.OK : ExitCode.FAILED;
    } catch (InterruptedException e) {
      exitCode = ExitCode.FAILED;
    }
    Runtime.getRuntime().halt(exitCode);
  }
}
