package fordridge.cli;

import picocli.CommandLine.Command;

/** {@code ctl}: what operators do to the store, and ask of a running scheduler. */
@Command(
    name = "ctl",
    description = "Reads and changes the store of machines and settings.",
    mixinStandardHelpOptions = true,
    subcommands = {
      CtlMachinesCommand.class,
      CtlDrainCommand.class,
      CtlUndrainCommand.class,
      CtlTermsCommand.class,
      CtlExplainCommand.class
    })
final class CtlCommand extends CommandGroup {}
