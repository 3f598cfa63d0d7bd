package fordridge.settings;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Applies an update of the cluster's settings to a running scheduler.
 *
 * <p>The update is laid over the scheduler's own settings, checked whole, and rejected whole: where
 * it names settings that belong to a single scheduler, and where it would break a promise to VMs
 * that are in flight or running.
 */
public final class SettingsUpdate {
  /** Blocks that are the same for all schedulers of the cluster. */
  private static final Set<String> SHARED_BLOCKS =
      new TreeSet<>(
          Set.of(
              "kinds", "flavours", "flavour_defaults", "customers", "cluster", "prices", "goal"));

  private SettingsUpdate() {}

  /**
   * The settings after the update.
   *
   * @param own the scheduler's own settings, without any update
   * @param current the settings in force
   * @param update the update, in HOCON
   * @throws InvalidSettingsException with every reason why the update cannot be applied
   */
  public static DeploymentSettings apply(
      DeploymentSettings own, DeploymentSettings current, String update)
      throws InvalidSettingsException {
    Config shared = parse(update);
    throwIfAny(foreignBlocks(shared));
    DeploymentSettings next =
        DeploymentSettings.read(shared.withFallback(own.configWithoutDefaults()), own.folder());
    throwIfAny(incompatibilities(current, next));
    return next;
  }

  private static Config parse(String update) throws InvalidSettingsException {
    try {
      return ConfigFactory.parseString(update).resolve();
    } catch (ConfigException e) {
      throw InvalidSettingsException.ofMessage(e.getMessage());
    }
  }

  private static List<String> foreignBlocks(Config shared) {
    return shared.root().keySet().stream()
        .filter(key -> !SHARED_BLOCKS.contains(key))
        .sorted()
        .map(
            key ->
                "terms: "
                    + key
                    + ": found, allowed: "
                    + String.join(", ", SHARED_BLOCKS)
                    + "; the rest is each placer's own")
        .toList();
  }

  private static List<String> incompatibilities(
      DeploymentSettings current, DeploymentSettings next) {
    List<String> errors = new ArrayList<>();
    for (PriorityClassSettings before : current.priorityClasses().values()) {
      PriorityClassSettings after = next.priorityClasses().get(before.name());
      if (after == null) {
        errors.add("flavour '" + before.name() + "' is missing: VMs of it may be in hand");
      } else if (!isCompatible(before, after)) {
        errors.add(
            "flavour '"
                + before.name()
                + "' changes its effect, group, window or spread: VMs in hand were sent "
                + "by the old one; give the new one another name");
      }
    }
    for (MachineKind kind : current.kinds()) {
      if (!next.kindNames().contains(kind.name())) {
        errors.add("kind '" + kind.name() + "' is missing: machines of it may be listed");
      }
    }
    if (next.cluster().acceptancePoint() != current.cluster().acceptancePoint()) {
      errors.add("cluster.yes changes: claims under way would be read wrongly");
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
