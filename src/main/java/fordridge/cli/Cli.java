package fordridge.cli;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import fordridge.emulator.InvariantChecker;
import fordridge.emulator.Scenario;
import fordridge.observability.Logging;
import fordridge.server.grpc.PlacerCommand;
import fordridge.server.json.ServeCommand;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.simulation.SimulatorAdapter;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The command line: exit code 0 for done, 1 for what went wrong in the doing, 2 for words that make
 * no command.
 */
@Command(
    name = "fordridge",
    description = "Places VMs on a cluster's machines.",
    mixinStandardHelpOptions = true,
    versionProvider = Cli.Version.class,
    subcommands = {
      Cli.Place.class,
      Cli.Rig.class,
      CtlCommand.class,
      Cli.DrillCommand.class,
      Cli.Serve.class,
      Cli.CheckConfig.class,
      Cli.Constraints.class,
      Cli.ShowVersion.class,
      AutoComplete.GenerateCompletion.class
    })
public final class Cli implements Callable<Integer> {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs one command line and gives its exit code. */
  public static int run(String[] args) {
    CommandLine line = new CommandLine(new Cli());
    line.setExecutionExceptionHandler(
        (e, c, parsed) -> {
          complain(e);
          return 1;
        });
    return line.execute(args);
  }

  /** One plain line for each complaint; never a stack trace alone. */
  private static void complain(Exception e) {
    if (e instanceof InvalidSettingsException r) {
      r.messages().forEach(c -> System.err.println("fordridge: " + c));
      return;
    }
    Throwable cause = e;
    while (cause.getCause() != null) {
      cause = cause.getCause();
    }
    System.err.println("fordridge: " + (e instanceof IOException ? whole(e, cause) : e.toString()));
    if (!(e instanceof IOException)) {
      e.printStackTrace();
    }
  }

  private static String whole(Exception e, Throwable cause) {
    return e.getMessage() + (cause == e ? "" : ": " + cause.getMessage());
  }

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return 2;
  }

  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String v = Cli.class.getPackage().getImplementationVersion();
      return new String[] {"fordridge " + (v == null ? "(not packaged)" : v)};
    }
  }

  @Command(
      name = "placer",
      description = "Serves clients and places their VMs.",
      mixinStandardHelpOptions = true)
  static final class Place implements Callable<Integer> {
    @Option(
        names = "--config",
        required = true,
        paramLabel = "FILE",
        description = "Settings, in HOCON.")
    private File config;

    @Option(
        names = "--placers",
        paramLabel = "N",
        description = "Instances in this process (placer.count).")
    private Integer placers;

    @Option(
        names = "--ports-file",
        paramLabel = "FILE",
        description = "Where to write each instance's name and port once all listen.")
    private File portsFile;

    @Override
    public Integer call() throws Exception {
      DeploymentSettings d =
          read(config, placers == null ? Map.of() : Map.of("placer.count", placers));
      Logging.configure(d.logging().format(), d.logging().level());
      PlacerCommand program = new PlacerCommand(d);
      if (portsFile != null) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < program.count(); i++) {
          text.append(program.name(i)).append(' ').append(program.port(i)).append('\n');
        }
        if (program.metricsPort() >= 0) {
          text.append("metrics ").append(program.metricsPort()).append('\n');
        }
        File next = new File(portsFile.getPath() + ".next");
        Files.writeString(next.toPath(), text.toString());
        Files.move(next.toPath(), portsFile.toPath());
      }
      CountDownLatch ended = new CountDownLatch(1);
      int[] code = {0};
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    try {
                      code[0] = program.stop() ? 0 : 1;
                    } catch (InterruptedException e) {
                      code[0] = 1;
                    }
                    ended.countDown();
                    Runtime.getRuntime().halt(code[0]);
                  },
                  "stop"));
      ended.await();
      return code[0];
    }
  }

  static DeploymentSettings read(File file, Map<String, ?> changes)
      throws InvalidSettingsException {
    Config own = DeploymentSettings.parse(file);
    return DeploymentSettings.read(
        ConfigFactory.parseMap(changes, "command line").withFallback(own),
        file.getAbsoluteFile().getParentFile());
  }

  @Command(
      name = "check-config",
      description = "Checks a settings file whole, and its list of machines.",
      mixinStandardHelpOptions = true)
  static final class CheckConfig implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private File file;

    @Override
    public Integer call() throws Exception {
      DeploymentSettings d = read(file, Map.of());
      PlacerCommand.watched(d);
      if (d.machineListFile().isFile()) {
        int n =
            fordridge.discovery.MachineListFile.read(d.machineListFile(), d, 1).entries().size();
        System.out.println(file + ": fine; " + n + " machines in " + d.machineListFile());
      } else {
        System.out.println(file + ": fine; no list of machines at " + d.machineListFile() + " yet");
      }
      return 0;
    }
  }

  @Command(
      name = "constraints",
      description = "Reads a set of customers' rules; prints it as the language writes it.",
      mixinStandardHelpOptions = true)
  static final class Constraints implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private File file;

    @Option(
        names = "--config",
        paramLabel = "FILE",
        description = "Settings: names, and the list's machines, are checked against them.")
    private File config;

    @Override
    public Integer call() throws Exception {
      String text = Files.readString(file.toPath());
      java.util.List<fordridge.constraint.PlacementConstraint> rules;
      try {
        rules =
            fordridge.constraint.ConstraintParser.parse(
                text, fordridge.constraint.ConstraintParser.KnownNames.UNCHECKED);
      } catch (fordridge.constraint.ConstraintSyntaxException e) {
        throw InvalidSettingsException.ofMessages(
            e.messages().stream().map(c -> file + ":" + c).toList());
      }
      if (config != null) {
        rules = fordridge.server.grpc.PlacerCommand.readRules(text, read(config, Map.of()));
      }
      System.out.print(fordridge.constraint.ConstraintParser.format(rules));
      return 0;
    }
  }

  @Command(
      name = "rig",
      description = "Stand-ins, scripted days and their judging.",
      mixinStandardHelpOptions = true,
      subcommands = {RigDay.class, RigClimb.class, RigCheck.class, RigWatch.class})
  static final class Rig implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      spec.commandLine().usage(System.err);
      return 2;
    }
  }

  @Command(
      name = "day",
      description = "Plays a scripted day against real placers and judges the five rules.",
      mixinStandardHelpOptions = true)
  static final class RigDay implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The day's script, in HOCON.")
    private File script;

    @Option(
        names = "--out",
        paramLabel = "DIR",
        description = "Where tap and logs go (default: ${DEFAULT-VALUE}).")
    private File out = new File("target/day");

    @Option(names = "--set", paramLabel = "KEY=VALUE", description = "Changes a key of the script.")
    private final Map<String, String> changes = new HashMap<>();

    @Override
    public Integer call() throws Exception {
      Logging.configure("plain", "warn");
      Scenario.Outcome o = Scenario.play(script, changes, out, System.out);
      System.out.println();
      System.out.print(o.table());
      System.out.println();
      System.out.print(o.verdict().text());
      System.out.println(o.costs());
      return o.verdict().kept() ? 0 : 1;
    }
  }

  @Command(
      name = "climb",
      description = "Plays a day's load at rising rates, till the build target is missed.",
      mixinStandardHelpOptions = true)
  static final class RigClimb implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The day's script, in HOCON.")
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
    private double least = 0.9;

    @Option(
        names = "--out",
        paramLabel = "DIR",
        description = "Where taps go (default: ${DEFAULT-VALUE}).")
    private File out = new File("target/climb");

    @Option(names = "--set", paramLabel = "KEY=VALUE", description = "Changes a key of the script.")
    private final Map<String, String> changes = new HashMap<>();

    @Override
    public Integer call() throws Exception {
      Logging.configure("plain", "warn");
      boolean kept = true;
      System.out.printf(
          "%8s %8s %8s %9s %9s  %s%n",
          "VMs/s", "asked", "in time", "p50 ms", "p99 ms", "rules, costs");
      for (double rate : rates) {
        Map<String, Object> with = new HashMap<>(changes);
        with.put("owners.rate", rate);
        Scenario.Outcome o =
            Scenario.play(
                script,
                with,
                out,
                new java.io.PrintStream(java.io.OutputStream.nullOutputStream()));
        kept &= o.verdict().kept();
        System.out.printf(
            "%8.0f %8d %7.1f%% %9.1f %9.1f  %s; %s%n",
            rate,
            o.asked(),
            100 * o.inTime(),
            o.p50(),
            o.p99(),
            o.verdict().kept() ? "kept" : "BROKEN",
            o.costs());
        if (o.inTime() < least) {
          break;
        }
      }
      return kept ? 0 : 1;
    }
  }

  @Command(
      name = "check",
      description = "Judges the five rules from a tap.",
      mixinStandardHelpOptions = true)
  static final class RigCheck implements Callable<Integer> {
    @Parameters(paramLabel = "TAP")
    private File tap;

    @Override
    public Integer call() throws Exception {
      InvariantChecker.Verdict v = InvariantChecker.judge(tap);
      System.out.print(v.text());
      return v.kept() ? 0 : 1;
    }
  }

  @Command(
      name = "watch",
      description = "Measures what following a stand-in for etcd costs.",
      mixinStandardHelpOptions = true)
  static final class RigWatch implements Callable<Integer> {
    @Option(names = "--machines", split = ",", paramLabel = "N,...", description = "Sizes.")
    private int[] machines = {100, 1000, 10000};

    @Option(names = "--lists", description = "Followers (default: ${DEFAULT-VALUE}).")
    private int lists = 4;

    @Override
    public Integer call() throws Exception {
      Logging.configure("plain", "error");
      fordridge.emulator.WatchBenchmark.run(machines, lists, System.out);
      return 0;
    }
  }

  @Command(
      name = "drill",
      description = "Decides on the simulator's wire, standard input to standard output.",
      mixinStandardHelpOptions = true)
  static final class DrillCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      return new SimulatorAdapter(System.in, System.out, System.err).run();
    }
  }

  @Command(
      name = "serve",
      description = "Serves owners on lines of JSON, by the configuration that LB_CONFIG names.",
      mixinStandardHelpOptions = true)
  static final class Serve implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      return ServeCommand.run(System.err);
    }
  }

  @Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true)
  static final class ShowVersion implements Callable<Integer> {
    @Override
    public Integer call() {
      System.out.println(new Version().getVersion()[0]);
      return 0;
    }
  }
}
