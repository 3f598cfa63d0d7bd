package fordridge.model;

import java.time.Duration;

/** VMs of one service that this scheduler has at one machine, in flight or running. */
public final class HostedService {
  /** How many there are now. */
  public int count;

  /** When the last of them came or went. */
  public Duration lastHostedAt;
}
