package fordridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that consists of subcommands; it prints its usage if called without one. */
abstract class CommandGroup implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return ExitCode.USAGE;
  }
}
