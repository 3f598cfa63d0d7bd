package fordridge.cli;

import fordridge.server.json.ServeCommand;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code serve}: the scheduler with its JSON protocol. */
@Command(
    name = "serve",
    description = "Serves owners on lines of JSON, by the configuration that LB_CONFIG names.",
    mixinStandardHelpOptions = true)
final class ServeSubcommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    return ServeCommand.run(System.err);
  }
}
