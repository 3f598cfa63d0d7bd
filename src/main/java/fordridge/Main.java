package fordridge;

import fordridge.cli.Cli;
import fordridge.server.json.ClassArchiveTraining;
import fordridge.server.json.ServeCommand;
import fordridge.simulation.SimulatorAdapter;

/**
 * Entry point. Drill and serve are started often, or in little memory, so they do without the
 * command line's library.
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws Exception {
    if (args.length == 1 && args[0].equals("drill")) {
      System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
    }
    if (args.length == 1 && args[0].equals("serve")) {
      // Ends at once: what is written has gone out, and the platform waits for nothing else.
      Runtime.getRuntime().halt(ServeCommand.run(System.err));
    }
    if (args.length == 2 && args[0].equals("serve") && args[1].equals("--rehearse")) {
      System.exit(ClassArchiveTraining.run(System.err));
    }
    System.exit(Cli.run(args));
  }
}
