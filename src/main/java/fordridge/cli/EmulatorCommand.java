package fordridge.cli;

import fordridge.emulator.Scenario;
import fordridge.emulator.WatchBenchmark;
import fordridge.emulator.invariant.InvariantChecker;
import fordridge.emulator.invariant.Verdict;
import fordridge.observability.Logging;
import java.io.File;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code rig}: emulated clients, machines and etcd, and the checker of invariants. */
@Command(
    name = "rig",
    description = "Emulates machines, clients and etcd, and checks invariants.",
    mixinStandardHelpOptions = true,
    subcommands = {
      EmulatorCommand.Day.class,
      EmulatorCommand.Climb.class,
      EmulatorCommand.Check.class,
      EmulatorCommand.Watch.class
    })
final class EmulatorCommand extends CommandGroup {
  private static int exitCode(boolean areInvariantsKept) {
    return areInvariantsKept ? ExitCode.OK : ExitCode.FAILED;
  }

  /** {@code rig day}: runs a scenario. */
  @Command(
      name = "day",
      description = "Runs a scenario against real schedulers and checks the invariants.",
      mixinStandardHelpOptions = true)
  static final class Day implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The scenario, in HOCON.")
    private File script;

    @Option(
        names = "--out",
        paramLabel = "DIR",
        description = "Where recording and logs go (default: ${DEFAULT-VALUE}).")
    private File out = new File("target/day");

    @Option(names = "--set", paramLabel = "KEY=VALUE", description = "Changes a scenario key.")
    private final Map<String, String> changes = new HashMap<>();

    @Override
    public Integer call() throws Exception {
      Logging.configure("plain", "warn");
      Scenario.Outcome outcome = Scenario.run(script, changes, out, System.out);
      System.out.println();
      System.out.print(outcome.table());
      System.out.println();
      System.out.print(outcome.verdict().text());
      System.out.println(outcome.costs());
      return exitCode(outcome.verdict().kept());
    }
  }

  /** {@code rig climb}: runs a scenario at rising request rates. */
  @Command(
      name = "climb",
      description = "Runs a scenario at rising rates, until too few VMs start in time.",
      mixinStandardHelpOptions = true)
  static final class Climb implements Callable<Integer> {
    private static final String RATE_KEY = "owners.rate";

    @Parameters(paramLabel = "FILE", description = "The scenario, in HOCON.")
    private File script;

    @Option(
        names = "--rates",
        required = true,
        split = ",",
        paramLabel = "N,...",
        description = "VMs a second.")
    private double[] rates;

    @Option(
        names = "--least",
        description = "Ends below this share in time (default: ${DEFAULT-VALUE}).")
    private double minInTimeShare = 0.9;

    @Option(
        names = "--out",
        paramLabel = "DIR",
        description = "Where recordings go (default: ${DEFAULT-VALUE}).")
    private File out = new File("target/climb");

    @Option(names = "--set", paramLabel = "KEY=VALUE", description = "Changes a scenario key.")
    private final Map<String, String> changes = new HashMap<>();

    @Override
    public Integer call() throws Exception {
      Logging.configure("plain", "warn");
      boolean areInvariantsKept = true;
      System.out.printf(
          "%8s %8s %8s %9s %9s  %s%n",
          "VMs/s", "asked", "in time", "p50 ms", "p99 ms", "rules, costs");
      for (double rate : rates) {
        Scenario.Outcome outcome = runAt(rate);
        areInvariantsKept &= outcome.verdict().kept();
        printRow(rate, outcome);
        if (outcome.inTimeShare() < minInTimeShare) {
          break;
        }
      }
      return exitCode(areInvariantsKept);
    }

    private Scenario.Outcome runAt(double rate) throws Exception {
      Map<String, Object> changesWithRate = new HashMap<>(changes);
      changesWithRate.put(RATE_KEY, rate);
      try (PrintStream silent =
          new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8)) {
        return Scenario.run(script, changesWithRate, out, silent);
      }
    }

    private static void printRow(double rate, Scenario.Outcome outcome) {
      System.out.printf(
          "%8.0f %8d %7.1f%% %9.1f %9.1f  %s; %s%n",
          rate,
          outcome.requested(),
          100 * outcome.inTimeShare(),
          outcome.p50Millis(),
          outcome.p99Millis(),
          outcome.verdict().kept() ? "kept" : "BROKEN",
          outcome.costs());
    }
  }

  /** {@code rig check}: checks the invariants in a recording. */
  @Command(
      name = "check",
      description = "Checks the invariants in a recording.",
      mixinStandardHelpOptions = true)
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "RECORDING")
    private File recording;

    @Override
    public Integer call() throws Exception {
      Verdict verdict = InvariantChecker.check(recording);
      System.out.print(verdict.text());
      return exitCode(verdict.kept());
    }
  }

  /** {@code rig watch}: measures the watch of the machine list. */
  @Command(
      name = "watch",
      description = "Measures what watching the emulated etcd costs.",
      mixinStandardHelpOptions = true)
  static final class Watch implements Callable<Integer> {
    @Option(names = "--machines", split = ",", paramLabel = "N,...", description = "Sizes.")
    private int[] machines = {100, 1000, 10000};

    @Option(names = "--lists", description = "Watching lists (default: ${DEFAULT-VALUE}).")
    private int lists = 4;

    @Override
    public Integer call() throws Exception {
      Logging.configure("plain", "error");
      WatchBenchmark.run(machines, lists, System.out);
      return ExitCode.OK;
    }
  }
}
