package fordridge.emulator;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigValueFactory;
import fordridge.settings.ConfigReader;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.settings.MachineKind;
import fordridge.settings.PriorityClassSettings;
import fordridge.settings.SettingError;
import java.io.File;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A scripted day, read from HOCON and checked whole: the fleet, the owners, the registry and what
 * goes wrong.
 */
final class ScenarioPlan {
  /** A trouble: kinds and meanings are in docs/rig.md. */
  record Fault(
      String kind,
      Duration at,
      Duration lasts,
      double part,
      double size,
      double extra,
      String of,
      String by) {}

  record Shape(double cores, double memory) {}

  static final List<String> KINDS =
      List.of(
          "slow",
          "vanish",
          "hang",
          "crash",
          "fast_errors",
          "pauses",
          "neighbour",
          "answer_lost",
          "throttle",
          "drain",
          "deploy",
          "mass_restart",
          "preempt",
          "zone_loss",
          "grow",
          "burst",
          "hot_key",
          "flush",
          "reconnect",
          "cut_clients",
          "cut_machines",
          "cut_offers",
          "cut_before_answer",
          "cut_after_answer",
          "cut_greetings",
          "cut_binds",
          "mute",
          "etcd_compact",
          "etcd_silence",
          "etcd_cut",
          "etcd_delay",
          "etcd_restore",
          "etcd_leases");

  private static final Duration LONG = Duration.ofHours(2);

  String name;
  long seed;
  Duration length;
  Duration settle;
  boolean ownProcess;
  Config deploymentText;
  DeploymentSettings deployment;
  int machines;
  int spares;
  int zones;
  int cellSize;
  double[] admit;
  double[] work;
  double[] speed;
  int line;
  int starts;
  int kept;
  double setup;
  Duration sample;
  boolean preempts;
  String drainManner;
  Map<String, Double> kindShares = new LinkedHashMap<>();
  Map<String, MachineModel.UsageModel> uses = new LinkedHashMap<>();
  double rate;
  int services;
  double batch;
  double[] life;
  double[] again;

  /** Customers' rules in force all day; empty for none. */
  String rules;

  /** Generated sets that follow each other through the store. */
  int sets;

  Duration setEvery;
  int tries;
  Map<String, Double> priorityClassShares = new LinkedHashMap<>();
  List<Shape> shapes = new ArrayList<>();
  boolean registryEtcd;
  Duration registryEvery;
  Duration registryLate;
  final List<Fault> faults = new ArrayList<>();

  private ScenarioPlan() {}

  static ScenarioPlan read(File file, Map<String, ?> changes) throws InvalidSettingsException {
    Config own =
        ConfigFactory.parseMap(changes, "command line")
            .withFallback(DeploymentSettings.parse(file))
            .resolve();
    Config all =
        own.withFallback(
            ConfigFactory.parseResources(
                ScenarioPlan.class.getClassLoader(), "fordridge-day-reference.conf"));
    List<SettingError> errors = new ArrayList<>();
    ScenarioPlan p = new ScenarioPlan();
    ConfigReader r = new ConfigReader(all.withoutPath("deployment"), "", errors);
    p.deploymentText =
        all.getConfig("deployment")
            .withValue("machines.list", ConfigValueFactory.fromAnyRef("machines.conf"))
            .withValue("placer.listen.port", ConfigValueFactory.fromAnyRef(0));
    try {
      p.deployment = DeploymentSettings.read(p.deploymentText, new File("."));
    } catch (InvalidSettingsException e) {
      errors.addAll(e.errors());
      throw new InvalidSettingsException(errors);
    }
    p.take(r);
    r.rejectUnknownKeys();
    if (!errors.isEmpty()) {
      throw new InvalidSettingsException(errors);
    }
    return p;
  }

  private void take(ConfigReader r) {
    Duration ms = Duration.ofMillis(1);
    name = r.string("name", 100);
    sets = r.integer("sets.count", 0, 100_000);
    setEvery = r.duration("sets.every", Duration.ofMillis(10), LONG);
    rules = r.has("rules") ? r.string("rules", 1_000_000) : "";
    seed = r.longInteger("seed");
    length = r.duration("length", Duration.ofSeconds(1), LONG);
    settle = r.duration("settle", Duration.ofSeconds(1), LONG);
    ownProcess = r.bool("own_process");
    machines = r.integer("fleet.machines", 1, 10_000);
    spares = r.integer("fleet.spares", 0, 10_000);
    zones = r.integer("fleet.zones", 1, 100);
    cellSize = r.integer("fleet.cell_size", 1, 1000);
    admit = range(r, "fleet.admit_ms", 0.1, 10_000);
    work = range(r, "fleet.work_ms", 0.1, 100_000);
    speed = range(r, "fleet.speed", 0.01, 100);
    line = r.integer("fleet.line", 1, 10_000);
    starts = r.integer("fleet.starts", 1, 1000);
    kept = r.integer("fleet.kept", 0, 10_000);
    setup = r.decimal("fleet.setup", 1, 1000);
    sample = r.duration("fleet.sample", Duration.ofMillis(10), LONG);
    preempts = r.bool("fleet.preempts");
    drainManner = r.oneOf("fleet.drain_sends", "at_once", "paced", "none");
    rate = r.decimal("owners.rate", 0.01, 1e6);
    services = r.integer("owners.services", 1, 100_000);
    batch = r.decimal("owners.batch", 1, 1000);
    life = range(r, "owners.life_s", 0.1, 100_000);
    again = range(r, "owners.again_ms", 1, 1_000_000);
    tries = r.integer("owners.tries", 1, 1000);
    registryEtcd = r.oneOf("registry.in", "file", "etcd").equals("etcd");
    registryEvery = r.duration("registry.every", ms, LONG);
    registryLate = r.duration("registry.late", Duration.ZERO, LONG);
    for (PriorityClassSettings f : deployment.priorityClasses().values()) {
      String key = "flavours." + f.name();
      priorityClassShares.put(
          f.name(), r.has(key + ".share") ? r.decimal(key + ".share", 0, 1) : 1);
      uses.put(
          f.name(),
          new MachineModel.UsageModel(
              r.has(key + ".cores_use") ? r.decimal(key + ".cores_use", 0, 10) : 0.5,
              r.has(key + ".memory_use") ? r.decimal(key + ".memory_use", 0, 10) : 0.7,
              r.has(key + ".sigma") ? r.decimal(key + ".sigma", 0, 5) : 0.5,
              f.fullSpeedUtilization(),
              f.degradationSpan()));
    }
    for (MachineKind k : deployment.kinds()) {
      String key = "fleet.shares." + k.name();
      kindShares.put(k.name(), r.has(key) ? r.decimal(key, 0, 1) : 1);
    }
    for (ConfigReader s : r.objects("owners.shapes")) {
      shapes.add(new Shape(s.decimal("cores", 0.01, 1e6), s.decimal("memory", 0.01, 1e9)));
      s.rejectUnknownKeys();
    }
    for (ConfigReader f : r.objectsWithDefaults("faults", "fault_defaults")) {
      faults.add(
          new Fault(
              f.oneOf("kind", KINDS.toArray(new String[0])),
              f.duration("at", Duration.ZERO, LONG),
              f.duration("for", Duration.ZERO, LONG),
              f.decimal("part", 0, 1),
              f.decimal("size", 0, 1e6),
              f.decimal("extra", 0, 1e6),
              f.string("of", 100),
              f.oneOf("by", "any", "zone", "cell", "kind")));
      f.rejectUnknownKeys();
    }
    for (String key : List.of("kind", "at", "for", "part", "size", "extra", "of", "by")) {
      r.markKnown("fault_defaults." + key);
    }
  }

  private static double[] range(ConfigReader r, String key, double least, double most) {
    return new double[] {
      r.decimal(key + ".least", least, most), r.decimal(key + ".most", least, most)
    };
  }
}
