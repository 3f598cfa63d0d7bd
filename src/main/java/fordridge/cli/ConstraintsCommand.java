package fordridge.cli;

import fordridge.constraint.ConstraintParser;
import fordridge.constraint.ConstraintSyntaxException;
import fordridge.constraint.PlacementConstraint;
import fordridge.server.grpc.PlacerProcess;
import fordridge.settings.InvalidSettingsException;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code constraints}: validates tenants' constraints, and prints them in normal form. */
@Command(
    name = "constraints",
    description = "Validates tenants' constraints and prints them in normal form.",
    mixinStandardHelpOptions = true)
final class ConstraintsCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE")
  private File file;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "Settings file; names and listed machines are checked against it.")
  private File config;

  @Override
  public Integer call() throws IOException, InvalidSettingsException {
    String text = Files.readString(file.toPath());
    List<PlacementConstraint> constraints = parse(text);
    if (config != null) {
      constraints = PlacerProcess.readConstraints(text, Cli.readSettings(config, Map.of()));
    }
    System.out.print(ConstraintParser.format(constraints));
    return ExitCode.OK;
  }

  private List<PlacementConstraint> parse(String text) throws InvalidSettingsException {
    try {
      return ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED);
    } catch (ConstraintSyntaxException e) {
      throw InvalidSettingsException.ofMessages(
          e.messages().stream().map(message -> file + ":" + message).toList());
    }
  }
}
