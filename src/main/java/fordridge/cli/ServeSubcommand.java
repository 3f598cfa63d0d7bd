package fordridge.cli;

import fordridge.server.json.ServeCommand;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code serve}: the scheduler with its JSON protocol. */
@Command(
    name = "serve",
    description = "Schedules for clients on JSON lines, configured by the file in LB_CONFIG.",
    mixinStandardHelpOptions = true)
final class ServeSubcommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    return ServeCommand.run(System.err);
  }
}
