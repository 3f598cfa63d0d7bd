package fordridge.cli;

import fordridge.emulator.Scenario;
import fordridge.emulator.WatchBenchmark;
import fordridge.emulator.invariant.InvariantChecker;
import fordridge.emulator.invariant.InvariantReport;
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

/** {@code rig}: emulates clients, machines and etcd, and checks the scheduler's invariants. */
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

  /** {@code rig day}: runs a scenario against real schedulers. */
  @Command(
      name = "day",
      description = "Runs a scenario against real schedulers and checks the invariants.",
      mixinStandardHelpOptions = true)
  static final class Day implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The scenario, in HOCON.")
    private File scenarioFile;

    @Option(
        names = "--out",
        paramLabel = "DIR",
        description = "Directory of the recording and the logs (default: ${DEFAULT-VALUE}).")
    private File outputDirectory = new File("target/day");

    @Option(names = "--set", paramLabel = "KEY=VALUE", description = "Changes a scenario key.")
    private final Map<String, String> overrides = new HashMap<>();

    @Override
    public Integer call() throws Exception {
      Logging.configure("plain", "warn");
      Scenario.Outcome outcome = Scenario.run(scenarioFile, overrides, outputDirectory, System.out);
      System.out.println();
      System.out.print(outcome.table());
      System.out.println();
      System.out.print(outcome.report().text());
      System.out.println(outcome.resourceUsage());
      return exitCode(outcome.report().allInvariantsHold());
    }
  }

  /** {@code rig climb}: runs a scenario at increasing request rates. */
  @Command(
      name = "climb",
      description = "Runs a scenario at increasing rates until too few VMs start in time.",
      mixinStandardHelpOptions = true)
  static final class Climb implements Callable<Integer> {
    private static final String RATE_KEY = "owners.rate";

    @Parameters(paramLabel = "FILE", description = "The scenario, in HOCON.")
    private File scenarioFile;

    @Option(
        names = "--rates",
        required = true,
        split = ",",
        paramLabel = "N,...",
        description = "Requested VMs per second.")
    private double[] rates;

    @Option(
        names = "--least",
        description = "Stops below this share of VMs started in time (default: ${DEFAULT-VALUE}).")
    private double minInTimeShare = 0.9;

    @Option(
        names = "--out",
        paramLabel = "DIR",
        description = "Directory of the recordings (default: ${DEFAULT-VALUE}).")
    private File outputDirectory = new File("target/climb");

    @Option(names = "--set", paramLabel = "KEY=VALUE", description = "Changes a scenario key.")
    private final Map<String, String> overrides = new HashMap<>();

    @Override
    public Integer call() throws Exception {
      Logging.configure("plain", "warn");
      boolean areInvariantsKept = true;
      System.out.printf(
          "%8s %8s %8s %9s %9s  %s%n",
          "VMs/s", "asked", "in time", "p50 ms", "p99 ms", "rules, costs");
      for (double rate : rates) {
        Scenario.Outcome outcome = runAt(rate);
        areInvariantsKept &= outcome.report().allInvariantsHold();
        printRow(rate, outcome);
        if (outcome.inTimeShare() < minInTimeShare) {
          break;
        }
      }
      return exitCode(areInvariantsKept);
    }

    private Scenario.Outcome runAt(double rate) throws Exception {
      Map<String, Object> overridesWithRate = new HashMap<>(overrides);
      overridesWithRate.put(RATE_KEY, rate);
      try (PrintStream discardedOutput =
          new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8)) {
        return Scenario.run(scenarioFile, overridesWithRate, outputDirectory, discardedOutput);
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
          outcome.report().allInvariantsHold() ? "kept" : "BROKEN",
          outcome.resourceUsage());
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
      InvariantReport report = InvariantChecker.check(recording);
      System.out.print(report.text());
      return exitCode(report.allInvariantsHold());
    }
  }

  /** {@code rig watch}: measures the cost of watching the machine list in etcd. */
  @Command(
      name = "watch",
      description = "Measures the cost of watching the emulated etcd.",
      mixinStandardHelpOptions = true)
  static final class Watch implements Callable<Integer> {
    @Option(
        names = "--machines",
        split = ",",
        paramLabel = "N,...",
        description = "Numbers of machines.")
    private int[] machines = {100, 1000, 10000};

    @Option(names = "--lists", description = "Number of watchers (default: ${DEFAULT-VALUE}).")
    private int lists = 4;

    @Override
    public Integer call() throws Exception {
      Logging.configure("plain", "error");
      WatchBenchmark.run(machines, lists, System.out);
      return ExitCode.OK;
    }
  }
}
