package fordridge.cli;

import fordridge.simulation.SimulatorAdapter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code drill}: the scheduler on the wire of the simulator. */
@Command(
    name = "drill",
    description = "Decides on the simulator's wire, standard input to standard output.",
    mixinStandardHelpOptions = true)
final class DrillCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    return new SimulatorAdapter(System.in, System.out, System.err).run();
  }
}
