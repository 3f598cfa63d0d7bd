package fordridge.settings;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import fordridge.model.MachineKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Applies an update of the shared settings of a cluster to a running scheduler.
 *
 * <p>The update overrides the scheduler's own settings, and is either applied or rejected as a
 * whole. It is rejected if the resulting settings are invalid, if it has settings that belong to a
 * single scheduler, or if it changes what VMs in flight or running were placed under.
 */
public final class SettingsUpdate {
  /** Top-level keys that all schedulers of the cluster share. */
  private static final Set<String> SHARED_BLOCKS =
      new TreeSet<>(
          Set.of(
              "kinds", "flavours", "flavour_defaults", "customers", "cluster", "prices", "goal"));

  private SettingsUpdate() {}

  /**
   * Returns the settings after the update.
   *
   * @param ownSettings the settings that the scheduler was started with, without any update
   * @param currentSettings the settings currently in effect
   * @param update the update, in HOCON
   * @throws InvalidSettingsException with all reasons why the update cannot be applied
   */
  public static DeploymentSettings apply(
      DeploymentSettings ownSettings, DeploymentSettings currentSettings, String update)
      throws InvalidSettingsException {
    Config sharedSettings = parse(update);
    throwIfAny(unsharedBlockErrors(sharedSettings));
    DeploymentSettings newSettings =
        DeploymentSettings.read(
            sharedSettings.withFallback(ownSettings.configWithoutDefaults()), ownSettings.folder());
    throwIfAny(incompatibilityErrors(currentSettings, newSettings));
    return newSettings;
  }

  private static Config parse(String update) throws InvalidSettingsException {
    try {
      return ConfigFactory.parseString(update).resolve();
    } catch (ConfigException e) {
      throw InvalidSettingsException.ofMessage(e.getMessage());
    }
  }

  private static List<String> unsharedBlockErrors(Config sharedSettings) {
    return sharedSettings.root().keySet().stream()
        .filter(key -> !SHARED_BLOCKS.contains(key))
        .sorted()
        .map(
            key ->
                "terms: "
                    + key
                    + ": not a shared setting, allowed: "
                    + String.join(", ", SHARED_BLOCKS)
                    + "; all others are each placer's own")
        .toList();
  }

  private static List<String> incompatibilityErrors(
      DeploymentSettings currentSettings, DeploymentSettings newSettings) {
    List<String> errors = new ArrayList<>();
    for (PriorityClassSettings before : currentSettings.priorityClasses().values()) {
      PriorityClassSettings after = newSettings.priorityClasses().get(before.name());
      if (after == null) {
        errors.add(
            "flavour '" + before.name() + "' is missing: VMs of it may be pending or running");
      } else if (!isCompatible(before, after)) {
        errors.add(
            "flavour '"
                + before.name()
                + "' changes its effect, group, window or spread, which VMs that are pending or "
                + "running were placed under; use a new name for the changed flavour");
      }
    }
    for (MachineKind kind : currentSettings.kinds()) {
      if (!newSettings.kindNames().contains(kind.name())) {
        errors.add(
            "kind '" + kind.name() + "' is missing: the machine list may have machines of it");
      }
    }
    if (newSettings.cluster().acceptancePoint() != currentSettings.cluster().acceptancePoint()) {
      errors.add("cluster.yes changes: responses to pending attempts would be misinterpreted");
    }
    return errors;
  }

  private static boolean isCompatible(PriorityClassSettings before, PriorityClassSettings after) {
    return after.retrySafety() == before.retrySafety()
        && after.deduplicationScope() == before.deduplicationScope()
        && after.deduplicationWindow().equals(before.deduplicationWindow())
        && after.spreadScope() == before.spreadScope();
  }

  private static void throwIfAny(List<String> errors) throws InvalidSettingsException {
    if (!errors.isEmpty()) {
      throw InvalidSettingsException.ofMessages(errors);
    }
  }
}
