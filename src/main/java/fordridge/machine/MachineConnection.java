package fordridge.machine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/** One connection to a machine, as its {@link MachineConnectionPool} sees it. */
public final class MachineConnection {
  enum State {
    OPENING,
    OPEN,
    SPENT,
    CLOSED
  }

  /** What the transport keeps for this connection. */
  public Object handle;

  State state = State.OPENING;
  Duration connectBy;
  Duration lastUsedAt;
  Duration probeSentAt;
  final Map<String, PlacementRequest> placementRequests = new LinkedHashMap<>();

  boolean isIdle() {
    return placementRequests.isEmpty() && probeSentAt == null;
  }
}
