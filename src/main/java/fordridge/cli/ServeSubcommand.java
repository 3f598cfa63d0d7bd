package fordridge.cli;

import fordridge.server.json.ServeCommand;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code serve}: runs the scheduler that serves the JSON lines protocol. */
@Command(
    name = "serve",
    description = "Serves clients over JSON lines, configured by the file in LB_CONFIG.",
    mixinStandardHelpOptions = true)
final class ServeSubcommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    return ServeCommand.run(System.err);
  }
}
