package fordridge.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** One machine as this placer knows it. */
public final class Machine {
  public enum Lifecycle {
    LIVE,
    DRAINING,
    GONE
  }

  /** What the placer holds of one service on a machine. */
  public static final class HostedService {
    public int held;
    public Duration lastHeld;
  }

  /** How long VMs of one customer and flavour stay away after refusals without a reason. */
  public static final class RejectionBackoff {
    public Duration span = Duration.ZERO;
    public Duration until = Duration.ZERO;

    /** When it last took one. */
    public Duration tookAt;
  }

  /** Own claims at full ask, oldest first, with their sums. */
  public static final class ReservationLedger {
    public final Deque<PlacementAttempt> attempts = new ArrayDeque<>();
    public double cores;
    public double memory;

    public void add(PlacementAttempt c) {
      attempts.addLast(c);
      cores += c.vm.cores;
      memory += c.vm.memory;
    }

    public void remove(PlacementAttempt c) {
      if (attempts.remove(c)) {
        cores -= c.vm.cores;
        memory -= c.vm.memory;
      }
    }
  }

  public final long id;

  // As the list tells it.
  public Lifecycle lifecycle = Lifecycle.GONE;
  public String zone = "";
  public String kind = "";
  public int cell;
  public double cores;
  public double memory;
  public double freeCores;
  public double freeMemory;
  public Duration startedAt;
  public Duration listedAt;

  /** A list has named it. */
  public boolean isListed;

  // As its last report tells it; NaN where not told.
  public double spareCores = Double.NaN;
  public double spareMemory = Double.NaN;
  public double utilization = Double.NaN;
  public Duration reportedAt;
  public Duration probedAt;
  public boolean probing;

  /** When any placer last told the others its report, as far as heard. */
  public Duration gossipedAt;

  // What this placer did there.
  /** Own claims that the list's free room may not include yet. */
  public final ReservationLedger reservedSinceList = new ReservationLedger();

  /** Own claims whose use the reports may not include yet. */
  public final ReservationLedger reservedSinceReport = new ReservationLedger();

  /** Claims without an answer, oldest first. */
  public final Set<PlacementAttempt> unansweredAttempts = new LinkedHashSet<>();

  /** When offers were sent while it was recently started. */
  public final Deque<Duration> slowStartAttempts = new ArrayDeque<>();

  public final Set<PlacementAttempt> hostedAttempts = new LinkedHashSet<>();
  public final Map<Long, HostedService> programs = new HashMap<>();
  public Duration ejectedUntil = Duration.ZERO;
  public final Map<TenantClass, RejectionBackoff> refusals = new HashMap<>();
  public Duration lastAttemptAt;

  /** Room found for the VM that is being placed. */
  public double room;

  /** Where it stands for the service of that VM. */
  public long rank;

  public double faultScore;
  public Duration faultScoreAt = Duration.ZERO;

  public Machine(long id) {
    this.id = id;
  }
}
