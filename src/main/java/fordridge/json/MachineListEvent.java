package fordridge.json;

import fordridge.json.JsonFields.MalformedInputException;
import fordridge.model.Machine;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One event of the machine list: a complete list, or the machines that changed.
 *
 * @param isComplete whether machines that are not in this event have left the cluster
 */
public record MachineListEvent(boolean isComplete, List<MachineEntry> machines) {
  private static final String MACHINES_PATH = "hosts.members";

  /**
   * A machine in the list.
   *
   * @param address null if the event has none; an address from an earlier event then still applies
   * @param freeCores free cores according to the list, 0 if not given
   * @param freeMemory free memory according to the list, 0 if not given
   * @param startedAtEpochMillis when the machine's process started, 0 if not known
   */
  public record MachineEntry(
      String id,
      InetSocketAddress address,
      String zone,
      String kind,
      int cell,
      double freeCores,
      double freeMemory,
      Machine.Lifecycle lifecycle,
      long startedAtEpochMillis) {}

  /** Reads an event from parsed JSON. */
  public static MachineListEvent read(Map<String, Object> hosts) {
    boolean isComplete = JsonFields.bool(hosts, "complete", "hosts");
    List<Object> members = JsonFields.list(hosts, "members", "hosts");
    List<MachineEntry> machines = new ArrayList<>(members.size());
    for (Object member : members) {
      machines.add(readEntry(JsonFields.object(member, MACHINES_PATH)));
    }
    return new MachineListEvent(isComplete, machines);
  }

  private static MachineEntry readEntry(Map<String, Object> member) {
    List<?> free = member.get("unasked") instanceof List<?> amounts ? amounts : List.of();
    return new MachineEntry(
        JsonFields.text(member, "id", MACHINES_PATH),
        member.get("host_port") instanceof String address ? SocketAddresses.parse(address) : null,
        JsonFields.text(member, "locality", MACHINES_PATH, ""),
        JsonFields.text(member, "flavor", MACHINES_PATH, ""),
        (int) JsonFields.wholeNumber(member, "cell", MACHINES_PATH, 0),
        amount(free, 0),
        amount(free, 1),
        lifecycle(JsonFields.text(member, "phase", MACHINES_PATH)),
        JsonFields.wholeNumber(member, "up_since_ms", MACHINES_PATH, 0));
  }

  private static double amount(List<?> amounts, int index) {
    return amounts.size() > index && amounts.get(index) instanceof Number number
        ? number.doubleValue()
        : 0;
  }

  private static Machine.Lifecycle lifecycle(String phase) {
    return switch (phase) {
      case "SERVING" -> Machine.Lifecycle.LIVE;
      case "DRAINING" -> Machine.Lifecycle.DRAINING;
      case "DELETED" -> Machine.Lifecycle.GONE;
      default ->
          throw MalformedInputException.unexpected(
              MACHINES_PATH, "phase", "one of SERVING, DRAINING, DELETED", phase);
    };
  }
}
