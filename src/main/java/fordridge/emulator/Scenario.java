package fordridge.emulator;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigValueFactory;
import fordridge.emulator.invariant.InvariantChecker;
import fordridge.emulator.invariant.InvariantReport;
import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.settings.PriorityClassSettings;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Runs real schedulers against emulated machines and clients on loopback while faults are injected,
 * then checks the invariants on the recording.
 */
public final class Scenario {
  /** The source of the emulator's own events in a recording. */
  static final String SOURCE = "rig";

  private static final int ETCD_PROGRESS_INTERVAL_MILLIS = 200;
  private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(5);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  /** The shortest time for which the schedulers keep running after the last request. */
  private static final Duration MIN_SETTLE_TIME = Duration.ofSeconds(4);

  /** Time for messages that were written before the schedulers stopped to arrive. */
  private static final Duration LAST_ARRIVALS_WAIT = Duration.ofMillis(100);

  /**
   * The result of a scenario.
   *
   * @param table the outcomes of the clients' requests, a table of several lines
   * @param inTimeShare the share of VMs that ran within their start latency objective
   * @param p50Millis median time from the first request for a VM until it ran
   * @param p99Millis the same, 99th percentile
   * @param requested number of VMs that were requested
   * @param resourceUsage the schedulers' resource usage, possibly several lines
   */
  public record Outcome(
      String table,
      InvariantReport report,
      double inTimeShare,
      double p50Millis,
      double p99Millis,
      long requested,
      String resourceUsage) {}

  private final ScenarioPlan plan;
  private final File folder;
  private final PrintStream out;
  private final ClientOutcomes outcomes = new ClientOutcomes();

  private Scenario(ScenarioPlan plan, File folder, PrintStream out) {
    this.plan = plan;
    this.folder = folder;
    this.out = out;
  }

  /**
   * Reads a scenario and runs it.
   *
   * @param overrides settings by key that replace those of the file
   * @param folder where the recording, configuration and logs are written
   * @param out where progress is printed
   */
  public static Outcome run(File file, Map<String, ?> overrides, File folder, PrintStream out)
      throws InvalidSettingsException, IOException, InterruptedException {
    return new Scenario(ScenarioPlan.read(file, overrides), folder, out).run();
  }

  private Outcome run() throws IOException, InterruptedException, InvalidSettingsException {
    Files.createDirectories(folder.toPath());
    File recording = new File(folder, "tap.jsonl");
    String resourceUsage;
    try (ScenarioResources resources = new ScenarioResources();
        WireRecorder recorder = new WireRecorder(recording)) {
      resourceUsage = runRecorded(resources, recorder);
    }
    return new Outcome(
        outcomes.table(),
        InvariantChecker.check(recording),
        outcomes.inTimeShare(),
        outcomes.latencyMillis(50),
        outcomes.latencyMillis(99),
        outcomes.requested(),
        resourceUsage);
  }

  private String runRecorded(ScenarioResources resources, WireRecorder recorder)
      throws IOException, InterruptedException, InvalidSettingsException {
    recordSettings(recorder);
    Config config = publishConstraints(recorder);
    List<EmulatedMachine> fleet = new FleetBuilder(plan, recorder).build(resources.machineLoops());
    if (!plan.registry().isInEtcd()) {
      File listFile = new File(folder, "machines.conf");
      return runWithRegistry(
          resources,
          recorder,
          fleet,
          config,
          Optional.empty(),
          new FileMachineListWriter(listFile));
    }
    try (EmulatedEtcd etcd = new EmulatedEtcd(0, ETCD_PROGRESS_INTERVAL_MILLIS)) {
      String prefix = plan.deployment().etcd().prefix();
      etcd.setSendListener(new StoreChangeRecorder(recorder, prefix));
      return runWithRegistry(
          resources,
          recorder,
          fleet,
          withEtcd(config, etcd),
          Optional.of(etcd),
          new EtcdMachineListWriter(etcd, prefix));
    }
  }

  private static Config withEtcd(Config config, EmulatedEtcd etcd) {
    List<String> endpoints = List.of("127.0.0.1:" + etcd.port());
    return config
        .withValue("machines.source", ConfigValueFactory.fromAnyRef("etcd"))
        .withValue("etcd.endpoints", ConfigValueFactory.fromIterable(endpoints));
  }

  private String runWithRegistry(
      ScenarioResources resources,
      WireRecorder recorder,
      List<EmulatedMachine> fleet,
      Config config,
      Optional<EmulatedEtcd> etcd,
      MachineListWriter listWriter)
      throws IOException, InterruptedException, InvalidSettingsException {
    int machineCount = plan.fleet().machines();
    List<EmulatedMachine> machines = new ArrayList<>(fleet.subList(0, machineCount));
    List<EmulatedMachine> spares = fleet.subList(machineCount, fleet.size());
    try (EmulatedRegistry registry =
        new EmulatedRegistry(listWriter, recorder, plan.registry().delay())) {
      machines.forEach(machine -> registry.setState(machine, RegisteredMachine.State.LIVE));
      registry.start(plan.registry().interval());
      try (SchedulerFleet schedulers = startSchedulers(config)) {
        List<EmulatedClient> clients =
            new ClientBuilder(plan, recorder, outcomes)
                .build(schedulers::port, resources.clientLoops());
        clients.forEach(client -> client.execute(client::open));
        ScenarioPeers peers = new ScenarioPeers(machines, spares, clients, registry, etcd);
        scheduleWork(resources, recorder, peers);
        String resourceUsage = applyLoad(recorder, schedulers, clients);
        boolean isAnswered = schedulers.stop();
        recorder
            .event(SOURCE, RecordedEventKind.SCENARIO_ENDS)
            .with(RecordField.IS_ANSWERED, isAnswered)
            .write();
        Thread.sleep(LAST_ARRIVALS_WAIT.toMillis());
        return resourceUsage;
      }
    } finally {
      fleet.forEach(machine -> machine.execute(machine::close));
    }
  }

  private void recordSettings(WireRecorder recorder) {
    DeploymentSettings settings = plan.deployment();
    recorder
        .event(SOURCE, RecordedEventKind.SETTINGS)
        .with(RecordField.DRAIN_GRACE, micros(settings.cluster().drainGracePeriod()))
        .with(RecordField.POLL_INTERVAL, micros(settings.machineList().pollInterval()))
        .with(RecordField.ACCEPTANCE_SIGNAL, settings.cluster().acceptancePoint().configWord())
        .write();
    for (PriorityClassSettings priorityClass : settings.priorityClasses().values()) {
      recorder
          .event(SOURCE, RecordedEventKind.PRIORITY_CLASS)
          .with(RecordField.NAME, priorityClass.name())
          .with(RecordField.RETRY_SAFETY, priorityClass.retrySafety().configWord())
          .with(RecordField.DEDUPLICATION_DOMAIN, priorityClass.deduplicationScope().configWord())
          .with(RecordField.DEDUPLICATION_WINDOW, micros(priorityClass.deduplicationWindow()))
          .with(RecordField.SPREAD_DOMAIN, priorityClass.spreadScope().configWord())
          .with(RecordField.SPREAD_LIMIT, priorityClass.maxPerSpreadScope())
          .write();
    }
  }

  private static long micros(Duration duration) {
    return TimeUnit.NANOSECONDS.toMicros(duration.toNanos());
  }

  /** Returns the schedulers' configuration, with the constraints that apply from the start. */
  private Config publishConstraints(WireRecorder recorder) throws IOException {
    String text = plan.constraints().text();
    if (text.isBlank()) {
      return plan.deploymentConfig();
    }
    File file = new File(folder, "rules.txt");
    Files.writeString(file.toPath(), text);
    ConstraintPublisher.recordConstraints(recorder, text, plan.deployment().totalSchedulers());
    return plan.deploymentConfig()
        .withValue("constraints.file", ConfigValueFactory.fromAnyRef(file.getAbsolutePath()));
  }

  private SchedulerFleet startSchedulers(Config config)
      throws IOException, InterruptedException, InvalidSettingsException {
    if (plan.run().usesSeparateProcess()) {
      writeSettings(config.withValue("metrics.port", ConfigValueFactory.fromAnyRef(0)));
      return new SchedulerProcess(folder);
    }
    return new InProcessSchedulers(writeSettings(config));
  }

  private DeploymentSettings writeSettings(Config config)
      throws IOException, InvalidSettingsException {
    File file = new File(folder, "placer.conf");
    ConfigRenderOptions options =
        ConfigRenderOptions.defaults().setOriginComments(false).setJson(false);
    Files.writeString(file.toPath(), config.root().render(options));
    return DeploymentSettings.read(file);
  }

  private void scheduleWork(
      ScenarioResources resources, WireRecorder recorder, ScenarioPeers peers) {
    new FaultInjector(plan, peers, resources.faultExecutor(), recorder).schedule();
    peers
        .etcd()
        .ifPresent(
            etcd ->
                new ConstraintPublisher(plan, peers.machines(), etcd, recorder, out)
                    .schedule(resources.faultExecutor()));
    new StallRecorder(resources.faultExecutor(), recorder).start();
  }

  /**
   * Requests VMs for the length of the run and waits for the last responses. Returns the
   * schedulers' resource usage.
   */
  private String applyLoad(
      WireRecorder recorder, SchedulerFleet schedulers, List<EmulatedClient> clients)
      throws InterruptedException {
    schedulers.beginMeasurement();
    long startNanos = System.nanoTime();
    long endUs = recorder.nowUs() + micros(plan.run().length());
    clients.forEach(client -> client.execute(() -> client.requestUntil(endUs)));
    awaitEnd(startNanos, clients);
    String resourceUsage = schedulers.resourceUsage((System.nanoTime() - startNanos) / 1e9);
    clients.forEach(client -> client.execute(client::close));
    return resourceUsage;
  }

  private void awaitEnd(long startNanos, List<EmulatedClient> clients) throws InterruptedException {
    long lengthSeconds = plan.run().length().toSeconds();
    long totalSeconds = plan.run().length().plus(plan.run().maxSettleTime()).toSeconds();
    long intervalSeconds = PROGRESS_INTERVAL.toSeconds();
    long lastElapsedSeconds = -1;
    while (true) {
      long elapsedSeconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos);
      int pending = clients.stream().mapToInt(EmulatedClient::pendingCount).sum();
      boolean isSettled =
          pending == 0 && elapsedSeconds >= lengthSeconds + MIN_SETTLE_TIME.toSeconds();
      if (elapsedSeconds >= totalSeconds || isSettled) {
        return;
      }
      if (elapsedSeconds / intervalSeconds != lastElapsedSeconds / intervalSeconds
          && elapsedSeconds > 0) {
        out.printf(
            "%3d of %d s: %d VMs requested, %d pending, %.1f%% in time%n",
            elapsedSeconds,
            totalSeconds,
            outcomes.requested(),
            pending,
            100 * outcomes.inTimeShare());
      }
      lastElapsedSeconds = elapsedSeconds;
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }
}
