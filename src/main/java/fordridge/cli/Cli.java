package fordridge.cli;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import fordridge.observability.StackTraces;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import java.io.File;
import java.io.IOException;
import java.util.Map;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line interface with its subcommands; {@link ExitCode} has the exit codes. */
@Command(
    name = "fordridge",
    description = "Places VMs on a cluster's machines.",
    mixinStandardHelpOptions = true,
    versionProvider = VersionCommand.Provider.class,
    subcommands = {
      PlacerSubcommand.class,
      EmulatorCommand.class,
      CtlCommand.class,
      DrillCommand.class,
      ServeSubcommand.class,
      CheckConfigCommand.class,
      ConstraintsCommand.class,
      VersionCommand.class,
      AutoComplete.GenerateCompletion.class
    })
public final class Cli extends CommandGroup {
  private static final String ERROR_PREFIX = "fordridge: ";

  /** Parses and executes a command line, and returns its exit code. */
  public static int run(String[] arguments) {
    CommandLine commandLine = new CommandLine(new Cli());
    commandLine.setExecutionExceptionHandler(
        (exception, command, parseResult) -> {
          printError(exception);
          return ExitCode.FAILED;
        });
    return commandLine.execute(arguments);
  }

  /** Reads a settings file, with values of single keys overridden on the command line. */
  static DeploymentSettings readSettings(File file, Map<String, ?> overrides)
      throws InvalidSettingsException {
    Config config = DeploymentSettings.parse(file);
    return DeploymentSettings.read(
        ConfigFactory.parseMap(overrides, "command line").withFallback(config),
        file.getAbsoluteFile().getParentFile());
  }

  /** Prints one line for each error that an operator can correct; a stack trace for any other. */
  private static void printError(Exception exception) {
    if (exception instanceof InvalidSettingsException invalidSettings) {
      invalidSettings.messages().forEach(message -> System.err.println(ERROR_PREFIX + message));
    } else if (exception instanceof IOException) {
      System.err.println(ERROR_PREFIX + withRootCause(exception));
    } else {
      System.err.println(ERROR_PREFIX + exception);
      System.err.print(StackTraces.format(exception));
    }
  }

  private static String withRootCause(Exception exception) {
    Throwable rootCause = exception;
    while (rootCause.getCause() != null) {
      rootCause = rootCause.getCause();
    }
    return exception.getMessage()
        + (rootCause.equals(exception) ? "" : ": " + rootCause.getMessage());
  }
}
