package fordridge.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What one instance knows for as long as it lives. */
public final class SchedulerState {
  public Duration now = Duration.ZERO;

  /** When this life of it began. */
  public Duration startedAt = Duration.ZERO;

  public SeededRandom chance = new SeededRandom(0);

  /** What was read at start. */
  public SchedulerSettings settings;

  /** How many placers share the cluster, this one among them. */
  public double placers = 1;

  /** Machines in the order in which the list first named them. */
  public final List<Machine> machines = new ArrayList<>();

  /** Machines by their names in notes; null where two bear one. */
  public final Map<String, Machine> byName = new HashMap<>();

  /**
   * How long a machine's report stands before the next is told to the other placers; null: none is
   * told.
   */
  public Duration tellEvery;

  /** Machines that hold VMs of a service, by service. */
  public final Map<Long, Set<Machine>> hosts = new HashMap<>();

  /** Machines with claims in their books. */
  public final Set<Machine> booked = new LinkedHashSet<>();

  /** VMs taken and neither placed, out on a claim, nor answered. */
  public final PendingQueue held = new PendingQueue();

  /** VMs that found no room since anything could have grown it. */
  public final List<Vm> without = new ArrayList<>();

  /** VMs not tried yet since they came or their last claim ended. */
  public final Deque<Vm> untried = new ArrayDeque<>();

  public long arrivals;
  public long probes;

  /** When VMs of a customer and flavour were last refused without a reason. */
  public final Map<TenantClass, Duration> refusedAt = new HashMap<>();

  public Duration probeAt = Duration.ZERO;
  public Duration wakeAt;

  /** Room may have grown since the held VMs were last gone through. */
  public boolean lookAgain;

  public Duration lookedAt;

  /** Told to stop: nothing more is placed. */
  public boolean stopping;

  // The list of machines.
  public boolean following;
  public boolean asked;
  public Duration heardListAt = Duration.ZERO;
  public Duration askListAt = Duration.ZERO;
}
