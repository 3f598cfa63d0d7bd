package fordridge.server.json;

import fordridge.machine.ConnectionTimeouts;
import fordridge.model.Durations;
import fordridge.model.PriorityClass;
import fordridge.model.SchedulerSettings;
import fordridge.model.SettingsValues;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The settings that the server itself reads, apart from its scheduler: what a valid request is, and
 * the timeouts of connections to machines.
 */
final class ServerSettings {
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(250);

  private final Map<String, PriorityClass> priorityClassesByName = new HashMap<>();

  /** Empty if requests may name any tenant. */
  private final Set<String> tenants = new HashSet<>();

  private final double maxCores;
  private final double maxMemory;
  private final ConnectionTimeouts timeouts;

  private ServerSettings(SettingsValues values, SchedulerSettings settings) {
    timeouts =
        new ConnectionTimeouts(
            values.micros("caps.connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT),
            settings.detectionTimeout());
    for (PriorityClass priorityClass : settings.priorityClasses()) {
      priorityClassesByName.put(priorityClass.name(), priorityClass);
    }
    if (values.number("tenants", 0) > 0) {
      tenants.addAll(settings.tenants());
    }
    maxCores = maxItem(values, "extra.cpuOfKind");
    maxMemory = maxItem(values, "extra.memoryByKind");
  }

  /** Reads the server's part of the values; {@code settings} is the scheduler's part. */
  static ServerSettings read(SettingsValues values, SchedulerSettings settings) {
    return new ServerSettings(values, settings);
  }

  private static double maxItem(SettingsValues values, String name) {
    double max = 0;
    for (int i = 0; i < values.list(name).size(); i++) {
      max = Math.max(max, values.numberAt(name, i, 0));
    }
    return max;
  }

  boolean hasPriorityClass(String name) {
    return priorityClassesByName.containsKey(name);
  }

  boolean allowsTenant(String name) {
    return tenants.isEmpty() || tenants.contains(name);
  }

  /**
   * Whether a VM of that class may be offered again whatever the outcomes of its earlier attempts.
   */
  boolean isIdempotent(String priorityClass) {
    PriorityClass classSettings = priorityClassesByName.get(priorityClass);
    return classSettings != null && classSettings.isIdempotent();
  }

  /** The longest time for which clients of that class wait for a VM to start. */
  Duration startDeadline(String priorityClass) {
    return priorityClassesByName.get(priorityClass).startDeadline();
  }

  /** The longest start deadline of all classes. */
  Duration maxStartDeadline() {
    Duration max = Duration.ZERO;
    for (PriorityClass priorityClass : priorityClassesByName.values()) {
      max = Durations.max(max, priorityClass.startDeadline());
    }
    return max;
  }

  /** The cores of the largest machine kind. */
  double maxCores() {
    return maxCores;
  }

  /** The memory of the largest machine kind. */
  double maxMemory() {
    return maxMemory;
  }

  ConnectionTimeouts timeouts() {
    return timeouts;
  }
}
