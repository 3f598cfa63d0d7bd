package fordridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code version}: prints the version of the packaged program. */
@Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true)
final class VersionCommand implements Callable<Integer> {
  /** Provides the implementation version of the jar's manifest. */
  static final class Provider implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {version()};
    }
  }

  private static String version() {
    String version = Cli.class.getPackage().getImplementationVersion();
    return "fordridge " + (version == null ? "(not packaged)" : version);
  }

  @Override
  public Integer call() {
    System.out.println(version());
    return ExitCode.OK;
  }
}
