package fordridge.model;

import java.time.Duration;

/** The VMs of one service that this scheduler has in flight or running at one machine. */
public final class HostedService {
  /** Current number of these VMs. */
  public int count;

  /** When such a VM was last added or removed. */
  public Duration lastHostedAt;
}
