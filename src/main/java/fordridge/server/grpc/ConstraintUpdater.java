package fordridge.server.grpc;

import fordridge.constraint.ConstraintConflict;
import fordridge.constraint.ConstraintIndex;
import fordridge.constraint.ConstraintParser;
import fordridge.constraint.ConstraintSyntaxException;
import fordridge.constraint.ConstraintValidator;
import fordridge.constraint.MachineTopology;
import fordridge.constraint.PlacementConstraint;
import fordridge.constraint.UnsatisfiableConstraintsException;
import fordridge.discovery.MachineListSource;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.settings.SettingsUpdate;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Customers' rules as they come: from a file, or from the list's source once it has them. A set
 * that cannot be read or kept is refused whole, with every complaint, and the last good one stays.
 */
final class ConstraintUpdater implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("fordridge.rules");
  private static final String TERM = "constraints";
  private static final String DEPLOYMENT = "deployment";

  private final DeploymentSettings d;
  private final MachineListSource list;
  private final ScheduledExecutorService looks =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "rules");
            t.setDaemon(true);
            return t;
          });
  private String seen;
  private int version;
  private List<PlacementConstraint> inForce = List.of();
  private Set<MachineTopology> sensedFor = Set.of();
  private List<String> clashing = List.of();

  ConstraintUpdater(DeploymentSettings d, MachineListSource list) {
    this.d = d;
    this.list = list;
  }

  /**
   * Hands over the set that stands now, if any, then each newer one; a first set that is refused is
   * thrown.
   */
  void follow(BiConsumer<List<PlacementConstraint>, Integer> taker)
      throws InvalidSettingsException {
    seen = text();
    if (seen != null) {
      inForce = read(seen, d, spots());
      taker.accept(inForce, ++version);
    }
    long every = d.machineList().pollInterval().toMillis();
    looks.scheduleWithFixedDelay(() -> look(taker), every, every, TimeUnit.MILLISECONDS);
  }

  /**
   * Hands over the deployment under each new set of terms in the store; one that is refused leaves
   * the last.
   */
  void followTerms(Consumer<DeploymentSettings> taker) {
    DeploymentSettings[] now = {d};
    String[] seenTerms = {null};
    looks.scheduleWithFixedDelay(
        () -> {
          String text = list.sharedSetting(DEPLOYMENT).orElse(null);
          if (text == null || text.equals(seenTerms[0])) {
            return;
          }
          seenTerms[0] = text;
          try {
            now[0] = SettingsUpdate.apply(d, now[0], text);
            taker.accept(now[0]);
            LOG.info("terms of the cluster taken over");
          } catch (InvalidSettingsException e) {
            LOG.error("terms stay as they were: {}", String.join("; ", e.messages()));
          } catch (RuntimeException e) {
            LOG.error("terms stay as they were", e);
          }
        },
        0,
        d.machineList().pollInterval().toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void look(BiConsumer<List<PlacementConstraint>, Integer> taker) {
    try {
      String now = text();
      if (now != null && !now.equals(seen)) {
        seen = now;
        inForce = read(now, d, spots());
        taker.accept(inForce, ++version);
      }
      senseAgain();
    } catch (InvalidSettingsException e) {
      LOG.error("rules stay as they were: {}", String.join("; ", e.messages()));
    } catch (RuntimeException e) {
      LOG.error("rules stay as they were", e);
    }
  }

  private String text() throws InvalidSettingsException {
    String term = list.sharedSetting(TERM).orElse(null);
    File file = d.constraintsFile().orElse(null);
    if (term != null || file == null) {
      return term;
    }
    try {
      return Files.readString(file.toPath());
    } catch (IOException e) {
      throw InvalidSettingsException.ofMessages(List.of(file + ": " + e));
    }
  }

  private List<MachineTopology> spots() {
    return list.latest().entries().stream()
        .map(e -> new MachineTopology(e.name(), e.kind(), e.zone(), e.cell()))
        .toList();
  }

  /** A set that this deployment's placers can read and keep. */
  static List<PlacementConstraint> read(
      String text, DeploymentSettings d, List<MachineTopology> machines)
      throws InvalidSettingsException {
    Set<String> tenants = new HashSet<>();
    d.tenants().forEach(c -> tenants.add(c.name()));
    Set<String> kinds = new HashSet<>();
    d.kinds().forEach(k -> kinds.add(k.name()));
    try {
      List<PlacementConstraint> rules =
          ConstraintParser.parse(
              text,
              new ConstraintParser.KnownNames(
                  tenants, d.priorityClasses().keySet(), kinds, Set.of()));
      new ConstraintIndex(rules, d.totalSchedulers());
      List<ConstraintConflict> clashes = clashes(rules, machines);
      if (!clashes.isEmpty()) {
        throw InvalidSettingsException.ofMessages(clashes.stream().map(Object::toString).toList());
      }
      return rules;
    } catch (ConstraintSyntaxException e) {
      throw InvalidSettingsException.ofMessages(e.messages());
    } catch (UnsatisfiableConstraintsException e) {
      throw InvalidSettingsException.ofMessages(List.of(e.getMessage()));
    }
  }

  private static List<ConstraintConflict> clashes(
      List<PlacementConstraint> rules, List<MachineTopology> machines) {
    long until = System.nanoTime() + ConstraintValidator.TIME_LIMIT.toNanos();
    return ConstraintValidator.findConflicts(rules, machines, () -> System.nanoTime() - until > 0);
  }

  /** A set in force that machines coming and going made impossible stays in force, and is named. */
  private void senseAgain() {
    List<MachineTopology> spots = spots();
    if (inForce.isEmpty() || new HashSet<>(spots).equals(sensedFor)) {
      return;
    }
    sensedFor = new HashSet<>(spots);
    List<String> found = clashes(inForce, spots).stream().map(Object::toString).toList();
    if (!found.equals(clashing)) {
      clashing = found;
      LOG.warn(
          found.isEmpty()
              ? "the rules in force can be met again by the machines listed"
              : "the rules in force can no longer be met by the machines listed: {}",
          String.join("; ", found));
    }
  }

  @Override
  public void close() {
    looks.shutdownNow();
  }
}
