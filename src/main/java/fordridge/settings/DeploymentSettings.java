package fordridge.settings;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
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
 * <p>An instance is checked whole when it is read: every value is within its range and consistent
 * with the others. It never changes and may be shared between threads.
 */
public final class DeploymentSettings {
  /** A start deadline is at least this many times the response margin. */
  private static final int MIN_DEADLINE_TO_MARGIN_RATIO = 4;

  /** Room for rounding errors in the sum of the tenants' shares. */
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

  /** Reads all values; the errors are in the reader's list. */
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
    kinds = reader.objects("kinds").stream().map(MachineKind::read).toList();
    priorityClasses = readPriorityClasses(reader);
    tenants = reader.objects("customers").stream().map(TenantShare::read).toList();
    logging = LoggingSettings.read(reader);
    metricsPort = reader.integer("metrics.port", -1, Limits.MAX_PORT);
  }

  /**
   * Reads and checks a settings file.
   *
   * @throws InvalidSettingsException with every error in it
   */
  public static DeploymentSettings read(File file) throws InvalidSettingsException {
    return read(parse(file), file.getAbsoluteFile().getParentFile());
  }

  /**
   * Parses a HOCON file without reading its values.
   *
   * @throws InvalidSettingsException if there is no such file, or it is not HOCON
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
   * @param folder folder that relative paths start from
   * @throws InvalidSettingsException with every error in them
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

  /** Checks values against each other. */
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
          "'" + priorityClass.name() + "' needs kind '" + kind + "'",
          "a kind that some machine has: " + String.join(", ", kindNames()));
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
    double shares = tenants.stream().mapToDouble(TenantShare::share).sum();
    if (shares > MAX_SHARE_SUM) {
      reader.reject(
          "customers",
          "shares of " + Math.round(shares * 1000) / 1000.0 + " in all",
          "at most 1 in all");
    }
  }

  public InstanceSettings instance() {
    return instance;
  }

  public SessionSettings sessions() {
    return sessions;
  }

  public MachineListSettings machineList() {
    return machineList;
  }

  public EtcdSettings etcd() {
    return etcd;
  }

  public ConnectionSettings connections() {
    return connections;
  }

  public ClusterSettings cluster() {
    return cluster;
  }

  public GossipSettings gossip() {
    return gossip;
  }

  public PriceSettings prices() {
    return prices;
  }

  public GoalSettings goal() {
    return goal;
  }

  public List<MachineKind> kinds() {
    return kinds;
  }

  /** The names of all kinds, sorted. */
  public Set<String> kindNames() {
    Set<String> names = new TreeSet<>();
    kinds.forEach(kind -> names.add(kind.name()));
    return names;
  }

  /** The priority classes by name, in the order of the settings. */
  public Map<String, PriorityClassSettings> priorityClasses() {
    return priorityClasses;
  }

  public List<TenantShare> tenants() {
    return tenants;
  }

  public LoggingSettings logging() {
    return logging;
  }

  /** Port of the metrics, 0 for a free one, negative for none. */
  public int metricsPort() {
    return metricsPort;
  }

  /** How many schedulers share the cluster. */
  public int totalSchedulers() {
    return instance.totalSchedulers();
  }

  /** The machine list where it is a file. */
  public File machineListFile() {
    return resolve(machineList.path());
  }

  /** The tenants' constraints, if they are in a file. */
  public Optional<File> constraintsFile() {
    return optionalFile(constraintsPath);
  }

  /** Settings that are evaluated in the shadow of these, without effect, if there are any. */
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

  /** The settings as they were written, without defaults. */
  Config configWithoutDefaults() {
    return configWithoutDefaults;
  }

  /** Folder that relative paths start from. */
  File folder() {
    return folder;
  }
}
