package fordridge.emulator;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Plays the script of troubles against stand-ins: who is struck is drawn from the day's seed. */
final class FaultInjector {
  private final ScenarioPlan plan;
  private final List<EmulatedMachine> machines;
  private final List<EmulatedMachine> spares;
  private final List<EmulatedClient> owners;
  private final EmulatedRegistry registry;
  private final ScheduledExecutorService clock;
  private final WireRecorder tap;
  private final EmulatedEtcd etcd;

  FaultInjector(
      ScenarioPlan plan,
      List<EmulatedMachine> machines,
      List<EmulatedMachine> spares,
      List<EmulatedClient> owners,
      EmulatedRegistry registry,
      ScheduledExecutorService clock,
      WireRecorder tap,
      EmulatedEtcd etcd) {
    this.etcd = etcd;
    this.plan = plan;
    this.machines = machines;
    this.spares = spares;
    this.owners = owners;
    this.registry = registry;
    this.clock = clock;
    this.tap = tap;
  }

  void schedule() {
    for (int i = 0; i < plan.faults.size(); i++) {
      ScenarioPlan.Fault f = plan.faults.get(i);
      Random draw = new Random(plan.seed * 1000 + i);
      at(
          f.at(),
          () -> {
            tap.line("faults", "begins", "kind", f.kind());
            begin(f, draw);
          });
    }
  }

  private void at(Duration in, Runnable what) {
    clock.schedule(
        () -> {
          try {
            what.run();
          } catch (RuntimeException e) {
            tap.line("faults", "failed", "why", e.toString());
          }
        },
        in.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Those struck: a share of all, or of whole places if the fault says by what. */
  private List<EmulatedMachine> struck(ScenarioPlan.Fault f, Random draw) {
    List<EmulatedMachine> all = new ArrayList<>(machines);
    all.removeIf(m -> registry.state(m.name()).equals("gone"));
    Collections.shuffle(all, draw);
    int n = Math.max(1, (int) Math.round(f.part() * all.size()));
    if (!f.by().equals("any")) {
      String first = place(f, all.get(0));
      all.sort((a, b) -> Boolean.compare(!place(f, a).equals(first), !place(f, b).equals(first)));
      if (f.kind().equals("zone_loss")) {
        n = (int) all.stream().filter(m -> place(f, m).equals(first)).count();
      }
    }
    return all.subList(0, Math.min(n, all.size()));
  }

  private static String place(ScenarioPlan.Fault f, EmulatedMachine m) {
    return switch (f.by()) {
      case "zone" -> m.make.zone();
      case "cell" -> m.make.zone() + m.make.cell();
      default -> m.make.kind();
    };
  }

  private interface FaultAction {
    void on(EmulatedMachine m);
  }

  private void during(ScenarioPlan.Fault f, Random draw, FaultAction begin, FaultAction end) {
    List<EmulatedMachine> some = struck(f, draw);
    some.forEach(m -> m.act(() -> begin.on(m)));
    at(f.lasts(), () -> some.forEach(m -> m.act(() -> end.on(m))));
  }

  private void begin(ScenarioPlan.Fault f, Random draw) {
    switch (f.kind()) {
      case "slow" ->
          during(f, draw, m -> m.trouble().slow = Math.max(1, f.size()), m -> m.trouble().slow = 1);
      case "fast_errors" ->
          during(f, draw, m -> m.trouble().errors = f.size(), m -> m.trouble().errors = 0);
      case "neighbour" ->
          during(f, draw, m -> m.trouble().neighbour = f.size(), m -> m.trouble().neighbour = 0);
      case "hot_key" ->
          during(f, draw, m -> m.trouble().use = 1 + f.size(), m -> m.trouble().use = 1);
      case "hang" -> during(f, draw, m -> m.hang(true), m -> m.hang(false));
      case "mute" ->
          during(
              f,
              draw,
              m -> {
                m.mute(true);
                m.cut(null);
              },
              m -> m.mute(false));
      case "answer_lost" ->
          during(f, draw, m -> m.lose(f.size(), f.of().equals("reset")), m -> m.lose(0, false));
      case "throttle" -> during(f, draw, m -> throttle(m, f), m -> m.trouble().throttled = null);
      case "pauses" -> pauses(f, draw);
      case "vanish" -> vanish(struck(f, draw), f.lasts());
      case "crash", "zone_loss" -> crash(struck(f, draw), f.lasts());
      case "mass_restart" -> crash(struck(f, draw), f.lasts());
      case "drain" -> drain(struck(f, draw), f.lasts(), true);
      case "preempt" -> drain(struck(f, draw), Duration.ofSeconds(1), false);
      case "deploy" -> deploy(f, draw);
      case "grow" -> grow(f);
      case "flush" -> struck(f, draw).forEach(m -> m.act(() -> m.model().flush()));
      case "burst" -> burst(f);
      case "reconnect" -> owners.forEach(o -> o.act(() -> o.reconnect(f.part(), f.lasts())));
      case "cut_clients" -> cutClients(f, draw);
      case "cut_machines" -> struck(f, draw).forEach(m -> m.act(() -> m.cut(null)));
      case "cut_greetings" -> cutMachinesAt(EmulatedMachine.CutPoint.GREETED, f, draw);
      case "cut_offers" -> cutMachinesAt(EmulatedMachine.CutPoint.OFFER_READ, f, draw);
      case "cut_before_answer" -> cutMachinesAt(EmulatedMachine.CutPoint.BEFORE_ANSWER, f, draw);
      case "cut_after_answer" -> cutMachinesAt(EmulatedMachine.CutPoint.AFTER_ANSWER, f, draw);
      case "cut_binds" -> {
        for (EmulatedClient o : owners) {
          if (draw.nextDouble() < f.part()) {
            o.act(
                () ->
                    o.cutAtBinds((int) Math.max(1, f.size()), Duration.ofMillis((long) f.extra())));
          }
        }
      }
      case "etcd_compact" -> etcd.compactNow();
      case "etcd_cut" -> {
        etcd.leaderless(true);
        at(
            f.lasts(),
            () -> {
              etcd.compactNow();
              etcd.leaderless(false);
            });
      }
      case "etcd_silence" -> {
        etcd.silence(true);
        at(f.lasts(), () -> etcd.silence(false));
      }
      case "etcd_delay" -> {
        etcd.delay((long) f.size());
        at(f.lasts(), () -> etcd.delay(0));
      }
      case "etcd_restore" -> etcd.restore(Math.max(2, etcd.revision() - 50), false);
      case "etcd_leases" -> etcd.revokeAll();
      default -> throw new IllegalStateException("no such fault: " + f.kind());
    }
  }

  private void cutMachinesAt(EmulatedMachine.CutPoint when, ScenarioPlan.Fault f, Random draw) {
    during(
        f,
        draw,
        m -> m.cutAt(when, f.of(), (int) Math.max(1, f.size())),
        m -> m.cutAt(EmulatedMachine.CutPoint.NONE, "", 0));
  }

  private void throttle(EmulatedMachine m, ScenarioPlan.Fault f) {
    MachineModel.ActiveFault t = m.trouble();
    boolean tenant = plan.deployment.tenants().stream().anyMatch(c -> c.name().equals(f.of()));
    t.throttled =
        f.of().isEmpty() && !plan.deployment.tenants().isEmpty()
            ? plan.deployment.tenants().get(0).name()
            : f.of();
    t.throttleByTenant = tenant || f.of().isEmpty();
    t.throttleRate = f.size();
    t.throttleDelay = Duration.ofMillis((long) f.extra());
  }

  /** Stands still for {@code size} ms every {@code extra} ms. */
  private void pauses(ScenarioPlan.Fault f, Random draw) {
    long until = System.nanoTime() + f.lasts().toNanos();
    for (EmulatedMachine m : struck(f, draw)) {
      pause(m, f, until);
    }
  }

  private void pause(EmulatedMachine m, ScenarioPlan.Fault f, long until) {
    m.act(() -> m.trouble().paused = true);
    at(Duration.ofMillis((long) f.size()), () -> m.act(() -> m.trouble().paused = false));
    at(
        Duration.ofMillis((long) Math.max(f.size() + 50, f.extra())),
        () -> {
          if (System.nanoTime() < until) {
            pause(m, f, until);
          }
        });
  }

  private void vanish(List<EmulatedMachine> some, Duration away) {
    for (EmulatedMachine m : some) {
      m.act(
          () -> {
            tap.line(m.name(), "vanish");
            m.silence(true);
          });
      at(min(away, Duration.ofSeconds(3)), () -> registry.set(m, "gone", null));
      at(away, () -> rise(m));
    }
  }

  private void crash(List<EmulatedMachine> some, Duration away) {
    for (EmulatedMachine m : some) {
      m.act(m::crash);
      at(min(away, Duration.ofSeconds(1)), () -> registry.set(m, "gone", null));
      at(away, () -> rise(m));
    }
  }

  private void rise(EmulatedMachine m) {
    m.act(m::rise);
    at(Duration.ofMillis(200), () -> registry.set(m, "live", Instant.now().minusMillis(200)));
  }

  /** Drains, dies after the notice, and (unless it is taken away) comes back cold a while later. */
  private void drain(List<EmulatedMachine> some, Duration notice, boolean comesBack) {
    for (EmulatedMachine m : some) {
      registry.set(m, "draining", null);
      m.act(
          () -> {
            tap.line(m.name(), "drain");
            m.model().drain(notice);
          });
      at(
          notice,
          () -> {
            m.act(m::crash);
            registry.set(m, "gone", null);
            if (comesBack) {
              at(Duration.ofSeconds(2), () -> rise(m));
            }
          });
    }
  }

  /** All in batches of {@code size} of the fleet, each drained for {@code extra} ms. */
  private void deploy(ScenarioPlan.Fault f, Random draw) {
    List<EmulatedMachine> some = struck(f, draw);
    int batch = Math.max(1, (int) Math.round(f.size() * machines.size()));
    int rounds = (some.size() + batch - 1) / batch;
    for (int i = 0; i < rounds; i++) {
      List<EmulatedMachine> these = some.subList(i * batch, Math.min(some.size(), (i + 1) * batch));
      at(
          f.lasts().multipliedBy(i).dividedBy(Math.max(1, rounds)),
          () -> drain(these, Duration.ofMillis((long) Math.max(500, f.extra())), true));
    }
  }

  private void grow(ScenarioPlan.Fault f) {
    int n = Math.min(spares.size(), (int) Math.max(1, f.size()));
    for (int i = 0; i < n; i++) {
      EmulatedMachine m = spares.get(i);
      machines.add(m);
      at(f.lasts().multipliedBy(i).dividedBy(n), () -> rise(m));
    }
  }

  private void burst(ScenarioPlan.Fault f) {
    owners.forEach(o -> o.act(() -> o.rate(o.rate() * f.size())));
    at(f.lasts(), () -> owners.forEach(o -> o.act(() -> o.rate(o.rate() / f.size()))));
  }

  private void cutClients(ScenarioPlan.Fault f, Random draw) {
    for (EmulatedClient o : owners) {
      if (draw.nextDouble() < f.part()) {
        Duration away = Duration.ofMillis((long) Math.max(20, f.size()));
        o.act(() -> o.cut(away));
      }
    }
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }
}
