package fordridge.discovery;

import com.typesafe.config.Config;
import fordridge.model.Machine.Lifecycle;
import fordridge.settings.ConfigReader;
import fordridge.settings.ConfigWord;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.HostAndPort;
import fordridge.settings.InvalidSettingsException;
import fordridge.settings.SettingError;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.attribute.BasicFileAttributes;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Machine list source that polls a HOCON file for changes on its own thread.
 *
 * <p>If the file is invalid, the last valid list stays in effect, and the errors are logged once
 * for each version of the file. Writers should replace the file atomically by renaming a new file.
 */
public final class MachineListFile implements MachineListSource {
  private static final Logger LOG = LoggerFactory.getLogger(MachineListFile.class);
  private static final String THREAD_NAME = "list-file";
  private static final int FORMAT_VERSION = 1;
  private static final int MAX_FORMAT_VERSION = 1_000_000;
  private static final int MAX_NAME_LENGTH = 100;
  private static final int MAX_ADDRESS_LENGTH = 300;
  private static final int MAX_CELL = 1_000_000;
  private static final double MAX_FREE_CORES = 1e6;
  private static final double MAX_FREE_MEMORY = 1e9;
  private static final String UNREADABLE_FINGERPRINT = "unreadable";

  /** The state of a machine in the file. */
  private enum ListedState implements ConfigWord {
    LIVE("live", Lifecycle.LIVE),
    DRAINING("draining", Lifecycle.DRAINING),
    GONE("gone", Lifecycle.GONE);

    private final String configWord;
    private final Lifecycle lifecycle;

    ListedState(String configWord, Lifecycle lifecycle) {
      this.configWord = configWord;
      this.lifecycle = lifecycle;
    }

    @Override
    public String configWord() {
      return configWord;
    }
  }

  private final File file;
  private final DeploymentSettings deployment;
  private final List<Consumer<Update>> listeners = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService poller =
      Executors.newSingleThreadScheduledExecutor(MachineListFile::newDaemonThread);
  private volatile Update latest;
  private String lastFingerprint;

  /**
   * Reads the file, and then polls it until {@link #close()}.
   *
   * @throws InvalidSettingsException if the file is missing or invalid
   */
  public MachineListFile(File file, DeploymentSettings deployment) throws InvalidSettingsException {
    this.file = file;
    this.deployment = deployment;
    lastFingerprint = fileFingerprint();
    latest = read(file, deployment, 1);
    startPolling(deployment.machineList().pollInterval().toMillis());
  }

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, THREAD_NAME);
    thread.setDaemon(true);
    return thread;
  }

  @SuppressWarnings(
      "FutureReturnValueIgnored") // poll() does not throw; it runs until the poller is shut down.
  private void startPolling(long intervalMillis) {
    poller.scheduleWithFixedDelay(
        this::poll, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void poll() {
    try {
      String fingerprint = fileFingerprint();
      if (fingerprint.equals(lastFingerprint)) {
        return;
      }
      lastFingerprint = fingerprint;
      latest = read(file, deployment, latest.version() + 1);
      for (Consumer<Update> listener : listeners) {
        listener.accept(latest);
      }
    } catch (InvalidSettingsException e) {
      LOG.atError()
          .addKeyValue("list", file.getName())
          .log(
              "machine list file rejected, keeping the last valid list: {}",
              String.join("; ", e.messages()));
    } catch (RuntimeException e) {
      LOG.error("machine list file rejected, keeping the last valid list", e);
    }
  }

  /** Returns a string that changes whenever the file is replaced or written. */
  private String fileFingerprint() {
    try {
      BasicFileAttributes attributes =
          Files.readAttributes(file.toPath(), BasicFileAttributes.class);
      return attributes.lastModifiedTime().to(TimeUnit.NANOSECONDS)
          + " "
          + attributes.size()
          + " "
          + attributes.fileKey();
    } catch (IOException e) {
      // The following attempt to read the file reports the error.
      return UNREADABLE_FINGERPRINT;
    }
  }

  /**
   * Reads and checks a machine list file.
   *
   * @param version version of the returned list
   * @throws InvalidSettingsException with all errors in the file, if there are any
   */
  public static Update read(File file, DeploymentSettings deployment, long version)
      throws InvalidSettingsException {
    Config config = DeploymentSettings.parse(file);
    List<SettingError> errors = new ArrayList<>();
    ConfigReader reader = new ConfigReader(config, "", errors);
    if (reader.integer("version", 1, MAX_FORMAT_VERSION) != FORMAT_VERSION) {
      reader.reject("version", "another", String.valueOf(FORMAT_VERSION));
    }
    List<Entry> entries = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ConfigReader machine : reader.objects("machines")) {
      entries.add(readEntry(machine, deployment.kindNames(), names));
      machine.rejectUnknownKeys();
    }
    reader.rejectUnknownKeys();
    if (!errors.isEmpty()) {
      throw new InvalidSettingsException(errors);
    }
    return new Update(version, true, false, entries);
  }

  private static Entry readEntry(ConfigReader machine, Set<String> kinds, Set<String> names) {
    return new Entry(
        readName(machine, names),
        readAddress(machine),
        readKind(machine, kinds),
        machine.has("zone") ? machine.string("zone", MAX_NAME_LENGTH) : "",
        machine.has("cell") ? machine.integer("cell", 0, MAX_CELL) : 0,
        machine.enumConstant("state", ListedState.values()).lifecycle,
        readFreeCapacity(machine, "free_cores", MAX_FREE_CORES),
        readFreeCapacity(machine, "free_memory", MAX_FREE_MEMORY),
        readStartedAt(machine));
  }

  private static String readName(ConfigReader machine, Set<String> names) {
    String name = machine.string("name", MAX_NAME_LENGTH);
    if (!names.add(name)) {
      machine.reject("name", "'" + name + "' twice", "each name once");
    }
    return name;
  }

  private static InetSocketAddress readAddress(ConfigReader machine) {
    String address = machine.string("address", MAX_ADDRESS_LENGTH);
    try {
      return HostAndPort.parse(address);
    } catch (IllegalArgumentException e) {
      machine.reject("address", "'" + address + "'", "host:port");
      return null;
    }
  }

  private static String readKind(ConfigReader machine, Set<String> kinds) {
    String kind = machine.string("kind", MAX_NAME_LENGTH);
    if (!kinds.contains(kind)) {
      machine.reject(
          "kind",
          "'" + kind + "'",
          "a kind listed in kinds of the settings: " + String.join(", ", kinds));
    }
    return kind;
  }

  /** Reads a free capacity, which is negative if more is reserved than the machine has. */
  private static double readFreeCapacity(ConfigReader machine, String key, double max) {
    return machine.has(key) ? machine.decimal(key, -max, max) : 0;
  }

  private static Instant readStartedAt(ConfigReader machine) {
    if (!machine.has("started")) {
      return null;
    }
    String started = machine.string("started", MAX_NAME_LENGTH);
    try {
      return Instant.parse(started);
    } catch (DateTimeParseException e) {
      machine.reject(
          "started", "'" + started + "'", "an ISO 8601 instant, such as 2026-01-31T12:00:00Z");
      return null;
    }
  }

  @Override
  public Update latest() {
    return latest;
  }

  @Override
  public void watch(Consumer<Update> listener) {
    poller.execute(
        () -> {
          listeners.add(listener);
          listener.accept(latest);
        });
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
