package fordridge.runtime;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import fordridge.scheduling.Scheduler;
import fordridge.scheduling.SchedulerActions;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.zip.CRC32;

/**
 * What every feeder of the module needs: VMs by name, machines by key, whole or changed lists,
 * reports. It decides nothing; the simulator's adapter and the placer differ only in where their
 * inputs come from.
 *
 * @param <K> what names a machine where the inputs come from
 */
public final class SchedulerInputs<K> {
  /** One line of a list of machines. */
  public record ListedMachine<K>(
      K key,
      String zone,
      String kind,
      int cell,
      double freeCores,
      double freeMemory,
      Machine.Lifecycle lifecycle,
      Duration startedAt) {}

  public final Scheduler scheduler;
  private final ToLongFunction<K> idOf;
  private final Map<String, Vm> vms = new HashMap<>();
  private final Map<K, Machine> machines = new HashMap<>();

  public SchedulerInputs(SchedulerActions actions, ToLongFunction<K> idOf) {
    this.scheduler = new Scheduler(actions);
    this.idOf = idOf;
  }

  /** The same at every placer: placers take turns at cold machines by it. */
  public static long number(String machine) {
    CRC32 crc = new CRC32();
    crc.update(machine.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }

  public Vm vm(String id) {
    return vms.get(id);
  }

  public void add(Vm vm) {
    vms.put(vm.id, vm);
  }

  public int size() {
    return vms.size();
  }

  /** The claim of that number, or null where its VM is no longer held. */
  public PlacementAttempt attempt(String id, int number) {
    Vm vm = vms.get(id);
    return vm == null || number < 0 || number >= vm.attempts.size()
        ? null
        : vm.attempts.get(number);
  }

  /** A VM that is over and has no claim out will not be heard of again. */
  public boolean forget(Vm vm) {
    return vm.isFinished && vm.inFlightAttempts() == 0 && vms.remove(vm.id) != null;
  }

  public Machine machine(K key) {
    return machines.computeIfAbsent(key, k -> new Machine(idOf.applyAsLong(k)));
  }

  public Machine known(K key) {
    return machines.get(key);
  }

  public void list(boolean whole, boolean old, List<ListedMachine<K>> lines) {
    scheduler.machineListStarted(whole, old);
    for (ListedMachine<K> l : lines) {
      Machine m = machine(l.key);
      m.zone = l.zone;
      m.kind = l.kind;
      m.cell = l.cell;
      m.freeCores = l.freeCores;
      m.freeMemory = l.freeMemory;
      scheduler.machineListed(m, l.lifecycle, l.startedAt);
    }
    scheduler.machineListCompleted();
  }

  /** A load report that came with what the module is told next. */
  public void report(Machine m, double spareCores, double spareMemory, double busy, Duration now) {
    m.spareCores = spareCores;
    m.spareMemory = spareMemory;
    m.utilization = busy;
    m.reportedAt = now;
  }
}
