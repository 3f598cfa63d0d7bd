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
 * What the server itself, apart from its scheduler, needs of the settings: what a valid request is,
 * and how long it waits for machines.
 */
final class ServerSettings {
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(250);

  private final Map<String, PriorityClass> classesByName = new HashMap<>();

  /** Empty where requests may name any tenant. */
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
      classesByName.put(priorityClass.name(), priorityClass);
    }
    if (values.number("tenants", 0) > 0) {
      tenants.addAll(settings.tenants());
    }
    maxCores = max(values, "extra.cpuOfKind");
    maxMemory = max(values, "extra.memoryByKind");
  }

  /** The server's part of the values, of which {@code settings} is the scheduler's. */
  static ServerSettings read(SettingsValues values, SchedulerSettings settings) {
    return new ServerSettings(values, settings);
  }

  private static double max(SettingsValues values, String name) {
    double max = 0;
    for (int i = 0; i < values.list(name).size(); i++) {
      max = Math.max(max, values.item(name, i, 0));
    }
    return max;
  }

  boolean hasPriorityClass(String name) {
    return classesByName.containsKey(name);
  }

  boolean allowsTenant(String name) {
    return tenants.isEmpty() || tenants.contains(name);
  }

  /** Whether a VM of that class may be offered again whatever became of its earlier attempts. */
  boolean isIdempotent(String priorityClass) {
    PriorityClass settings = classesByName.get(priorityClass);
    return settings != null && settings.isIdempotent();
  }

  /** How long clients of that class wait for a start at the most. */
  Duration startDeadline(String priorityClass) {
    return classesByName.get(priorityClass).startDeadline();
  }

  /** The longest start deadline of all classes. */
  Duration maxStartDeadline() {
    Duration max = Duration.ZERO;
    for (PriorityClass priorityClass : classesByName.values()) {
      max = Durations.max(max, priorityClass.startDeadline());
    }
    return max;
  }

  /** Cores of the largest kind of machine. */
  double maxCores() {
    return maxCores;
  }

  /** Memory of the largest kind of machine. */
  double maxMemory() {
    return maxMemory;
  }

  ConnectionTimeouts timeouts() {
    return timeouts;
  }
}
