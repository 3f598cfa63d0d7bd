package fordridge.server.json;

import fordridge.machine.MachineConnection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * The termination notices of one machine whose acknowledgement is withheld until a client has
 * acknowledged its own notice of the termination, or that notice is no longer kept. Should this
 * process end before that, the machine reports the termination to the next scheduler. Bounded by
 * the notices that are kept for clients. Confined to the event loop.
 */
final class MachineAcknowledgements {
  private final Predicate<String> isUndelivered;
  private final BiConsumer<MachineConnection, String> acknowledge;

  /** By VM id, the connection on which the machine has last reported the termination. */
  private final Map<String, MachineConnection> pending = new LinkedHashMap<>();

  /**
   * Creates an instance without pending acknowledgements.
   *
   * @param isUndelivered whether the termination notice of that VM is kept for a client
   * @param acknowledge sends the acknowledgement on that connection, without effect if it is closed
   */
  MachineAcknowledgements(
      Predicate<String> isUndelivered, BiConsumer<MachineConnection, String> acknowledge) {
    this.isUndelivered = isUndelivered;
    this.acknowledge = acknowledge;
  }

  /**
   * The machine has reported the termination of a VM, and the client's notice was sent or deferred.
   */
  void terminationReceived(MachineConnection connection, String vmId) {
    if (isUndelivered.test(vmId)) {
      pending.put(vmId, connection);
    } else {
      acknowledge.accept(connection, vmId);
    }
  }

  /**
   * Acknowledges the terminations whose client notices are no longer kept; to be called
   * periodically.
   */
  void sendDue() {
    for (Iterator<Map.Entry<String, MachineConnection>> entries = pending.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<String, MachineConnection> entry = entries.next();
      if (!isUndelivered.test(entry.getKey())) {
        entries.remove();
        acknowledge.accept(entry.getValue(), entry.getKey());
      }
    }
  }
}
