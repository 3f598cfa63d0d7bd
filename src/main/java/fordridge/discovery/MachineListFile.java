package fordridge.discovery;

import com.typesafe.config.Config;
import fordridge.model.Machine.Lifecycle;
import fordridge.settings.ConfigReader;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.settings.SettingError;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.attribute.BasicFileAttributes;
import java.time.Duration;
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
 * The list of machines in a HOCON file that is looked at again and again. A file that cannot be
 * read leaves the last good list in force, and says why once for each state of the file. Writers
 * replace it by renaming over it.
 */
public final class MachineListFile implements MachineListSource {
  private static final Logger LOG = LoggerFactory.getLogger(MachineListFile.class);

  private final File file;
  private final DeploymentSettings deployment;
  private final List<Consumer<Update>> takers = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService looks =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "list-file");
            t.setDaemon(true);
            return t;
          });
  private volatile Update latest;
  private String seen;

  public MachineListFile(File file, DeploymentSettings deployment) throws InvalidSettingsException {
    this.file = file;
    this.deployment = deployment;
    seen = mark();
    latest = read(file, deployment, 1);
    long every = deployment.machineList().pollInterval().toMillis();
    looks.scheduleWithFixedDelay(this::look, every, every, TimeUnit.MILLISECONDS);
  }

  private String mark() {
    try {
      BasicFileAttributes a = Files.readAttributes(file.toPath(), BasicFileAttributes.class);
      return a.lastModifiedTime().to(TimeUnit.NANOSECONDS) + " " + a.size() + " " + a.fileKey();
    } catch (IOException e) {
      return "unreadable";
    }
  }

  private void look() {
    try {
      String mark = mark();
      if (mark.equals(seen)) {
        return;
      }
      seen = mark;
      latest = read(file, deployment, latest.version() + 1);
      for (Consumer<Update> t : takers) {
        t.accept(latest);
      }
    } catch (InvalidSettingsException e) {
      LOG.atError()
          .addKeyValue("list", file.getName())
          .log("the list of machines stays as it was: " + String.join("; ", e.messages()));
    } catch (RuntimeException e) {
      LOG.error("the list of machines stays as it was", e);
    }
  }

  /** Reads the file whole, with every complaint at once. */
  public static Update read(File file, DeploymentSettings d, long version)
      throws InvalidSettingsException {
    Config c = DeploymentSettings.parse(file);
    List<SettingError> errors = new ArrayList<>();
    ConfigReader r = new ConfigReader(c, "", errors);
    if (r.integer("version", 1, 1_000_000) != 1) {
      r.reject("version", "another", "1");
    }
    Set<String> kinds = new HashSet<>();
    d.kinds().forEach(k -> kinds.add(k.name()));
    List<Entry> entries = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ConfigReader m : r.objects("machines")) {
      entries.add(entry(m, kinds, names));
      m.rejectUnknownKeys();
    }
    r.rejectUnknownKeys();
    if (!errors.isEmpty()) {
      throw new InvalidSettingsException(errors);
    }
    return new Update(version, true, false, entries);
  }

  private static Entry entry(ConfigReader m, Set<String> kinds, Set<String> names) {
    String name = m.string("name", 100);
    if (!names.add(name)) {
      m.reject("name", "'" + name + "' twice", "each name once");
    }
    String kind = m.string("kind", 100);
    if (!kinds.contains(kind)) {
      m.reject(
          "kind",
          "'" + kind + "'",
          "a kind of the settings: " + String.join(", ", new java.util.TreeSet<>(kinds)));
    }
    String address = m.string("address", 300);
    int colon = address.lastIndexOf(':');
    InetSocketAddress at = null;
    try {
      at =
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      m.reject("address", "'" + address + "'", "host:port");
    }
    Instant started = null;
    if (m.has("started")) {
      String s = m.string("started", 100);
      try {
        started = Instant.parse(s);
      } catch (DateTimeParseException e) {
        m.reject("started", "'" + s + "'", "an instant, as 2026-01-31T12:00:00Z");
      }
    }
    Lifecycle lifecycle =
        switch (m.oneOf("state", "live", "draining", "gone")) {
          case "draining" -> Lifecycle.DRAINING;
          case "gone" -> Lifecycle.GONE;
          default -> Lifecycle.LIVE;
        };
    return new Entry(
        name,
        at,
        kind,
        m.has("zone") ? m.string("zone", 100) : "",
        m.has("cell") ? m.integer("cell", 0, 1_000_000) : 0,
        lifecycle,
        m.has("free_cores") ? m.decimal("free_cores", -1e6, 1e6) : 0,
        m.has("free_memory") ? m.decimal("free_memory", -1e9, 1e9) : 0,
        started);
  }

  @Override
  public Update latest() {
    return latest;
  }

  @Override
  public void watch(Consumer<Update> taker) {
    looks.execute(
        () -> {
          takers.add(taker);
          taker.accept(latest);
        });
  }

  @Override
  public void close() {
    looks.shutdownNow();
  }

  /** For writers of such files: how long a change takes to be seen at most, beyond its reading. */
  public static Duration delay(DeploymentSettings d) {
    return d.machineList().pollInterval();
  }
}
