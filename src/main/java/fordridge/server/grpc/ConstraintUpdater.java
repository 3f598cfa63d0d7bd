package fordridge.server.grpc;

import fordridge.constraint.ConstraintIndex;
import fordridge.constraint.ConstraintParser;
import fordridge.constraint.ConstraintSyntaxException;
import fordridge.constraint.ConstraintValidator;
import fordridge.constraint.IndivisibleLimitException;
import fordridge.constraint.MachineTopology;
import fordridge.constraint.PlacementConstraint;
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
 * Polls the tenants' constraints, in a file or in the store of the machine list, and the settings
 * in that store. A version that cannot be parsed or satisfied is rejected as a whole, all its
 * errors are reported, and the last valid version stays in force. Listeners are called on this
 * updater's thread.
 */
final class ConstraintUpdater implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("fordridge.constraints");

  /** Keys of the shared settings in the store. */
  private static final String CONSTRAINTS_KEY = "constraints";

  private static final String SETTINGS_KEY = "deployment";

  private final DeploymentSettings settings;
  private final MachineListSource machineList;
  private final ScheduledExecutorService poller =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "constraints");
            thread.setDaemon(true);
            return thread;
          });

  /** The constraints' text read last, even if it was rejected; null before the first. */
  private String latestText;

  private int version;
  private List<PlacementConstraint> constraintsInForce = List.of();

  /** The machines against which the constraints in force were validated last. */
  private Set<MachineTopology> validatedMachines = Set.of();

  /** The conflicts that the last validation found and logged. */
  private List<String> loggedConflicts = List.of();

  ConstraintUpdater(DeploymentSettings settings, MachineListSource machineList) {
    this.settings = settings;
    this.machineList = machineList;
  }

  /**
   * Passes the current constraints, if there are any, and then each new version to the listener.
   *
   * @throws InvalidSettingsException if the current constraints are invalid; later invalid versions
   *     are logged
   */
  void watchConstraints(BiConsumer<List<PlacementConstraint>, Integer> listener)
      throws InvalidSettingsException {
    String text = readText();
    if (text != null) {
      apply(text, listener);
    }
    poll(settings.machineList().pollInterval().toMillis(), () -> updateConstraints(listener));
  }

  /** Passes the resulting settings to the listener for each new version in the store. */
  void watchSettings(Consumer<DeploymentSettings> listener) {
    StoredSettings stored = new StoredSettings(listener);
    poll(0, stored::update);
  }

  /**
   * Runs a task periodically; the task must catch its exceptions, as one that throws is not run
   * again.
   */
  private void poll(long initialDelayMillis, Runnable task) {
    long intervalMillis = settings.machineList().pollInterval().toMillis();
    Future<?> unused =
        poller.scheduleWithFixedDelay(
            task, initialDelayMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** The settings in the store; each version is applied over the one before. */
  private final class StoredSettings {
    private final Consumer<DeploymentSettings> listener;
    private DeploymentSettings latest = settings;

    /** The settings' text read last, even if it was rejected; null before the first. */
    private String latestText;

    StoredSettings(Consumer<DeploymentSettings> listener) {
      this.listener = listener;
    }

    void update() {
      String text = machineList.sharedSetting(SETTINGS_KEY).orElse(null);
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
      revalidate();
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
    constraintsInForce = parseAndValidate(text, settings, topology());
    version++;
    listener.accept(constraintsInForce, version);
  }

  /** The constraints' text from the store, or else from the file; null if there is neither. */
  private String readText() throws InvalidSettingsException {
    String stored = machineList.sharedSetting(CONSTRAINTS_KEY).orElse(null);
    File file = settings.constraintsFile().orElse(null);
    if (stored != null || file == null) {
      return stored;
    }
    try {
      return Files.readString(file.toPath());
    } catch (IOException e) {
      throw InvalidSettingsException.ofMessages(List.of(file + ": cannot be read: " + e));
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

  /**
   * Parses constraints and checks that the deployment's schedulers can satisfy them on the
   * machines.
   */
  static List<PlacementConstraint> parseAndValidate(
      String text, DeploymentSettings settings, List<MachineTopology> machines)
      throws InvalidSettingsException {
    try {
      List<PlacementConstraint> constraints = ConstraintParser.parse(text, knownNames(settings));
      // Created only to check that each limit can be divided among the schedulers.
      ConstraintIndex unused = new ConstraintIndex(constraints, settings.totalSchedulers());
      List<String> conflicts = findConflicts(constraints, machines);
      if (!conflicts.isEmpty()) {
        throw InvalidSettingsException.ofMessages(conflicts);
      }
      return constraints;
    } catch (ConstraintSyntaxException e) {
      throw InvalidSettingsException.ofMessages(e.messages());
    } catch (IndivisibleLimitException e) {
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

  /**
   * Validates the constraints in force again after a change of the machines. Those that became
   * unsatisfiable stay in force and are logged.
   */
  private void revalidate() {
    List<MachineTopology> machines = topology();
    Set<MachineTopology> machineSet = new HashSet<>(machines);
    if (constraintsInForce.isEmpty() || machineSet.equals(validatedMachines)) {
      return;
    }
    validatedMachines = machineSet;
    List<String> found = findConflicts(constraintsInForce, machines);
    if (found.equals(loggedConflicts)) {
      return;
    }
    loggedConflicts = found;
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
