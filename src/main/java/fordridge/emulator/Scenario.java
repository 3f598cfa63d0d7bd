package fordridge.emulator;

import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigValueFactory;
import fordridge.constraint.ConstraintIndex;
import fordridge.constraint.ConstraintParser;
import fordridge.constraint.ConstraintSyntaxException;
import fordridge.constraint.ConstraintValidator;
import fordridge.constraint.MachineTopology;
import fordridge.constraint.PlacementConstraint;
import fordridge.constraint.UnsatisfiableConstraintsException;
import fordridge.observability.Metrics;
import fordridge.server.grpc.PlacerCommand;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.settings.MachineKind;
import fordridge.settings.PriorityClassSettings;
import fordridge.settings.TenantShare;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One scripted day: real placers against stand-ins on loopback, then the rules judged from the tap.
 */
public final class Scenario {
  /** What a day came to. */
  public record Outcome(
      String table,
      InvariantChecker.Verdict verdict,
      double inTime,
      double p50,
      double p99,
      long asked,
      String costs) {}

  private final ScenarioPlan plan;
  private final File folder;
  private final PrintStream out;
  private final List<EmulatedMachine> machines = new ArrayList<>();
  private final List<EmulatedMachine> spares = new ArrayList<>();
  private final List<EmulatedClient> owners = new ArrayList<>();
  private final ClientOutcomes score = new ClientOutcomes();

  private Scenario(ScenarioPlan plan, File folder, PrintStream out) {
    this.plan = plan;
    this.folder = folder;
    this.out = out;
  }

  /** Reads the script, with changes to its keys from the command line, and plays it. */
  public static Outcome play(File script, Map<String, ?> changes, File folder, PrintStream out)
      throws InvalidSettingsException, IOException, InterruptedException {
    return new Scenario(ScenarioPlan.read(script, changes), folder, out).play();
  }

  private Outcome play() throws IOException, InterruptedException, InvalidSettingsException {
    Files.createDirectories(folder.toPath());
    File tapFile = new File(folder, "tap.jsonl");
    int cores = Runtime.getRuntime().availableProcessors();
    EventLoopGroup machineLoops =
        new MultiThreadIoEventLoopGroup(Math.min(cores, 4), NioIoHandler.newFactory());
    EventLoopGroup ownerLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    ScheduledExecutorService clock =
        Executors.newScheduledThreadPool(
            1,
            r -> {
              Thread t = new Thread(r, "faults");
              t.setDaemon(true);
              return t;
            });
    SchedulerFleet placers = null;
    EmulatedRegistry registry = null;
    EmulatedEtcd etcd = null;
    WireRecorder tap = new WireRecorder(tapFile);
    try (tap) {
      InvariantChecker.header(tap, plan);
      if (!plan.rules.isBlank()) {
        File rules = new File(folder, "rules.txt");
        Files.writeString(rules.toPath(), plan.rules);
        plan.deploymentText =
            plan.deploymentText.withValue(
                "constraints.file", ConfigValueFactory.fromAnyRef(rules.getAbsolutePath()));
        tap.line("rig", "rules", "text", plan.rules, "placers", plan.deployment.totalSchedulers());
      }
      fleet(machineLoops, tap);
      if (plan.registryEtcd) {
        etcd = new EmulatedEtcd(0, 200);
        etcd.tap(new WatchDelayRecorder(tap, plan.deployment.etcd().prefix()));
        plan.deploymentText =
            plan.deploymentText
                .withValue("machines.source", ConfigValueFactory.fromAnyRef("etcd"))
                .withValue(
                    "etcd.endpoints",
                    ConfigValueFactory.fromIterable(List.of("127.0.0.1:" + etcd.port())));
      }
      registry =
          new EmulatedRegistry(
              new File(folder, "machines.conf"),
              etcd,
              plan.deployment.etcd().prefix(),
              tap,
              plan.registryLate.toNanos() / 1000);
      for (EmulatedMachine m : machines) {
        registry.set(m, "live", null);
      }
      registry.start(plan.registryEvery.toMillis());
      placers = plan.ownProcess ? new ChildProcessFleet() : new InProcessFleet();
      owners(placers, ownerLoops, tap);
      new FaultInjector(plan, new ArrayList<>(machines), spares, owners, registry, clock, tap, etcd)
          .schedule();
      if (plan.sets > 0 && etcd != null) {
        sets(clock, etcd, tap);
      }
      feelStalls(clock, tap, System.nanoTime());
      double cpuBefore = placers.cpuSeconds();
      long begun = System.nanoTime();
      long until = tap.now() + plan.length.toNanos() / 1000;
      owners.forEach(o -> o.act(() -> o.arrivals(until)));
      watch(begun);
      String costs = placers.costs(cpuBefore, (System.nanoTime() - begun) / 1e9);
      owners.forEach(o -> o.act(o::close));
      boolean answered = placers.stop();
      tap.line("rig", "ends", "answered", answered);
      Thread.sleep(100);
      placers = null;
      registry.close();
      machines.forEach(m -> m.act(m::close));
      spares.forEach(m -> m.act(m::close));
      tap.close();
      InvariantChecker.Verdict verdict = InvariantChecker.judge(tapFile);
      return new Outcome(
          score.table(),
          verdict,
          score.inTimeShare(),
          score.bindMillis(50),
          score.bindMillis(99),
          score.asked(),
          costs);
    } finally {
      if (placers != null) {
        placers.stop();
      }
      if (registry != null) {
        registry.close();
      }
      if (etcd != null) {
        etcd.close();
      }
      clock.shutdownNow();
      machineLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      ownerLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /**
   * One generated set of rules after another goes to the store; what the language's own check says
   * of each is timed.
   */
  private void sets(ScheduledExecutorService clock, EmulatedEtcd etcd, WireRecorder tap) {
    RandomConstraints make = new RandomConstraints(plan);
    List<MachineTopology> spots =
        machines.stream()
            .map(
                m ->
                    new MachineTopology(m.make.name(), m.make.kind(), m.make.zone(), m.make.cell()))
            .toList();
    int[] refused = {0};
    double[] slowest = {0};
    for (int i = 0; i < plan.sets; i++) {
      int number = i;
      clock.schedule(
          () -> {
            String text = make.make(number);
            long from = System.nanoTime();
            boolean kept;
            try {
              List<PlacementConstraint> rules =
                  ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED);
              new ConstraintIndex(rules, plan.deployment.totalSchedulers());
              kept =
                  ConstraintValidator.findConflicts(
                          rules, spots, () -> System.nanoTime() - from > 1_000_000_000L)
                      .isEmpty();
            } catch (ConstraintSyntaxException | UnsatisfiableConstraintsException e) {
              kept = false;
            }
            double millis = (System.nanoTime() - from) / 1e6;
            slowest[0] = Math.max(slowest[0], millis);
            refused[0] += kept ? 0 : 1;
            if (kept) {
              tap.line("rig", "rules", "text", text, "placers", plan.deployment.totalSchedulers());
            }
            etcd.put(plan.deployment.etcd().prefix() + "/terms/constraints", text);
            if (number + 1 == plan.sets) {
              out.printf(
                  "%d sets of rules, %d refused; the slowest check took %.0f ms%n",
                  plan.sets, refused[0], slowest[0]);
            }
          },
          plan.setEvery.toNanos() * i,
          TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Says in the tap where the rig itself was kept waiting for a core: what it saw late then was not
   * late.
   */
  private static void feelStalls(ScheduledExecutorService clock, WireRecorder tap, long due) {
    long late = (System.nanoTime() - due) / 1000;
    if (late > 20_000) {
      tap.line("rig", "stalled", "for", late);
    }
    long next = System.nanoTime() + 10_000_000;
    clock.schedule(() -> feelStalls(clock, tap, next), 10, TimeUnit.MILLISECONDS);
  }

  private void watch(long begun) throws InterruptedException {
    long total = plan.length.plus(plan.settle).toSeconds();
    long last = -1;
    while (true) {
      long s = (System.nanoTime() - begun) / 1_000_000_000L;
      boolean over = s >= plan.length.toSeconds();
      int waiting = owners.stream().mapToInt(EmulatedClient::waiting).sum();
      if (s >= total || over && waiting == 0 && s >= plan.length.toSeconds() + 4) {
        return;
      }
      if (s / 5 != last / 5 && s > 0) {
        out.printf(
            "%3d of %d s: %d VMs asked for, %d waiting, %.1f%% in time%n",
            s, total, score.asked(), waiting, 100 * score.inTimeShare());
      }
      last = s;
      Thread.sleep(100);
    }
  }

  private void fleet(EventLoopGroup loops, WireRecorder tap) throws IOException {
    UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed);
    DeploymentSettings d = plan.deployment;
    long begun = System.nanoTime();
    double all = d.kinds().stream().mapToDouble(k -> plan.kindShares.get(k.name())).sum();
    int total = plan.machines + plan.spares;
    double[] due = new double[d.kinds().size()];
    for (int i = 0; i < total; i++) {
      int pick = 0;
      for (int k = 0; k < due.length; k++) {
        due[k] += plan.kindShares.get(d.kinds().get(k).name()) / all;
        pick = due[k] > due[pick] ? k : pick;
      }
      due[pick] -= 1;
      MachineKind kind = d.kinds().get(pick);
      MachineModel.MachineSpec make =
          new MachineModel.MachineSpec(
              String.format("m%03d", i),
              kind.name(),
              "z" + i % plan.zones,
              i / plan.cellSize,
              kind.cores(),
              kind.memory(),
              draw(chance, plan.speed),
              plan.line,
              millis(draw(chance, plan.admit)),
              plan.starts,
              d.cluster().coreOvercommitRatio(),
              d.cluster().memoryOvercommitRatio(),
              d.cluster().slowStart().initialStartRate(),
              d.cluster().slowStart().warmUpTime(),
              d.cluster().slowStart().overloadMultiple(),
              d.cluster().slowStart().overloadWindow(),
              d.cluster().slowStart().minOffersInWindow(),
              plan.kept,
              plan.setup,
              plan.sample,
              plan.preempts,
              plan.drainManner,
              millis(draw(chance, plan.work)));
      EmulatedMachine m =
          new EmulatedMachine(make, plan.uses, plan.seed * 7919 + i, loops.next(), tap, begun);
      (i < plan.machines ? machines : spares).add(m);
      tap.line(
          m.name(),
          "machine",
          "kind",
          make.kind(),
          "zone",
          make.zone(),
          "cell",
          make.cell(),
          "cores",
          make.cores(),
          "memory",
          make.memory());
    }
  }

  private static double draw(UniformRandomProvider chance, double[] range) {
    return range[0] + chance.nextDouble() * (range[1] - range[0]);
  }

  private static Duration millis(double ms) {
    return Duration.ofNanos((long) (ms * 1e6));
  }

  private void owners(SchedulerFleet placers, EventLoopGroup loops, WireRecorder tap) {
    UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed ^ 0xabcdef);
    List<EmulatedClient.Service> services = new ArrayList<>();
    List<PriorityClassSettings> priorityClasses =
        new ArrayList<>(plan.deployment.priorityClasses().values());
    double sum = plan.priorityClassShares.values().stream().mapToDouble(Double::doubleValue).sum();
    for (int i = 0; i < plan.services; i++) {
      double at = chance.nextDouble() * sum;
      PriorityClassSettings f = priorityClasses.get(priorityClasses.size() - 1);
      for (PriorityClassSettings o : priorityClasses) {
        at -= plan.priorityClassShares.get(o.name());
        if (at < 0) {
          f = o;
          break;
        }
      }
      String tenant = "";
      double share = chance.nextDouble();
      for (TenantShare c : plan.deployment.tenants()) {
        share -= c.share();
        if (share < 0 || tenant.isEmpty()) {
          tenant = c.name();
        }
        if (share < 0) {
          break;
        }
      }
      services.add(
          new EmulatedClient.Service(
              i + 1,
              f,
              tenant,
              plan.shapes.get(chance.nextInt(plan.shapes.size())),
              draw(chance, plan.life)));
    }
    int n = plan.deployment.instance().count();
    // Most owners carry little traffic, some far more.
    double[] weight = new double[n];
    double whole = 0;
    for (int i = 0; i < n; i++) {
      weight[i] = Math.exp(chance.nextDouble() * 2);
      whole += weight[i];
    }
    for (int i = 0; i < n; i++) {
      EmulatedClient o =
          new EmulatedClient(
              String.format("owner%03d", i),
              placers.port(i),
              loops.next(),
              tap,
              score,
              plan,
              services,
              plan.rate * weight[i] / whole,
              plan.seed * 104729 + i);
      owners.add(o);
      o.act(o::open);
    }
  }

  /**
   * Taps which placer was sent what news of the store, where it changes whether a machine may be
   * used.
   */
  private static final class WatchDelayRecorder implements EmulatedEtcd.WatchListener {
    private final WireRecorder tap;
    private final String prefix;
    private final Map<String, Set<String>> closed = new HashMap<>();

    WatchDelayRecorder(WireRecorder tap, String prefix) {
      this.tap = tap;
      this.prefix = prefix;
    }

    @Override
    public void snapshot(String who) {
      closed.remove(who);
      tap.line("etcd", "told-all", "placer", who);
    }

    @Override
    public void record(String who, String key, boolean deleted) {
      String of =
          key.startsWith(prefix + "/drains/")
              ? "drain"
              : key.startsWith(prefix + "/machines/") ? "machine" : "";
      boolean closes = of.equals("drain") != deleted;
      Set<String> its = closed.computeIfAbsent(who, k -> new HashSet<>());
      if (!of.isEmpty() && (closes ? its.add(key) : its.remove(key))) {
        tap.line(
            "etcd",
            "told",
            "placer",
            who,
            "machine",
            key.substring(key.lastIndexOf('/') + 1),
            "of",
            of,
            "closed",
            closes);
      }
    }
  }

  // ---- Placers
  // ---------------------------------------------------------------------------------------

  private interface SchedulerFleet {
    int port(int i);

    double cpuSeconds();

    String costs(double cpuBefore, double seconds);

    boolean stop() throws InterruptedException;
  }

  private DeploymentSettings settings() throws IOException, InvalidSettingsException {
    String text =
        plan.deploymentText
            .root()
            .render(ConfigRenderOptions.defaults().setOriginComments(false).setJson(false));
    File file = new File(folder, "placer.conf");
    Files.writeString(file.toPath(), text);
    return DeploymentSettings.read(file);
  }

  private final class InProcessFleet implements SchedulerFleet {
    private final PlacerCommand program;

    InProcessFleet() throws IOException, InvalidSettingsException {
      program = new PlacerCommand(settings());
    }

    @Override
    public int port(int i) {
      return program.port(i);
    }

    @Override
    public double cpuSeconds() {
      return 0;
    }

    @Override
    public String costs(double cpuBefore, double seconds) {
      return String.format(
          "in one process with the stand-ins; %.0f offers, loop lag p99 %.1f ms, input p50 "
              + "%.3f and p99 %.2f ms, %d streams to machines open",
          program.metrics().offerCount(),
          program.metrics().percentileMillis(Metrics.Latency.EVENT_LOOP_LAG, 0.99),
          program.metrics().percentileMillis(Metrics.Latency.DECISION, 0.5),
          program.metrics().percentileMillis(Metrics.Latency.DECISION, 0.99),
          program.streams());
    }

    @Override
    public boolean stop() throws InterruptedException {
      return program.stop();
    }
  }

  /** The placers as users run them: a process started from the jar. */
  private final class ChildProcessFleet implements SchedulerFleet {
    private final Process process;
    private final List<Integer> ports = new ArrayList<>();
    private int metricsServer;

    ChildProcessFleet() throws IOException, InterruptedException, InvalidSettingsException {
      plan.deploymentText =
          plan.deploymentText.withValue("metrics.port", ConfigValueFactory.fromAnyRef(0));
      settings();
      File portsFile = new File(folder, "ports.txt");
      Files.deleteIfExists(portsFile.toPath());
      process =
          new ProcessBuilder(
                  ProcessHandle.current().info().command().orElse("java"),
                  "-Xmx3g",
                  "-cp",
                  System.getProperty("java.class.path"),
                  "fordridge.Main",
                  "placer",
                  "--config",
                  new File(folder, "placer.conf").getPath(),
                  "--ports-file",
                  portsFile.getPath())
              .redirectError(new File(folder, "placer.log"))
              .redirectOutput(new File(folder, "placer.out"))
              .start();
      long until = System.nanoTime() + Duration.ofSeconds(60).toNanos();
      while (!portsFile.exists()) {
        if (!process.isAlive() || System.nanoTime() > until) {
          throw new IOException(
              "the placers did not start: "
                  + Files.readString(new File(folder, "placer.log").toPath()));
        }
        Thread.sleep(50);
      }
      for (String l : Files.readAllLines(portsFile.toPath())) {
        String[] w = l.split(" ");
        if (w[0].equals("metrics")) {
          metricsServer = Integer.parseInt(w[1]);
        } else {
          ports.add(Integer.parseInt(w[1]));
        }
      }
    }

    @Override
    public int port(int i) {
      return ports.get(i);
    }

    @Override
    public double cpuSeconds() {
      return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e9;
    }

    @Override
    public String costs(double cpuBefore, double seconds) {
      double cpu = cpuSeconds() - cpuBefore;
      String rss = "";
      String text = "";
      try {
        for (String l :
            Files.readAllLines(new File("/proc/" + process.pid() + "/status").toPath())) {
          rss = l.startsWith("VmRSS:") ? l.substring(6).trim() : rss;
        }
        text =
            new String(
                new java.net.URL("http://127.0.0.1:" + metricsServer + "/metrics")
                    .openStream()
                    .readAllBytes(),
                java.nio.charset.StandardCharsets.UTF_8);
        Files.writeString(new File(folder, "metrics.txt").toPath(), text);
      } catch (IOException e) {
        rss = "memory not read: " + e;
      }
      return String.format(
          "placers' process: %.1f s of CPU in %.1f s (%.2f ms a second for each), %s resident;%n"
              + "%s",
          cpu,
          seconds,
          1000 * cpu / seconds / plan.deployment.instance().count(),
          rss,
          picked(text));
    }

    private String picked(String text) {
      StringBuilder b = new StringBuilder();
      for (String l : text.split("\n")) {
        if (!l.startsWith("#")
            && l.matches(
                "fordridge_(bind|loop_lag|decide)_seconds\\{quantile.*"
                    + "|fordridge_(offers|outcomes).*|fordridge_streams.*")) {
          b.append("  ").append(l).append('\n');
        }
      }
      return b.toString();
    }

    @Override
    public boolean stop() throws InterruptedException {
      process.destroy();
      if (!process.waitFor(30, TimeUnit.SECONDS)) {
        process.destroyForcibly();
        return false;
      }
      return process.exitValue() == 0;
    }
  }
}
