package fordridge.settings;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Terms of the cluster laid over a placer's own settings while it runs. They are checked whole, as
 * the settings are, and refused whole: where they name what is each placer's own, and where they
 * would pull the ground from under VMs in hand.
 */
public final class SettingsUpdate {
  /** What is the cluster's, and so the same for all its placers. */
  private static final Set<String> SHARED =
      Set.of("kinds", "flavours", "flavour_defaults", "customers", "cluster", "prices", "goal");

  private SettingsUpdate() {}

  /** The deployment under these terms, or every complaint. */
  public static DeploymentSettings over(DeploymentSettings own, DeploymentSettings now, String text)
      throws DeploymentSettings.InvalidSettingsException {
    Config terms;
    try {
      terms = ConfigFactory.parseString(text).resolve();
    } catch (ConfigException e) {
      throw new DeploymentSettings.InvalidSettingsException(List.of(e.getMessage()));
    }
    List<String> errors = new ArrayList<>();
    for (String key : new TreeSet<>(terms.root().keySet())) {
      if (!SHARED.contains(key)) {
        errors.add(
            "terms: "
                + key
                + ": found, allowed: "
                + String.join(", ", new TreeSet<>(SHARED))
                + "; the rest is each placer's own");
      }
    }
    if (!errors.isEmpty()) {
      throw new DeploymentSettings.InvalidSettingsException(errors);
    }
    DeploymentSettings next = DeploymentSettings.read(terms.withFallback(own.source), own.folder);
    for (DeploymentSettings.PriorityClass f : now.priorityClasses.values()) {
      DeploymentSettings.PriorityClass g = next.priorityClasses.get(f.name());
      if (g == null) {
        errors.add("flavour '" + f.name() + "' is missing: VMs of it may be in hand");
      } else if (!g.effect().equals(f.effect())
          || !g.group().equals(f.group())
          || !g.window().equals(f.window())
          || !g.spread().equals(f.spread())) {
        errors.add(
            "flavour '"
                + f.name()
                + "' changes its effect, group, window or spread: VMs in hand were sent "
                + "by the old one; give the new one another name");
      }
    }
    for (DeploymentSettings.Kind k : now.kinds) {
      if (next.kinds.stream().noneMatch(x -> x.name().equals(k.name()))) {
        errors.add("kind '" + k.name() + "' is missing: machines of it may be listed");
      }
    }
    if (!next.yes.equals(now.yes)) {
      errors.add("cluster.yes changes: claims under way would be read wrongly");
    }
    if (!errors.isEmpty()) {
      throw new DeploymentSettings.InvalidSettingsException(errors);
    }
    return next;
  }
}
