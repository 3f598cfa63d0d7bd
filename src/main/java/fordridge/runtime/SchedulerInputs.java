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
 * A scheduler with what every caller of it needs: VMs by id, machines by key, machine lists and
 * load reports.
 *
 * <p>It decides nothing; the simulator's adapter and the servers differ only in where their inputs
 * come from. Belongs to the thread that calls the scheduler.
 *
 * @param <K> what names a machine where the inputs come from
 */
public final class SchedulerInputs<K> {
  /** A machine of a machine list; cores and memory are what is free, in the list's units. */
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

  /** A scheduler of its own; {@code idOf} gives the id of a machine by its key. */
  public SchedulerInputs(SchedulerActions actions, ToLongFunction<K> idOf) {
    this.scheduler = new Scheduler(actions);
    this.idOf = idOf;
  }

  /** An id for a machine's name, the same at each scheduler: they take turns by it. */
  public static long number(String name) {
    CRC32 crc = new CRC32();
    crc.update(name.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }

  /** The VM with that id, or null. */
  public Vm vm(String id) {
    return vms.get(id);
  }

  /** Adds a VM that the scheduler will get. */
  public void add(Vm vm) {
    vms.put(vm.id, vm);
  }

  /** How many VMs are known. */
  public int size() {
    return vms.size();
  }

  /** The attempt of that number, or null where its VM is no longer known. */
  public PlacementAttempt attempt(String vmId, int number) {
    Vm vm = vms.get(vmId);
    return vm == null || number < 0 || number >= vm.attempts.size()
        ? null
        : vm.attempts.get(number);
  }

  /**
   * Forgets a VM that is finished and has no attempt in flight; false if it is not or was not
   * known, also where another VM has its id by now.
   */
  public boolean forget(Vm vm) {
    return vm.isFinished && vm.inFlightAttempts() == 0 && vms.remove(vm.id, vm);
  }

  /** The machine with that key, made when it is first asked for. */
  public Machine machine(K key) {
    return machines.computeIfAbsent(key, k -> new Machine(idOf.applyAsLong(k)));
  }

  /** The machine with that key, or null. */
  public Machine known(K key) {
    return machines.get(key);
  }

  /** A machine list came: complete or changes, perhaps out of date. */
  public void list(boolean isComplete, boolean mayBeStale, List<ListedMachine<K>> listed) {
    scheduler.machineListStarted(isComplete, mayBeStale);
    for (ListedMachine<K> entry : listed) {
      Machine machine = machine(entry.key);
      machine.zone = entry.zone;
      machine.kind = entry.kind;
      machine.cell = entry.cell;
      machine.freeCores = entry.freeCores;
      machine.freeMemory = entry.freeMemory;
      scheduler.machineListed(machine, entry.lifecycle, entry.startedAt);
    }
    scheduler.machineListCompleted();
  }

  /**
   * A load report came; the input that it came with follows. {@code utilization} is the busy share
   * of the cores; what was not reported is NaN.
   */
  public void report(
      Machine machine, double spareCores, double spareMemory, double utilization, Duration now) {
    machine.spareCores = spareCores;
    machine.spareMemory = spareMemory;
    machine.utilization = utilization;
    machine.reportedAt = now;
  }
}
