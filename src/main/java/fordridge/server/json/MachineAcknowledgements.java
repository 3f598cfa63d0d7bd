package fordridge.server.json;

import fordridge.machine.MachineConnection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Terminations that one machine has notified and that are acknowledged to it once a client has
 * acknowledged the notice in turn, or the notice is kept no longer: until then the machine is to
 * say it again to whoever comes, should this process end. Bounded by the notices that are kept.
 * Confined to the event loop.
 */
final class MachineAcknowledgements {
  private final Predicate<String> isUndelivered;
  private final BiConsumer<MachineConnection, String> acknowledge;

  /** By VM, the connection on which the machine has last said it. */
  private final Map<String, MachineConnection> owed = new LinkedHashMap<>();

  /**
   * None is owed yet.
   *
   * @param isUndelivered whether the notice of that VM's end is kept for a client
   * @param acknowledge tells the machine on that connection, without effect if it is closed
   */
  MachineAcknowledgements(
      Predicate<String> isUndelivered, BiConsumer<MachineConnection, String> acknowledge) {
    this.isUndelivered = isUndelivered;
    this.acknowledge = acknowledge;
  }

  /** The machine has notified the termination of a VM, and the clients are told. */
  void terminationReceived(MachineConnection connection, String vmId) {
    if (isUndelivered.test(vmId)) {
      owed.put(vmId, connection);
    } else {
      acknowledge.accept(connection, vmId);
    }
  }

  /** Acknowledges what clients have acknowledged since; to be called periodically. */
  void sendDue() {
    for (Iterator<Map.Entry<String, MachineConnection>> entries = owed.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<String, MachineConnection> entry = entries.next();
      if (!isUndelivered.test(entry.getKey())) {
        entries.remove();
        acknowledge.accept(entry.getValue(), entry.getKey());
      }
    }
  }
}
