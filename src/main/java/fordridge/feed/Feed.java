package fordridge.feed;

import fordridge.Logic;
import fordridge.door.Door;
import fordridge.state.Claim;
import fordridge.state.Machine;
import fordridge.state.Vm;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.zip.CRC32;

/**
 * What every feeder of the module needs: VMs by name, machines by key, whole or changed lists, reports. It decides
 * nothing; the simulator's adapter and the placer differ only in where their inputs come from.
 *
 * @param <K> what names a machine where the inputs come from
 */
public final class Feed<K> {
    /** One line of a list of machines. */
    public record Line<K>(K key, String zone, String kind, int cell, double freeCores, double freeMemory,
            Machine.Listing listing, Duration startedAt) { }

    public final Logic logic;
    private final ToLongFunction<K> idOf;
    private final Map<String, Vm> vms = new HashMap<>();
    private final Map<K, Machine> machines = new HashMap<>();

    public Feed(Door door, ToLongFunction<K> idOf) {
        this.logic = new Logic(door);
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
    public Claim claim(String id, int number) {
        Vm vm = vms.get(id);
        return vm == null || number < 0 || number >= vm.claims.size() ? null : vm.claims.get(number);
    }

    /** A VM that is over and has no claim out will not be heard of again. */
    public boolean forget(Vm vm) {
        return vm.over && vm.out() == 0 && vms.remove(vm.id) != null;
    }

    public Machine machine(K key) {
        return machines.computeIfAbsent(key, k -> new Machine(idOf.applyAsLong(k)));
    }

    public Machine known(K key) {
        return machines.get(key);
    }

    public void list(boolean whole, boolean old, List<Line<K>> lines) {
        logic.listBegins(whole, old);
        for (Line<K> l : lines) {
            Machine m = machine(l.key);
            m.zone = l.zone;
            m.kind = l.kind;
            m.cell = l.cell;
            m.freeCores = l.freeCores;
            m.freeMemory = l.freeMemory;
            logic.listed(m, l.listing, l.startedAt);
        }
        logic.listEnds();
    }

    /** A load report that came with what the module is told next. */
    public void report(Machine m, double spareCores, double spareMemory, double busy, Duration now) {
        m.spareCores = spareCores;
        m.spareMemory = spareMemory;
        m.busy = busy;
        m.reportedAt = now;
    }
}
