package fordridge.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import fordridge.json.JsonFields;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.SettingsValues;
import fordridge.model.Vm;
import fordridge.runtime.SchedulerInputs;
import fordridge.runtime.SchedulerInputs.ListedMachine;
import fordridge.scheduling.Scheduler;
import fordridge.scheduling.SchedulerActions;
import fordridge.scheduling.SchedulerSettingsReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One scheduler of the simulation: translates the simulator's events into inputs, and the
 * scheduler's actions into actions of the wire format.
 */
final class SimulatedScheduler implements SchedulerActions {
  private final SchedulerInputs<Long> inputs = new SchedulerInputs<>(this, id -> id);
  private final Scheduler scheduler = inputs.scheduler;
  private final Map<Long, List<Object>> machineLists;

  /** Output for the actions of the event that is being handled. */
  private JsonGenerator actions;

  /** Creates a scheduler whose events refer to the machine lists by their slots. */
  SimulatedScheduler(Map<Long, List<Object>> machineLists) {
    this.machineLists = machineLists;
  }

  /** Handles an event; its actions are written before this returns. */
  void handle(SimulatorEvent event, JsonGenerator output) {
    actions = output;
    scheduler.advanceTo(event.clock());
    switch (event.name()) {
      case "create" -> start(event);
      case "discovery" -> machineListReceived(event);
      case "arrival" -> scheduler.vmRequested(addVm(event));
      case "resident" -> vmAdopted(event);
      case "bound" -> attemptAccepted(event);
      case "interim" -> vmReported(event);
      case "response" -> attemptEnded(event);
      case "clientGone" -> requestAbandoned(event);
      case "echo" -> probeCompleted(event);
      case "noteFrom" -> scheduler.gossipReceived(event.text("data"));
      case "due" -> timerFired(event);
      default -> {}
    }
  }

  private void start(SimulatorEvent event) {
    SettingsValues values = SettingsValues.ofNested(event.object("profileData"));
    scheduler.start(event.whole("entropy"), SchedulerSettingsReader.read(values));
  }

  private void machineListReceived(SimulatorEvent event) {
    String origin = event.text("how");
    if (origin.equals("error")) {
      scheduler.machineListFailed();
      return;
    }
    List<Object> lines = machineLists.get(event.whole("slot"));
    if (lines == null) {
      throw new JsonFields.MalformedInputException(
          event.path() + ": field 'slot' refers to a machine list that was not received");
    }
    List<ListedMachine<Long>> listed = new ArrayList<>(lines.size());
    for (int i = 0; i < lines.size(); i++) {
      listed.add(listedMachine(lines.get(i), event.path() + ".lines[" + i + "]"));
    }
    inputs.machineListReceived(!origin.equals("diff"), origin.equals("disk"), listed);
  }

  private static ListedMachine<Long> listedMachine(Object line, String path) {
    Map<String, Object> fields = JsonFields.object(line, path);
    long startedAtMicros = JsonFields.wholeNumber(fields, "readyAtUs", path, 0);
    return new ListedMachine<>(
        JsonFields.wholeNumber(fields, "machine", path),
        JsonFields.text(fields, "site", path, ""),
        JsonFields.text(fields, "generationHw", path, ""),
        (int) JsonFields.wholeNumber(fields, "pod", path, 0),
        JsonFields.number(fields, "freeCores", path, 0),
        JsonFields.number(fields, "memoryFree", path, 0),
        lifecycle(JsonFields.text(fields, "lifecycle", path), path),
        startedAtMicros == 0 ? null : micros(startedAtMicros));
  }

  private static Machine.Lifecycle lifecycle(String value, String path) {
    return switch (value) {
      case "live" -> Machine.Lifecycle.LIVE;
      case "quiescing" -> Machine.Lifecycle.DRAINING;
      case "dead" -> Machine.Lifecycle.GONE;
      default ->
          throw new JsonFields.MalformedInputException(
              path + ": field 'lifecycle' is not 'live', 'quiescing' or 'dead'");
    };
  }

  private Vm addVm(SimulatorEvent event) {
    Vm vm = new Vm(event.text("req"));
    vm.priorityClass = event.text("profile");
    vm.tenant = event.fields().get("clientGroup") instanceof String tenant ? tenant : "";
    vm.service = event.whole("deployment", 0);
    vm.cores = event.number("wantCores");
    vm.memory = event.number("mem");
    vm.isClientRetry = event.flag("cameBack") || event.flag("retry");
    vm.arrivedAt = event.clock();
    vm.deadline = event.clock().plus(event.micros("patienceLeftUs"));
    long lifetimeMicros = event.whole("lastsUs", 0);
    vm.expectedLifetime = lifetimeMicros > 0 ? micros(lifetimeMicros) : null;
    inputs.addVm(vm);
    return vm;
  }

  private void vmAdopted(SimulatorEvent event) {
    Vm vm = addVm(event);
    scheduler.vmAdopted(vm, inputs.machine(event.whole("machine")));
  }

  private void attemptAccepted(SimulatorEvent event) {
    PlacementAttempt attempt = attempt(event);
    if (attempt != null) {
      scheduler.attemptAccepted(attempt);
    }
  }

  private void vmReported(SimulatorEvent event) {
    PlacementAttempt attempt = attempt(event);
    if (attempt == null) {
      return;
    }
    double amount = event.number("amount", 0);
    switch ((int) event.whole("what")) {
      case 1 -> scheduler.vmStarted(attempt);
      case 2 -> scheduler.coreUsageReported(attempt, amount);
      case 3 -> scheduler.memoryUsageReported(attempt, amount);
      case 4 -> scheduler.serviceLevelReported(attempt, amount);
      case 5 -> scheduler.memoryPressureReported(attempt, amount);
      default -> {}
    }
  }

  private void attemptEnded(SimulatorEvent event) {
    Machine machine = inputs.findMachine(event.whole("machine"));
    if (machine != null && takeLoadReport(machine, event)) {
      scheduler.loadReported(machine);
    }
    PlacementAttempt attempt = attempt(event);
    if (attempt == null) {
      return;
    }
    PlacementAttempt.Outcome outcome = outcome((int) event.whole("rc"), event.path());
    PlacementAttempt.OutcomeReason reason = reason((int) event.whole("info", 0));
    scheduler.attemptEnded(attempt, outcome, reason, event.flag("noMore"));
    inputs.removeIfFinished(attempt.vm);
  }

  private static PlacementAttempt.Outcome outcome(int code, String path) {
    return switch (code) {
      case 200 -> PlacementAttempt.Outcome.DONE;
      case 502 -> PlacementAttempt.Outcome.ERROR;
      case 429 -> PlacementAttempt.Outcome.FULL;
      case 408 -> PlacementAttempt.Outcome.TIMEOUT;
      case 521 -> PlacementAttempt.Outcome.UNREACHABLE;
      case 520 -> PlacementAttempt.Outcome.RESET;
      case 444 -> PlacementAttempt.Outcome.CANCELLED;
      case 409 -> PlacementAttempt.Outcome.NOT_SENT;
      default ->
          throw new JsonFields.MalformedInputException(
              path + ": field 'rc' is not a known result code: " + code);
    };
  }

  /**
   * The reason of a code; codes on the wire are the ordinals of the enum, and unknown ones count as
   * unspecified.
   */
  private static PlacementAttempt.OutcomeReason reason(int code) {
    PlacementAttempt.OutcomeReason[] reasons = PlacementAttempt.OutcomeReason.values();
    boolean isKnown = code > 0 && code < reasons.length;
    return isKnown ? reasons[code] : PlacementAttempt.OutcomeReason.UNSPECIFIED;
  }

  private void requestAbandoned(SimulatorEvent event) {
    Vm vm = inputs.findVm(event.text("req"));
    if (vm != null) {
      scheduler.requestAbandoned(vm);
      inputs.removeIfFinished(vm);
    }
  }

  private void probeCompleted(SimulatorEvent event) {
    Machine machine = inputs.findMachine(event.whole("machine"));
    if (machine == null) {
      return;
    }
    boolean isHealthy = event.whole("rc") == 200;
    boolean hasReport = takeLoadReport(machine, event);
    event.whole("elapsedUs", 0); // not used, but an invalid value is an error
    scheduler.probeCompleted(machine, isHealthy, hasReport);
  }

  private void timerFired(SimulatorEvent event) {
    event.whole("handle"); // not used, but a missing value is an error
    scheduler.timerFired();
  }

  private PlacementAttempt attempt(SimulatorEvent event) {
    return inputs.attempt(event.text("req"), (int) event.whole("seqNo"));
  }

  private boolean takeLoadReport(Machine machine, SimulatorEvent event) {
    if (event.fields().get("healthInfo") == null) {
      return false;
    }
    Map<String, Object> report = event.object("healthInfo");
    inputs.loadReported(
        machine,
        JsonFields.number(report, "x0", event.path(), Double.NaN),
        JsonFields.number(report, "x1", event.path(), Double.NaN),
        JsonFields.number(report, "utilization", event.path(), Double.NaN),
        event.clock());
    return true;
  }

  private static Duration micros(long micros) {
    return Duration.of(micros, ChronoUnit.MICROS);
  }

  private static long toMicros(Duration duration) {
    return duration.toNanos() / 1000;
  }

  /** Writes an action: its name, then its fields, given as alternating names and values. */
  private void write(String name, Object... fields) {
    try {
      actions.writeStartObject();
      actions.writeStringField("msg", name);
      for (int i = 0; i < fields.length; i += 2) {
        actions.writeFieldName((String) fields[i]);
        Object value = fields[i + 1];
        if (value instanceof Long number) {
          actions.writeNumber(number);
        } else if (value instanceof Boolean flag) {
          actions.writeBoolean(flag);
        } else {
          actions.writeString((String) value);
        }
      }
      actions.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void sendAttempt(PlacementAttempt attempt, Duration timeout) {
    write(
        "propose",
        "req",
        attempt.vm.id,
        "machine",
        attempt.machine.id,
        "withinUs",
        toMicros(timeout));
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    write("deny", "req", vm.id, "backoffUs", toMicros(retryAfter));
    inputs.removeIfFinished(vm);
  }

  @Override
  public void fail(Vm vm) {
    write("dropRequest", "req", vm.id);
    inputs.removeIfFinished(vm);
  }

  @Override
  public void migrate(Vm vm) {
    write("vacate", "req", vm.id);
  }

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {
    write("undoSend", "req", attempt.vm.id, "seqNo", (long) attempt.number);
  }

  @Override
  public void probe(Machine machine) {
    write("inspect", "machine", machine.id);
  }

  @Override
  public void gossip(String message) {
    write("memoTo", "addressee", "*", "data", message);
  }

  @Override
  public void scheduleTimer(Duration delay) {
    write("after", "inUs", toMicros(delay), "handle", 0L);
  }

  @Override
  public void log(String line) {
    write("journalLine", "reasonText", line);
  }

  @Override
  public void watchMachineList(boolean enabled) {
    write("follow", "enable", enabled);
  }

  @Override
  public void fetchMachineList() {
    write("lookup", new Object[0]);
  }
}
