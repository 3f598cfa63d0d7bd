package fordridge.cli;

import picocli.CommandLine.Command;

/** {@code ctl}: operators' commands on the records in etcd and on a running scheduler. */
@Command(
    name = "ctl",
    description = "Reads and changes machines and shared settings in etcd.",
    mixinStandardHelpOptions = true,
    subcommands = {
      CtlMachinesCommand.class,
      CtlDrainCommand.class,
      CtlUndrainCommand.class,
      CtlTermsCommand.class,
      CtlExplainCommand.class
    })
final class CtlCommand extends CommandGroup {}
