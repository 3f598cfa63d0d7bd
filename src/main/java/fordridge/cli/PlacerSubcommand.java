package fordridge.cli;

import fordridge.observability.Logging;
import fordridge.server.grpc.PlacerProcess;
import fordridge.settings.DeploymentSettings;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code placer}: runs scheduler instances that serve the gRPC protocol, until SIGTERM. */
@Command(
    name = "placer",
    description = "Serves clients over gRPC and places their VMs.",
    mixinStandardHelpOptions = true)
final class PlacerSubcommand implements Callable<Integer> {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Settings file, in HOCON.")
  private File config;

  @Option(
      names = "--placers",
      paramLabel = "N",
      description = "Number of instances in this process (placer.count).")
  private Integer instances;

  @Option(
      names = "--ports-file",
      paramLabel = "FILE",
      description = "File to write with each instance's name and port, once all listen.")
  private File portsFile;

  @Override
  public Integer call() throws Exception {
    DeploymentSettings settings = Cli.readSettings(config, settingsFromOptions());
    Logging.configure(settings.logging().format(), settings.logging().level());
    PlacerProcess schedulers = new PlacerProcess(settings);
    if (portsFile != null) {
      writePorts(schedulers);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDownAndHalt(schedulers), "stop"));
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }

  private Map<String, Integer> settingsFromOptions() {
    return instances == null ? Map.of() : Map.of("placer.count", instances);
  }

  /** Writes a temporary file and renames it, so that readers never see a partial file. */
  private void writePorts(PlacerProcess schedulers) throws IOException {
    StringBuilder content = new StringBuilder();
    for (int i = 0; i < schedulers.instanceCount(); i++) {
      content.append(schedulers.name(i)).append(' ').append(schedulers.port(i)).append('\n');
    }
    if (schedulers.metricsPort().isPresent()) {
      content.append("metrics ").append(schedulers.metricsPort().getAsInt()).append('\n');
    }
    File temporaryFile = new File(portsFile.getPath() + ".next");
    Files.writeString(temporaryFile.toPath(), content.toString());
    Files.move(temporaryFile.toPath(), portsFile.toPath());
  }

  /** Ends the process with the exit code of the graceful shutdown instead of that of the signal. */
  private static void shutDownAndHalt(PlacerProcess schedulers) {
    int exitCode;
    try {
      exitCode = schedulers.shutdown() ? ExitCode.OK : ExitCode.FAILED;
    } catch (InterruptedException e) {
      exitCode = ExitCode.FAILED;
    }
    Runtime.getRuntime().halt(exitCode);
  }
}
