package fordridge.emulator;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/**
 * Writes the machine list to the emulated etcd: one record for each machine that is not gone, and
 * one for each machine that is draining. Only changed records are written, all at one revision.
 */
final class EtcdMachineListWriter implements MachineListWriter {
  private static final String DRAIN_RECORD = "{\"v\":2}";

  private final EmulatedEtcd etcd;
  private final String prefix;
  private final Map<String, String> published = new HashMap<>();

  EtcdMachineListWriter(EmulatedEtcd etcd, String prefix) {
    this.etcd = etcd;
    this.prefix = prefix;
  }

  @Override
  public void write(
      Collection<RegisteredMachine> machines, Runnable beforeVisible, Runnable afterVisible) {
    Map<String, String> changes = new LinkedHashMap<>();
    for (RegisteredMachine registered : machines) {
      String name = registered.machine().name();
      boolean isGone = registered.isIn(RegisteredMachine.State.GONE);
      boolean isDraining = registered.isIn(RegisteredMachine.State.DRAINING);
      addIfChanged(
          changes, prefix + "/machines/" + name, isGone ? null : machineRecord(registered));
      addIfChanged(changes, prefix + "/drains/" + name, isDraining ? DRAIN_RECORD : null);
    }
    beforeVisible.run();
    if (!changes.isEmpty()) {
      etcd.putAll(changes);
    }
    afterVisible.run();
  }

  /** Adds a record to the changes if it differs from the published one; null deletes it. */
  private void addIfChanged(Map<String, String> changes, String key, String value) {
    if (!Objects.equals(published.put(key, value), value)) {
      changes.put(key, value);
    }
  }

  private static String machineRecord(RegisteredMachine registered) {
    EmulatedMachine machine = registered.machine();
    return String.format(
        Locale.ROOT,
        "{\"v\":2,\"address\":\"127.0.0.1:%d\",\"kind\":\"%s\",\"zone\":\"%s\",\"cell\":%d,"
            + "\"cores\":%.1f,\"memory\":%.1f,\"free_cores\":%.1f,\"free_memory\":%.1f%s}",
        machine.port(),
        machine.spec().labels().kind(),
        machine.spec().labels().zone(),
        machine.spec().labels().cell(),
        machine.spec().capacity().cores(),
        machine.spec().capacity().memory(),
        registered.freeCores(),
        registered.freeMemory(),
        registered.startedAt().map(at -> ",\"started\":\"" + at + "\"").orElse(""));
  }
}
