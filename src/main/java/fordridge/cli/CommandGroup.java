package fordridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that only has sub-commands: called without one, it prints its usage. */
abstract class CommandGroup implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return ExitCode.USAGE;
  }
}
