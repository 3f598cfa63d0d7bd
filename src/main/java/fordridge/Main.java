package fordridge;

import fordridge.cli.Cli;
import fordridge.server.json.ClassArchiveTraining;
import fordridge.server.json.ServeCommand;
import fordridge.simulation.SimulatorAdapter;

/**
 * Entry point of the program.
 *
 * <p>{@code drill} and {@code serve} bypass the command line library, as they are started often or
 * with little memory.
 */
public final class Main {
  private Main() {}

  /** Runs the command given by the arguments and ends the process with its exit code. */
  public static void main(String[] args) throws Exception {
    if (args.length == 1 && args[0].equals("drill")) {
      System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
    }
    if (args.length == 1 && args[0].equals("serve")) {
      // Halts without running shutdown hooks: all output has been written and nothing is pending.
      Runtime.getRuntime().halt(ServeCommand.run(System.err));
    }
    if (args.length == 2 && args[0].equals("serve") && args[1].equals("--rehearse")) {
      System.exit(ClassArchiveTraining.run(System.err));
    }
    System.exit(Cli.run(args));
  }
}
