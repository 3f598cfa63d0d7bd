package fordridge.cli;

import fordridge.etcd.EtcdAdmin;
import fordridge.etcd.EtcdAdmin.SharedSetting;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code ctl terms}: reads and writes the settings that all schedulers share. */
@Command(
    name = "terms",
    description = "Reads and writes shared settings.",
    mixinStandardHelpOptions = true,
    subcommands = {CtlTermsCommand.Get.class, CtlTermsCommand.Put.class})
final class CtlTermsCommand extends CommandGroup {
  /** {@code ctl terms get}: prints all shared settings. */
  @Command(
      name = "get",
      description = "Prints all settings with their revisions.",
      mixinStandardHelpOptions = true)
  static final class Get implements Callable<Integer> {
    @Mixin private EtcdOptions etcd;

    @Override
    public Integer call() throws IOException {
      try (EtcdAdmin admin = etcd.connect()) {
        for (SharedSetting setting : admin.sharedSettings()) {
          System.out.println(setting.name() + " @" + setting.revision() + " = " + setting.text());
        }
      }
      return ExitCode.OK;
    }
  }

  /** {@code ctl terms put}: writes a shared setting if it is still at a given revision. */
  @Command(
      name = "put",
      description = "Writes a setting if it is still at the given revision.",
      mixinStandardHelpOptions = true)
  static final class Put implements Callable<Integer> {
    @Mixin private EtcdOptions etcd;

    @Parameters(index = "0", paramLabel = "NAME")
    private String name;

    @Parameters(index = "1", paramLabel = "VALUE")
    private String value;

    @Option(
        names = "--at",
        required = true,
        paramLabel = "REVISION",
        description = "Revision as printed by get; 0 for a new setting.")
    private long revision;

    @Override
    public Integer call() throws IOException {
      try (EtcdAdmin admin = etcd.connect()) {
        long newRevision = admin.putSharedSetting(name, value, revision);
        System.out.println(name + " is at revision " + newRevision);
      }
      return ExitCode.OK;
    }
  }
}
