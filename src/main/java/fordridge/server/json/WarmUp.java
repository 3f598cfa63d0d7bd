package fordridge.server.json;

import fordridge.json.ClientServer;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SettingsValues;
import fordridge.model.Vm;
import fordridge.runtime.SchedulerInputs;
import fordridge.scheduling.SchedulerActions;
import fordridge.scheduling.SchedulerSettingsReader;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * Has a module of its own and the codec of lines work for a moment before the placer listens. On a
 * part of a core a JVM that has compiled nothing yet reads its first asks most of a second late,
 * and by then hundreds have come.
 */
final class WarmUp implements SchedulerActions, ClientServer.ClientRequestHandler {
  private static final int VMS = 260;
  private static final int MACHINES = 12;

  private final Deque<Runnable> follows = new ArrayDeque<>();
  private final SchedulerInputs<String> inputs =
      new SchedulerInputs<>(this, SchedulerInputs::number);
  private Duration now = Duration.ofSeconds(1);
  private int answers;

  /** At most {@code most} long; the result is how many asks were gone through. */
  static int run(ServerConfiguration p, Duration most) {
    WarmUp w = new WarmUp();
    long until = System.nanoTime() + most.toNanos();
    w.begin(p.seed, p.terms);
    String priorityClass = new SettingsValues(p.terms).text("lanes.0.name", "");
    EmbeddedChannel channel = new EmbeddedChannel();
    ClientServer.embed(w, channel.pipeline());
    for (int i = 0; i < VMS && System.nanoTime() < until; i++) {
      w.one(i, priorityClass);
      String id = String.format("%016x", i);
      channel.writeInbound(
          Unpooled.copiedBuffer(
              "{\"t\":\"new\",\"ref\":\""
                  + id
                  + "\",\"f\":{\"class\":\""
                  + priorityClass
                  + "\",\"left\":\"1500\",\"key\":\""
                  + id
                  + "\",\"extras\":\"cores:1;memory:2;service:"
                  + id
                  + "\"},\"d\":\"c=\\r\\nm=\"}\n",
              StandardCharsets.UTF_8));
      for (io.netty.buffer.ByteBuf b = channel.readOutbound();
          b != null;
          b = channel.readOutbound()) {
        b.release();
      }
    }
    channel.finishAndReleaseAll();
    return w.answers;
  }

  private void begin(long seed, Map<String, Object> values) {
    inputs.scheduler.advanceTo(now);
    SettingsValues terms = new SettingsValues(values);
    inputs.scheduler.start(seed, SchedulerSettingsReader.read(terms));
    List<SchedulerInputs.ListedMachine<String>> lines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      int kind = i % Math.max(1, terms.list("kinds").size());
      lines.add(
          new SchedulerInputs.ListedMachine<>(
              "m" + i,
              terms.text("zone", ""),
              String.valueOf(terms.list("kinds").get(kind)),
              0,
              terms.item("extra.cpuOfKind", kind, 1),
              terms.item("extra.memoryByKind", kind, 1),
              Machine.Lifecycle.LIVE,
              null));
    }
    inputs.list(true, false, lines);
  }

  private void one(int i, String priorityClass) {
    now = now.plusMillis(40);
    inputs.scheduler.advanceTo(now);
    Vm vm = new Vm("vm" + i);
    vm.priorityClass = priorityClass;
    vm.service = i % 7;
    vm.cores = 1;
    vm.memory = 1;
    vm.arrivedAt = now;
    vm.deadline = now.plusSeconds(4);
    inputs.add(vm);
    inputs.scheduler.vmRequested(vm);
    while (!follows.isEmpty()) {
      follows.removeFirst().run();
    }
    Machine m = inputs.machine("m" + i % MACHINES);
    inputs.report(m, m.cores / 2, m.memory / 2, 0.5, now);
    inputs.scheduler.loadReported(m);
  }

  @Override
  public void sendAttempt(PlacementAttempt c, Duration within) {
    follows.addLast(
        () -> {
          inputs.scheduler.attemptAccepted(c);
          inputs.scheduler.coreUsageReported(c, 0.5);
          inputs.scheduler.memoryUsageReported(c, 0.5);
          now = now.plusMillis(1);
          inputs.scheduler.advanceTo(now);
          inputs.scheduler.attemptEnded(c, Outcome.DONE, OutcomeReason.UNSPECIFIED, true);
          inputs.forget(c.vm);
        });
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    inputs.forget(vm);
  }

  @Override
  public void fail(Vm vm) {
    inputs.forget(vm);
  }

  @Override
  public void migrate(Vm vm) {}

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {}

  @Override
  public void probe(Machine m) {
    follows.addLast(() -> inputs.scheduler.probeCompleted(m, true, true, Duration.ofMillis(2)));
  }

  @Override
  public void scheduleTimer(Duration in) {
    follows.addLast(inputs.scheduler::timerFired);
  }

  @Override
  public void log(String line) {}

  @Override
  public void watchMachineList(boolean on) {}

  @Override
  public void fetchMachineList() {}

  @Override
  public void asks(
      ClientServer.ClientConnection owner,
      String id,
      Map<String, Object> fields,
      String description) {
    answers++;
    owner.write("up", id, -1, description);
  }

  @Override
  public void ends(ClientServer.ClientConnection owner, String id, int cause) {}

  @Override
  public boolean ready() {
    return false;
  }

  @Override
  public void closed(ClientServer.ClientConnection owner) {}

  @Override
  public boolean busy(ClientServer.ClientConnection owner) {
    return false;
  }
}
