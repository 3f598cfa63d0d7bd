package fordridge.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import fordridge.json.JsonFields;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.SettingsValues;
import fordridge.model.Vm;
import fordridge.runtime.SchedulerInputs;
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
 * One instance: turns its events into calls of the module, and what the module does into actions.
 */
final class SimulatedScheduler implements SchedulerActions {
  private final SchedulerInputs<Long> inputs = new SchedulerInputs<>(this, id -> id);
  private final Scheduler scheduler = inputs.scheduler;
  private JsonGenerator gen;

  private static Duration micros(long us) {
    return Duration.of(us, ChronoUnit.MICROS);
  }

  private static long micros(Duration d) {
    return d.toNanos() / 1000;
  }

  void event(
      String msg,
      Map<String, Object> ev,
      String at,
      Duration clock,
      JsonGenerator to,
      Map<Long, List<Object>> lists)
      throws IOException {
    gen = to;
    scheduler.advanceTo(clock);
    switch (msg) {
      case "create" -> {
        SettingsValues values =
            SettingsValues.ofNested(JsonFields.object(ev.get("profileData"), at + ".profileData"));
        scheduler.start(JsonFields.whole(ev, "entropy", at), SchedulerSettingsReader.read(values));
      }
      case "discovery" -> discovery(ev, at, lists);
      case "arrival" -> {
        Vm vm = vm(ev, at, clock);
        inputs.add(vm);
        scheduler.vmRequested(vm);
      }
      case "resident" -> {
        Vm vm = vm(ev, at, clock);
        inputs.add(vm);
        scheduler.vmAdopted(vm, inputs.machine(JsonFields.whole(ev, "machine", at)));
      }
      case "bound" -> {
        PlacementAttempt c =
            inputs.attempt(JsonFields.text(ev, "req", at), (int) JsonFields.whole(ev, "seqNo", at));
        if (c != null) {
          scheduler.attemptAccepted(c);
        }
      }
      case "interim" -> {
        PlacementAttempt c =
            inputs.attempt(JsonFields.text(ev, "req", at), (int) JsonFields.whole(ev, "seqNo", at));
        if (c != null) {
          double amount = JsonFields.number(ev, "amount", at, 0);
          switch ((int) JsonFields.whole(ev, "what", at)) {
            case 1 -> scheduler.vmStarted(c);
            case 2 -> scheduler.coreUsageReported(c, amount);
            case 3 -> scheduler.memoryUsageReported(c, amount);
            case 4 -> scheduler.serviceLevelReported(c, amount);
            case 5 -> scheduler.memoryPressureReported(c, amount);
            default -> {}
          }
        }
      }
      case "response" -> response(ev, at, clock);
      case "clientGone" -> {
        Vm vm = inputs.vm(JsonFields.text(ev, "req", at));
        if (vm != null) {
          scheduler.clientLeft(vm);
          inputs.forget(vm);
        }
      }
      case "echo" -> {
        Machine m = inputs.known(JsonFields.whole(ev, "machine", at));
        if (m != null) {
          boolean ok = JsonFields.whole(ev, "rc", at) == 200;
          boolean told = report(m, ev, at, clock);
          JsonFields.whole(ev, "elapsedUs", at, 0);
          scheduler.probeCompleted(m, ok, told);
        }
      }
      case "noteFrom" -> scheduler.gossipReceived(JsonFields.text(ev, "data", at));
      case "due" -> {
        JsonFields.whole(ev, "handle", at);
        scheduler.timerFired();
      }
      default -> {}
    }
  }

  private void discovery(Map<String, Object> ev, String at, Map<Long, List<Object>> lists) {
    String how = JsonFields.text(ev, "how", at);
    if (how.equals("error")) {
      scheduler.machineListFailed();
      return;
    }
    List<Object> lines = lists.get(JsonFields.whole(ev, "slot", at));
    if (lines == null) {
      throw new JsonFields.MalformedInputException(
          at + ": field 'slot' names a list that never came");
    }
    List<SchedulerInputs.ListedMachine<Long>> told = new ArrayList<>(lines.size());
    int i = 0;
    for (Object o : lines) {
      String where = at + ".lines[" + i++ + "]";
      Map<String, Object> l = JsonFields.object(o, where);
      long ready = JsonFields.whole(l, "readyAtUs", where, 0);
      told.add(
          new SchedulerInputs.ListedMachine<>(
              JsonFields.whole(l, "machine", where),
              JsonFields.text(l, "site", where, ""),
              JsonFields.text(l, "generationHw", where, ""),
              (int) JsonFields.whole(l, "pod", where, 0),
              JsonFields.number(l, "freeCores", where, 0),
              JsonFields.number(l, "memoryFree", where, 0),
              switch (JsonFields.text(l, "lifecycle", where)) {
                case "live" -> Machine.Lifecycle.LIVE;
                case "quiescing" -> Machine.Lifecycle.DRAINING;
                case "dead" -> Machine.Lifecycle.GONE;
                default ->
                    throw new JsonFields.MalformedInputException(
                        where + ": field 'lifecycle' is not a known word");
              },
              ready == 0 ? null : micros(ready)));
    }
    inputs.list(!how.equals("diff"), how.equals("disk"), told);
  }

  private Vm vm(Map<String, Object> ev, String at, Duration clock) {
    Vm vm = new Vm(JsonFields.text(ev, "req", at));
    vm.priorityClass = JsonFields.text(ev, "profile", at);
    Object group = ev.get("clientGroup");
    vm.tenant = group instanceof String s ? s : "";
    vm.service = JsonFields.whole(ev, "deployment", at, 0);
    vm.cores = JsonFields.number(ev, "wantCores", at);
    vm.memory = JsonFields.number(ev, "mem", at);
    vm.isClientRetry = JsonFields.flag(ev, "cameBack", at) || JsonFields.flag(ev, "retry", at);
    vm.arrivedAt = clock;
    vm.deadline = clock.plus(micros(JsonFields.whole(ev, "patienceLeftUs", at)));
    long lasts = JsonFields.whole(ev, "lastsUs", at, 0);
    vm.expectedLifetime = lasts > 0 ? micros(lasts) : null;
    return vm;
  }

  private void response(Map<String, Object> ev, String at, Duration clock) {
    Machine m = inputs.known(JsonFields.whole(ev, "machine", at));
    if (m != null && report(m, ev, at, clock)) {
      scheduler.loadReported(m);
    }
    PlacementAttempt c =
        inputs.attempt(JsonFields.text(ev, "req", at), (int) JsonFields.whole(ev, "seqNo", at));
    if (c == null) {
      return;
    }
    int rc = (int) JsonFields.whole(ev, "rc", at);
    PlacementAttempt.Outcome end =
        switch (rc) {
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
                  at + ": field 'rc' is not a known result");
        };
    int info = (int) JsonFields.whole(ev, "info", at, 0);
    PlacementAttempt.OutcomeReason[] whys = PlacementAttempt.OutcomeReason.values();
    PlacementAttempt.OutcomeReason why =
        info > 0 && info < whys.length ? whys[info] : PlacementAttempt.OutcomeReason.UNSPECIFIED;
    scheduler.attemptEnded(c, end, why, JsonFields.flag(ev, "noMore", at));
    inputs.forget(c.vm);
  }

  private boolean report(Machine m, Map<String, Object> ev, String at, Duration clock) {
    if (ev.get("healthInfo") == null) {
      return false;
    }
    Map<String, Object> r = JsonFields.object(ev.get("healthInfo"), at + ".healthInfo");
    inputs.report(
        m,
        JsonFields.number(r, "x0", at, Double.NaN),
        JsonFields.number(r, "x1", at, Double.NaN),
        JsonFields.number(r, "utilization", at, Double.NaN),
        clock);
    return true;
  }

  /**
   * Writes one action: its name, then pairs of field and value (a VM's id, a machine's id, a
   * number...).
   */
  private void act(String msg, Object... fields) {
    try {
      gen.writeStartObject();
      gen.writeStringField("msg", msg);
      for (int i = 0; i < fields.length; i += 2) {
        gen.writeFieldName((String) fields[i]);
        Object v = fields[i + 1];
        if (v instanceof Long n) {
          gen.writeNumber(n);
        } else if (v instanceof Boolean b) {
          gen.writeBoolean(b);
        } else {
          gen.writeString((String) v);
        }
      }
      gen.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void sendAttempt(PlacementAttempt attempt, Duration within) {
    act("propose", "req", attempt.vm.id, "machine", attempt.machine.id, "withinUs", micros(within));
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    act("deny", "req", vm.id, "backoffUs", micros(retryAfter));
    inputs.forget(vm);
  }

  @Override
  public void fail(Vm vm) {
    act("dropRequest", "req", vm.id);
    inputs.forget(vm);
  }

  @Override
  public void migrate(Vm vm) {
    act("vacate", "req", vm.id);
  }

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {
    act("undoSend", "req", attempt.vm.id, "seqNo", (long) attempt.number);
  }

  @Override
  public void probe(Machine machine) {
    act("inspect", "machine", machine.id);
  }

  @Override
  public void gossip(String note) {
    act("memoTo", "addressee", "*", "data", note);
  }

  @Override
  public void scheduleTimer(Duration in) {
    act("after", "inUs", micros(in), "handle", 0L);
  }

  @Override
  public void log(String line) {
    act("journalLine", "reasonText", line);
  }

  @Override
  public void watchMachineList(boolean on) {
    act("follow", "enable", on);
  }

  @Override
  public void fetchMachineList() {
    act("lookup", new Object[0]);
  }
}
