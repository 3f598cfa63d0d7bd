package fordridge.cli;

import fordridge.simulation.SimulatorAdapter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code drill}: runs the scheduler for a simulator, over standard input and output. */
@Command(
    name = "drill",
    description = "Schedules for a simulator that talks over standard input and output.",
    mixinStandardHelpOptions = true)
final class DrillCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    return new SimulatorAdapter(System.in, System.out, System.err).run();
  }
}
