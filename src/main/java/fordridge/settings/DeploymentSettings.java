package fordridge.settings;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
import fordridge.model.MachineKind;
import java.io.File;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The settings of a scheduler process, read from a HOCON file over the defaults of {@code
 * fordridge-reference.conf}.
 *
 * <p>All values are validated on reading: each is within its range and consistent with the others.
 * Instances are immutable.
 */
public final class DeploymentSettings {
  /** Minimum ratio of each start deadline to the response margin. */
  private static final int MIN_DEADLINE_TO_MARGIN_RATIO = 4;

  /** Limit of the sum of the tenants' shares, with a tolerance for rounding errors. */
  private static final double MAX_SHARE_SUM = 1.0001;

  private static final String REFERENCE_FILE = "fordridge-reference.conf";

  private final Config configWithoutDefaults;
  private final File folder;
  private final InstanceSettings instance;
  private final SessionSettings sessions;
  private final MachineListSettings machineList;
  private final EtcdSettings etcd;
  private final ConnectionSettings connections;
  private final String constraintsPath;
  private final ClusterSettings cluster;
  private final GossipSettings gossip;
  private final String shadowSettingsPath;
  private final PriceSettings prices;
  private final GoalSettings goal;
  private final List<MachineKind> kinds;
  private final Map<String, PriorityClassSettings> priorityClasses;
  private final List<TenantShare> tenants;
  private final LoggingSettings logging;
  private final int metricsPort;

  /** Reads all values; errors are added to the reader's list. */
  private DeploymentSettings(ConfigReader reader, Config configWithoutDefaults, File folder) {
    this.configWithoutDefaults = configWithoutDefaults;
    this.folder = folder;
    instance = InstanceSettings.read(reader);
    sessions = SessionSettings.read(reader);
    machineList = MachineListSettings.read(reader);
    etcd = EtcdSettings.read(reader);
    connections = ConnectionSettings.read(reader);
    constraintsPath = reader.string("constraints.file", Limits.MAX_PATH_LENGTH);
    cluster = ClusterSettings.read(reader);
    gossip = GossipSettings.read(reader);
    shadowSettingsPath = reader.string("watch.terms", Limits.MAX_PATH_LENGTH);
    prices = PriceSettings.read(reader);
    goal = GoalSettings.read(reader);
    kinds = reader.objects("kinds").stream().map(DeploymentSettings::readKind).toList();
    priorityClasses = readPriorityClasses(reader);
    tenants = reader.objects("customers").stream().map(TenantShare::read).toList();
    logging = LoggingSettings.read(reader);
    metricsPort = reader.integer("metrics.port", -1, Limits.MAX_PORT);
  }

  /**
   * Reads and checks a settings file.
   *
   * @throws InvalidSettingsException with all errors, if there are any
   */
  public static DeploymentSettings read(File file) throws InvalidSettingsException {
    return read(parse(file), file.getAbsoluteFile().getParentFile());
  }

  /**
   * Parses a HOCON file without reading its values.
   *
   * @throws InvalidSettingsException if the file does not exist or is not valid HOCON
   */
  public static Config parse(File file) throws InvalidSettingsException {
    if (!file.isFile()) {
      throw InvalidSettingsException.ofMessage(file + ": no such file");
    }
    try {
      return ConfigFactory.parseFile(
              file, ConfigParseOptions.defaults().setSyntax(ConfigSyntax.CONF))
          .resolve();
    } catch (ConfigException e) {
      throw InvalidSettingsException.ofMessage(e.getMessage());
    }
  }

  /**
   * Reads and checks parsed settings.
   *
   * @param config the settings without defaults
   * @param folder folder that relative paths are resolved against
   * @throws InvalidSettingsException with all errors, if there are any
   */
  public static DeploymentSettings read(Config config, File folder)
      throws InvalidSettingsException {
    Config defaults =
        ConfigFactory.parseResources(DeploymentSettings.class.getClassLoader(), REFERENCE_FILE);
    List<SettingError> errors = new ArrayList<>();
    ConfigReader reader = new ConfigReader(config.withFallback(defaults), "", errors);
    DeploymentSettings settings = new DeploymentSettings(reader, config, folder);
    reader.rejectUnknownKeys();
    settings.check(reader);
    if (!errors.isEmpty()) {
      throw new InvalidSettingsException(errors);
    }
    return settings;
  }

  private static MachineKind readKind(ConfigReader reader) {
    MachineKind kind =
        new MachineKind(
            reader.string("name", Limits.MAX_NAME_LENGTH),
            reader.decimal("cores", 0.01, 1e6),
            reader.decimal("memory", 0.01, 1e9));
    reader.rejectUnknownKeys();
    return kind;
  }

  private static Map<String, PriorityClassSettings> readPriorityClasses(ConfigReader reader) {
    PriorityClassSettings.markDefaultsKnown(reader);
    Map<String, PriorityClassSettings> byName = new LinkedHashMap<>();
    for (ConfigReader item :
        reader.objectsWithDefaults("flavours", PriorityClassSettings.DEFAULTS_KEY)) {
      PriorityClassSettings priorityClass = PriorityClassSettings.read(item);
      if (byName.put(priorityClass.name(), priorityClass) != null) {
        item.reject("name", "'" + priorityClass.name() + "' twice", "each name once");
      }
    }
    return Collections.unmodifiableMap(byName);
  }

  /** Checks that values are consistent with each other. */
  private void check(ConfigReader reader) {
    checkKinds(reader);
    checkPriorityClasses(reader);
    checkTenants(reader);
    instance.check(reader);
    etcd.check(reader, machineList.isInEtcd());
    connections.check(reader);
    cluster.check(reader);
    gossip.check(reader, instance.schedulerCount());
    goal.check(reader);
  }

  private void checkKinds(ConfigReader reader) {
    Set<String> names = new HashSet<>();
    for (MachineKind kind : kinds) {
      if (!names.add(kind.name())) {
        reader.reject("kinds", "'" + kind.name() + "' twice", "each name once");
      }
    }
    if (kinds.isEmpty()) {
      reader.reject("kinds", "none", "at least one kind of machine");
    }
  }

  private void checkPriorityClasses(ConfigReader reader) {
    if (priorityClasses.isEmpty()) {
      reader.reject("flavours", "none", "at least one flavour");
    }
    for (PriorityClassSettings priorityClass : priorityClasses.values()) {
      checkRequiredKind(reader, priorityClass);
      priorityClass.check(reader);
      checkResponseMargin(reader, priorityClass);
    }
  }

  private void checkRequiredKind(ConfigReader reader, PriorityClassSettings priorityClass) {
    String kind = priorityClass.requiredKind();
    if (!kind.isEmpty() && !kindNames().contains(kind)) {
      reader.reject(
          "flavours",
          "'" + priorityClass.name() + "' requires kind '" + kind + "'",
          "a kind listed in kinds: " + String.join(", ", kindNames()));
    }
  }

  private void checkResponseMargin(ConfigReader reader, PriorityClassSettings priorityClass) {
    Duration margin = instance.responseMargin();
    Duration deadline = priorityClass.startDeadline();
    if (margin.multipliedBy(MIN_DEADLINE_TO_MARGIN_RATIO).compareTo(deadline) > 0) {
      reader.reject(
          "placer.answer_margin",
          margin.toMillis() + "ms",
          "at most a quarter of the build_timeout of '"
              + priorityClass.name()
              + "', "
              + deadline.toMillis()
              + "ms");
    }
  }

  private void checkTenants(ConfigReader reader) {
    double shareSum = tenants.stream().mapToDouble(TenantShare::share).sum();
    if (shareSum > MAX_SHARE_SUM) {
      reader.reject(
          "customers",
          "shares of " + Math.round(shareSum * 1000) / 1000.0 + " in total",
          "at most 1 in total");
    }
  }

  /** The scheduler instances of this process. */
  public InstanceSettings instance() {
    return instance;
  }

  /** Limits of what is retained for clients. */
  public SessionSettings sessions() {
    return sessions;
  }

  /** The source of the machine list. */
  public MachineListSettings machineList() {
    return machineList;
  }

  /** Access to etcd. */
  public EtcdSettings etcd() {
    return etcd;
  }

  /** Connections to machines. */
  public ConnectionSettings connections() {
    return connections;
  }

  /** The behavior of the cluster that the scheduler relies on. */
  public ClusterSettings cluster() {
    return cluster;
  }

  /** Gossip between schedulers. */
  public GossipSettings gossip() {
    return gossip;
  }

  /** Penalties for the costs that placements cause. */
  public PriceSettings prices() {
    return prices;
  }

  /** Weights of the terms of the objective. */
  public GoalSettings goal() {
    return goal;
  }

  /** The kinds of machine. */
  public List<MachineKind> kinds() {
    return kinds;
  }

  /** The names of all kinds of machine, sorted. */
  public Set<String> kindNames() {
    Set<String> names = new TreeSet<>();
    kinds.forEach(kind -> names.add(kind.name()));
    return names;
  }

  /** The priority classes by name, in the order of the settings file. */
  public Map<String, PriorityClassSettings> priorityClasses() {
    return priorityClasses;
  }

  /** The tenants and their shares; may be empty. */
  public List<TenantShare> tenants() {
    return tenants;
  }

  /** Log format and level of the process. */
  public LoggingSettings logging() {
    return logging;
  }

  /** Port of the metrics server; 0 for any free port, negative for no server. */
  public int metricsPort() {
    return metricsPort;
  }

  /** The number of schedulers that share the cluster. */
  public int totalSchedulers() {
    return instance.totalSchedulers();
  }

  /** The machine list file; used only if the source of the list is a file. */
  public File machineListFile() {
    return resolve(machineList.path());
  }

  /** The file with the tenants' constraints, if one is configured. */
  public Optional<File> constraintsFile() {
    return optionalFile(constraintsPath);
  }

  /** The file with the settings of the shadow scheduler, if one is configured. */
  public Optional<File> shadowSettingsFile() {
    return optionalFile(shadowSettingsPath);
  }

  private Optional<File> optionalFile(String path) {
    return path.isEmpty() ? Optional.empty() : Optional.of(resolve(path));
  }

  private File resolve(String path) {
    File file = new File(path);
    return file.isAbsolute() ? file : new File(folder, path);
  }

  /** The settings as they were given, without defaults. */
  Config configWithoutDefaults() {
    return configWithoutDefaults;
  }

  /** The folder that relative paths are resolved against. */
  File folder() {
    return folder;
  }
}
