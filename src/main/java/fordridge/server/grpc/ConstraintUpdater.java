package fordridge.server.grpc;

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
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches tenants' constraints, in a file or in the machine list's store, and the settings in that
 * store. A version that cannot be read or satisfied is rejected as a whole, with every error, and
 * the last good one stays in force. Listeners are called on this updater's thread.
 */
final class ConstraintUpdater implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("fordridge.constraints");

  /** Names under which the store keeps shared settings. */
  private static final String CONSTRAINTS_KEY = "constraints";

  private static final String DEPLOYMENT_KEY = "deployment";

  private final DeploymentSettings settings;
  private final MachineListSource machineList;
  private final ScheduledExecutorService poller =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "constraints");
            thread.setDaemon(true);
            return thread;
          });

  /** The text read last, also one that was rejected; null before the first. */
  private String latestText;

  private int version;
  private List<PlacementConstraint> inForce = List.of();

  /** The machines for which the constraints in force were validated last. */
  private Set<MachineTopology> validatedFor = Set.of();

  private List<String> conflicts = List.of();

  ConstraintUpdater(DeploymentSettings settings, MachineListSource machineList) {
    this.settings = settings;
    this.machineList = machineList;
  }

  /**
   * Passes the constraints of now, if there are any, and then each newer version to the listener; a
   * first version that is rejected is thrown.
   */
  void watchConstraints(BiConsumer<List<PlacementConstraint>, Integer> listener)
      throws InvalidSettingsException {
    String text = readText();
    if (text != null) {
      apply(text, listener);
    }
    poll(settings.machineList().pollInterval().toMillis(), () -> updateConstraints(listener));
  }

  /** Passes the settings under each new version in the store to the listener. */
  void watchSettings(Consumer<DeploymentSettings> listener) {
    StoredSettings stored = new StoredSettings(listener);
    poll(0, stored::update);
  }

  /** The tasks guard themselves: one that threw would not run again. */
  private void poll(long initialDelayMillis, Runnable task) {
    long intervalMillis = settings.machineList().pollInterval().toMillis();
    Future<?> unused =
        poller.scheduleWithFixedDelay(
            task, initialDelayMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** The settings in the store, each version laid over the one before. */
  private final class StoredSettings {
    private final Consumer<DeploymentSettings> listener;
    private DeploymentSettings latest = settings;

    /** The text read last, also one that was rejected; null before the first. */
    private String latestText;

    StoredSettings(Consumer<DeploymentSettings> listener) {
      this.listener = listener;
    }

    void update() {
      String text = machineList.sharedSetting(DEPLOYMENT_KEY).orElse(null);
      if (text == null || text.equals(latestText)) {
        return;
      }
      latestText = text;
      try {
        latest = SettingsUpdate.apply(settings, latest, text);
        listener.accept(latest);
        LOG.info("settings applied");
      } catch (InvalidSettingsException e) {
        LOG.atError()
            .addKeyValue("reason", String.join("; ", e.messages()))
            .log("settings rejected, the previous ones stay in force");
      } catch (RuntimeException e) {
        LOG.error("settings rejected, the previous ones stay in force", e);
      }
    }
  }

  private void updateConstraints(BiConsumer<List<PlacementConstraint>, Integer> listener) {
    try {
      String text = readText();
      if (text != null && !text.equals(latestText)) {
        apply(text, listener);
      }
      validateAgain();
    } catch (InvalidSettingsException e) {
      LOG.atError()
          .addKeyValue("reason", String.join("; ", e.messages()))
          .log("constraints rejected, the previous ones stay in force");
    } catch (RuntimeException e) {
      LOG.error("constraints rejected, the previous ones stay in force", e);
    }
  }

  private void apply(String text, BiConsumer<List<PlacementConstraint>, Integer> listener)
      throws InvalidSettingsException {
    latestText = text;
    inForce = read(text, settings, topology());
    version++;
    listener.accept(inForce, version);
  }

  /** The constraints' text in the store, or else in the file; null where there is neither. */
  private String readText() throws InvalidSettingsException {
    String stored = machineList.sharedSetting(CONSTRAINTS_KEY).orElse(null);
    File file = settings.constraintsFile().orElse(null);
    if (stored != null || file == null) {
      return stored;
    }
    try {
      return Files.readString(file.toPath());
    } catch (IOException e) {
      throw InvalidSettingsException.ofMessages(List.of(file + ": " + e));
    }
  }

  private List<MachineTopology> topology() {
    return topology(machineList.latest().entries());
  }

  static List<MachineTopology> topology(List<MachineListSource.Entry> machines) {
    return machines.stream()
        .map(
            machine ->
                new MachineTopology(machine.name(), machine.kind(), machine.zone(), machine.cell()))
        .toList();
  }

  /** Reads constraints that this deployment's schedulers can satisfy on these machines. */
  static List<PlacementConstraint> read(
      String text, DeploymentSettings settings, List<MachineTopology> machines)
      throws InvalidSettingsException {
    try {
      List<PlacementConstraint> constraints = ConstraintParser.parse(text, knownNames(settings));
      // Only to find out whether the schedulers' shares of each limit can be satisfied.
      ConstraintIndex unused = new ConstraintIndex(constraints, settings.totalSchedulers());
      List<String> conflicts = findConflicts(constraints, machines);
      if (!conflicts.isEmpty()) {
        throw InvalidSettingsException.ofMessages(conflicts);
      }
      return constraints;
    } catch (ConstraintSyntaxException e) {
      throw InvalidSettingsException.ofMessages(e.messages());
    } catch (UnsatisfiableConstraintsException e) {
      throw InvalidSettingsException.ofMessages(List.of(e.getMessage()));
    }
  }

  private static ConstraintParser.KnownNames knownNames(DeploymentSettings settings) {
    Set<String> tenants = new HashSet<>();
    settings.tenants().forEach(tenant -> tenants.add(tenant.name()));
    return new ConstraintParser.KnownNames(
        tenants, settings.priorityClasses().keySet(), settings.kindNames(), Set.of());
  }

  private static List<String> findConflicts(
      List<PlacementConstraint> constraints, List<MachineTopology> machines) {
    long deadlineNanos = System.nanoTime() + ConstraintValidator.TIME_LIMIT.toNanos();
    return ConstraintValidator.findConflicts(
            constraints, machines, () -> System.nanoTime() - deadlineNanos > 0)
        .stream()
        .map(Object::toString)
        .toList();
  }

  /** Constraints that a change of machines made unsatisfiable stay in force, and are logged. */
  private void validateAgain() {
    List<MachineTopology> machines = topology();
    Set<MachineTopology> machineSet = new HashSet<>(machines);
    if (inForce.isEmpty() || machineSet.equals(validatedFor)) {
      return;
    }
    validatedFor = machineSet;
    List<String> found = findConflicts(inForce, machines);
    if (found.equals(conflicts)) {
      return;
    }
    conflicts = found;
    if (found.isEmpty()) {
      LOG.warn("constraints in force can be satisfied again by the listed machines");
    } else {
      LOG.atWarn()
          .addKeyValue("conflicts", String.join("; ", found))
          .log("constraints in force can't be satisfied by the listed machines");
    }
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
