package fordridge.emulator;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigValueFactory;
import fordridge.emulator.machine.DrainPolicy;
import fordridge.emulator.machine.UsageProfile;
import fordridge.model.MachineKind;
import fordridge.settings.ConfigReader;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.settings.PriorityClassSettings;
import fordridge.settings.SettingError;
import java.io.File;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The settings of a scenario, read from HOCON: the run, the fleet, the clients, the registry and
 * the faults. All settings are validated before anything starts.
 *
 * @param deploymentConfig the deployment section of the file, from which the schedulers'
 *     configuration file is written
 * @param deployment the same section as parsed settings
 */
record ScenarioPlan(
    Run run,
    Config deploymentConfig,
    DeploymentSettings deployment,
    Fleet fleet,
    Clients clients,
    Registry registry,
    Constraints constraints,
    List<ScenarioFault> faults) {

  private static final Duration MAX_DURATION = Duration.ofHours(2);
  private static final double DEFAULT_CORES_USE = 0.5;
  private static final double DEFAULT_MEMORY_USE = 0.7;
  private static final double DEFAULT_USE_SIGMA = 0.5;

  /**
   * The settings of the run as a whole.
   *
   * @param length how long VMs are requested
   * @param maxSettleTime the longest wait for the last responses after that
   * @param usesSeparateProcess whether the schedulers run in a separate process
   */
  record Run(
      String name,
      long seed,
      Duration length,
      Duration maxSettleTime,
      boolean usesSeparateProcess) {}

  /**
   * The settings of the machines.
   *
   * @param spares number of machines that a fault can add later
   * @param cellSize number of machines in a cell
   * @param kindShares the relative share of each machine kind
   * @param usageProfiles how VMs use their resources, by priority class
   */
  record Fleet(
      int machines,
      int spares,
      int zones,
      int cellSize,
      MachineTemplate template,
      Map<String, Double> kindShares,
      Map<String, UsageProfile> usageProfiles) {}

  /** Settings of all machines, and the ranges from which the values of each one are drawn. */
  record MachineTemplate(
      AdmissionTemplate admission,
      StartUpTemplate startUp,
      Duration sampleInterval,
      DrainPolicy drainPolicy) {}

  /** How a machine examines offers. */
  record AdmissionTemplate(UniformRange timeMillis, int queueLimit, boolean preempts) {}

  /** How a machine starts VMs. */
  record StartUpTemplate(
      UniformRange workMillis,
      UniformRange speed,
      int parallelStarts,
      int cachedPrograms,
      double uncachedFactor) {}

  /**
   * The settings of the clients and their requests.
   *
   * @param ratePerSecond mean number of VMs that all clients together request per second
   * @param meanBatchSize mean number of VMs that a client requests together
   * @param maxAttempts how many times a client requests a VM at most
   * @param priorityClassShares the relative share of services in each priority class
   */
  record Clients(
      double ratePerSecond,
      int services,
      double meanBatchSize,
      UniformRange lifeSeconds,
      UniformRange retryMillis,
      int maxAttempts,
      Map<String, Double> priorityClassShares,
      List<Shape> shapes) {}

  /** The resources that a VM requests. */
  record Shape(double cores, double memory) {}

  /**
   * The settings of the registry that publishes the machine list.
   *
   * @param isInEtcd whether the list is published in etcd rather than in a file
   * @param delay the age of the published state
   */
  record Registry(boolean isInEtcd, Duration interval, Duration delay) {}

  /**
   * The tenants' constraints.
   *
   * @param text the constraints that apply from the start; empty for none
   * @param generatedSets number of generated sets that are published in etcd one after another
   */
  record Constraints(String text, int generatedSets, Duration setInterval) {}

  /**
   * Reads and validates a scenario.
   *
   * @param overrides settings by key that replace those of the file
   */
  static ScenarioPlan read(File file, Map<String, ?> overrides) throws InvalidSettingsException {
    Config scenario =
        ConfigFactory.parseMap(overrides, "command line")
            .withFallback(DeploymentSettings.parse(file))
            .resolve()
            .withFallback(
                ConfigFactory.parseResources(
                    ScenarioPlan.class.getClassLoader(), "fordridge-day-reference.conf"));
    List<SettingError> errors = new ArrayList<>();
    Config deploymentConfig =
        scenario
            .getConfig("deployment")
            .withValue("machines.list", ConfigValueFactory.fromAnyRef("machines.conf"))
            .withValue("placer.listen.port", ConfigValueFactory.fromAnyRef(0));
    DeploymentSettings deployment = DeploymentSettings.read(deploymentConfig, new File("."));
    ConfigReader reader = new ConfigReader(scenario.withoutPath("deployment"), "", errors);
    ScenarioPlan plan =
        new ScenarioPlan(
            readRun(reader),
            deploymentConfig,
            deployment,
            readFleet(reader, deployment),
            readClients(reader, deployment),
            readRegistry(reader),
            readConstraints(reader),
            readFaults(reader));
    reader.rejectUnknownKeys();
    if (!errors.isEmpty()) {
      throw new InvalidSettingsException(errors);
    }
    return plan;
  }

  private static Run readRun(ConfigReader reader) {
    return new Run(
        reader.string("name", 100),
        reader.longInteger("seed"),
        reader.duration("length", Duration.ofSeconds(1), MAX_DURATION),
        reader.duration("settle", Duration.ofSeconds(1), MAX_DURATION),
        reader.bool("own_process"));
  }

  private static Fleet readFleet(ConfigReader reader, DeploymentSettings deployment) {
    return new Fleet(
        reader.integer("fleet.machines", 1, 10_000),
        reader.integer("fleet.spares", 0, 10_000),
        reader.integer("fleet.zones", 1, 100),
        reader.integer("fleet.cell_size", 1, 1000),
        readTemplate(reader),
        readKindShares(reader, deployment),
        readUsageProfiles(reader, deployment));
  }

  private static MachineTemplate readTemplate(ConfigReader reader) {
    return new MachineTemplate(
        new AdmissionTemplate(
            readRange(reader, "fleet.admit_ms", 0.1, 10_000),
            reader.integer("fleet.line", 1, 10_000),
            reader.bool("fleet.preempts")),
        new StartUpTemplate(
            readRange(reader, "fleet.work_ms", 0.1, 100_000),
            readRange(reader, "fleet.speed", 0.01, 100),
            reader.integer("fleet.starts", 1, 1000),
            reader.integer("fleet.kept", 0, 10_000),
            reader.decimal("fleet.setup", 1, 1000)),
        reader.duration("fleet.sample", Duration.ofMillis(10), MAX_DURATION),
        drainPolicy(reader.oneOf("fleet.drain_sends", "at_once", "paced", "none")));
  }

  private static DrainPolicy drainPolicy(String text) {
    return DrainPolicy.valueOf(text.toUpperCase(Locale.ROOT));
  }

  private static Map<String, Double> readKindShares(
      ConfigReader reader, DeploymentSettings deployment) {
    Map<String, Double> shares = new LinkedHashMap<>();
    for (MachineKind kind : deployment.kinds()) {
      shares.put(kind.name(), readOptional(reader, "fleet.shares." + kind.name(), 1, 1));
    }
    return shares;
  }

  private static Map<String, UsageProfile> readUsageProfiles(
      ConfigReader reader, DeploymentSettings deployment) {
    Map<String, UsageProfile> profiles = new LinkedHashMap<>();
    for (PriorityClassSettings priorityClass : deployment.priorityClasses().values()) {
      String key = "flavours." + priorityClass.name();
      profiles.put(
          priorityClass.name(),
          new UsageProfile(
              readOptional(reader, key + ".cores_use", 10, DEFAULT_CORES_USE),
              readOptional(reader, key + ".memory_use", 10, DEFAULT_MEMORY_USE),
              readOptional(reader, key + ".sigma", 5, DEFAULT_USE_SIGMA),
              priorityClass.fullSpeedUtilization(),
              priorityClass.degradationSpan()));
    }
    return profiles;
  }

  private static Clients readClients(ConfigReader reader, DeploymentSettings deployment) {
    return new Clients(
        reader.decimal("owners.rate", 0.01, 1e6),
        reader.integer("owners.services", 1, 100_000),
        reader.decimal("owners.batch", 1, 1000),
        readRange(reader, "owners.life_s", 0.1, 100_000),
        readRange(reader, "owners.again_ms", 1, 1_000_000),
        reader.integer("owners.tries", 1, 1000),
        readPriorityClassShares(reader, deployment),
        readShapes(reader));
  }

  private static Map<String, Double> readPriorityClassShares(
      ConfigReader reader, DeploymentSettings deployment) {
    Map<String, Double> shares = new LinkedHashMap<>();
    for (String name : deployment.priorityClasses().keySet()) {
      shares.put(name, readOptional(reader, "flavours." + name + ".share", 1, 1));
    }
    return shares;
  }

  private static List<Shape> readShapes(ConfigReader reader) {
    List<Shape> shapes = new ArrayList<>();
    for (ConfigReader shape : reader.objects("owners.shapes")) {
      shapes.add(new Shape(shape.decimal("cores", 0.01, 1e6), shape.decimal("memory", 0.01, 1e9)));
      shape.rejectUnknownKeys();
    }
    return shapes;
  }

  private static Registry readRegistry(ConfigReader reader) {
    return new Registry(
        reader.oneOf("registry.in", "file", "etcd").equals("etcd"),
        reader.duration("registry.every", Duration.ofMillis(1), MAX_DURATION),
        reader.duration("registry.late", Duration.ZERO, MAX_DURATION));
  }

  private static Constraints readConstraints(ConfigReader reader) {
    return new Constraints(
        reader.has("rules") ? reader.string("rules", 1_000_000) : "",
        reader.integer("sets.count", 0, 100_000),
        reader.duration("sets.every", Duration.ofMillis(10), MAX_DURATION));
  }

  private static List<ScenarioFault> readFaults(ConfigReader reader) {
    List<ScenarioFault> faults = new ArrayList<>();
    for (ConfigReader fault : reader.objectsWithDefaults("faults", "fault_defaults")) {
      faults.add(
          new ScenarioFault(
              FaultKind.of(fault.oneOf("kind", FaultKind.texts())),
              fault.duration("at", Duration.ZERO, MAX_DURATION),
              fault.duration("for", Duration.ZERO, MAX_DURATION),
              fault.decimal("part", 0, 1),
              fault.decimal("size", 0, 1e6),
              fault.decimal("extra", 0, 1e6),
              fault.string("of", 100),
              ScenarioFault.Scope.of(fault.oneOf("by", "any", "zone", "cell", "kind"))));
      fault.rejectUnknownKeys();
    }
    for (String key : List.of("kind", "at", "for", "part", "size", "extra", "of", "by")) {
      reader.markKnown("fault_defaults." + key);
    }
    return faults;
  }

  private static double readOptional(
      ConfigReader reader, String key, double max, double defaultValue) {
    return reader.has(key) ? reader.decimal(key, 0, max) : defaultValue;
  }

  private static UniformRange readRange(ConfigReader reader, String key, double min, double max) {
    return new UniformRange(
        reader.decimal(key + ".least", min, max), reader.decimal(key + ".most", min, max));
  }
}
