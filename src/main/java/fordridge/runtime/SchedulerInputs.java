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
 * A scheduler together with the state that each of its callers needs: VMs by id, and machines by
 * key as updated by machine lists and load reports.
 *
 * <p>Makes no decisions. The simulator's adapter and the servers share it; they differ only in the
 * source of their inputs. Not thread-safe; confined to the thread that calls the scheduler.
 *
 * @param <K> the key of a machine in the source of the inputs
 */
public final class SchedulerInputs<K> {
  /** A machine in a machine list; cores and memory are the free amounts, in the list's units. */
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

  /** Creates a new scheduler; {@code idOf} returns the id of a machine for its key. */
  public SchedulerInputs(SchedulerActions actions, ToLongFunction<K> idOf) {
    this.scheduler = new Scheduler(actions);
    this.idOf = idOf;
  }

  /**
   * Returns an id for a machine's name. It has to be the same at each scheduler: the schedulers use
   * it to take turns at a machine in slow start.
   */
  public static long machineId(String name) {
    CRC32 crc = new CRC32();
    crc.update(name.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }

  /** Returns the VM with this id, or null if it is not known. */
  public Vm findVm(String id) {
    return vms.get(id);
  }

  /** Adds a VM that will be passed to the scheduler. */
  public void addVm(Vm vm) {
    vms.put(vm.id, vm);
  }

  /** The number of known VMs. */
  public int vmCount() {
    return vms.size();
  }

  /** Returns the attempt with this number, or null if its VM is no longer known. */
  public PlacementAttempt attempt(String vmId, int number) {
    Vm vm = vms.get(vmId);
    return vm == null || number < 0 || number >= vm.attempts.size()
        ? null
        : vm.attempts.get(number);
  }

  /**
   * Removes a VM that is finished and has no attempt in flight. Returns false if it is not finished
   * or not known, which includes that another VM has its id by now.
   */
  public boolean removeIfFinished(Vm vm) {
    return vm.isFinished && vm.inFlightAttemptCount() == 0 && vms.remove(vm.id, vm);
  }

  /** Returns the machine with this key, which is created on the first call. */
  public Machine machine(K key) {
    return machines.computeIfAbsent(key, k -> new Machine(idOf.applyAsLong(k)));
  }

  /** Returns the machine with this key, or null if it is not known. */
  public Machine findMachine(K key) {
    return machines.get(key);
  }

  /** Applies a machine list: a complete one or a list of changes, possibly out of date. */
  public void machineListReceived(
      boolean isComplete, boolean mayBeStale, List<ListedMachine<K>> listed) {
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
   * Applies a load report, before the input that it came with. {@code utilization} is the busy
   * share of the cores; values that were not reported are NaN.
   */
  public void loadReported(
      Machine machine, double spareCores, double spareMemory, double utilization, Duration now) {
    machine.spareCores = spareCores;
    machine.spareMemory = spareMemory;
    machine.utilization = utilization;
    machine.reportedAt = now;
  }
}
