package fordridge.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * VMs that wait for capacity: grouped by shape, with the groups in order of rank and age, and also
 * ordered by the time at which each VM is due.
 */
public final class PendingQueue {
  /**
   * The properties that all VMs of a group share.
   *
   * @param tenantClass their tenant and priority class
   * @param cores requested cores
   * @param memory requested memory
   * @param service their service, 0 if it does not affect placement
   * @param boundTo the machine that the next attempt must not use, or a VM that forms a group of
   *     its own, or null
   * @param isLate whether their starts are late in any case
   */
  public record Shape(
      TenantClass tenantClass,
      double cores,
      double memory,
      long service,
      Object boundTo,
      boolean isLate) {
    /** The shape of a VM, taking tenant class and requested resources from it. */
    public static Shape of(Vm vm, long service, Object boundTo, boolean isLate) {
      return new Shape(vm.tenantClass(), vm.cores, vm.memory, service, boundTo, isLate);
    }

    // Written by hand: the generated methods of a record are linked at run time, which delays the
    // first use.
    @Override
    public boolean equals(Object other) {
      return other instanceof Shape that
          && tenantClass.equals(that.tenantClass)
          && Double.compare(cores, that.cores) == 0
          && Double.compare(memory, that.memory) == 0
          && service == that.service
          && Objects.equals(boundTo, that.boundTo)
          && isLate == that.isLate;
    }

    @Override
    public int hashCode() {
      int hash = tenantClass.hashCode();
      hash = 31 * hash + Double.hashCode(cores);
      hash = 31 * hash + Double.hashCode(memory);
      hash = 31 * hash + Long.hashCode(service);
      hash = 31 * hash + Objects.hashCode(boundTo);
      return 31 * hash + Boolean.hashCode(isLate);
    }
  }

  /** The VMs of one shape, oldest first; a group is as old as its oldest VM. */
  private static final class Group {
    private final Shape shape;
    private final int rank;
    private final Set<Vm> vms = new LinkedHashSet<>();
    private long oldestSequenceNumber;

    private Group(Shape shape, int rank) {
      this.shape = shape;
      this.rank = rank;
    }
  }

  /** The position of a VM in the queue. */
  static final class Entry {
    private final Group group;
    private final long sequenceNumber;
    private final Duration dueAt;

    private Entry(Group group, long sequenceNumber, Duration dueAt) {
      this.group = group;
      this.sequenceNumber = sequenceNumber;
      this.dueAt = dueAt;
    }
  }

  private static final Comparator<Group> BY_RANK_AND_AGE =
      Comparator.<Group>comparingInt(group -> -group.rank)
          .thenComparingLong(group -> group.oldestSequenceNumber);

  private static final Comparator<Vm> BY_DUE_TIME =
      Comparator.<Vm, Duration>comparing(vm -> vm.pendingEntry.dueAt)
          .thenComparingLong(vm -> vm.pendingEntry.sequenceNumber);

  private final Map<Shape, Group> groups = new HashMap<>();
  private final TreeSet<Group> groupsInOrder = new TreeSet<>(BY_RANK_AND_AGE);
  private final TreeSet<Vm> byDueTime = new TreeSet<>(BY_DUE_TIME);
  private long nextSequenceNumber;

  /** Whether the queue is empty. */
  public boolean isEmpty() {
    return byDueTime.isEmpty();
  }

  /** Number of VMs in the queue. */
  public int size() {
    return byDueTime.size();
  }

  /** Adds a VM that is not in the queue; all VMs of a shape must have the same rank. */
  public void add(Vm vm, int rank, Shape shape, Duration dueAt) {
    Group group = groups.computeIfAbsent(shape, key -> new Group(key, rank));
    vm.pendingEntry = new Entry(group, nextSequenceNumber++, dueAt);
    if (group.vms.isEmpty()) {
      group.oldestSequenceNumber = vm.pendingEntry.sequenceNumber;
      groupsInOrder.add(group);
    }
    group.vms.add(vm);
    byDueTime.add(vm);
  }

  /** Removes a VM if it is in the queue. */
  public void remove(Vm vm) {
    if (vm.pendingEntry == null || !byDueTime.remove(vm)) {
      return;
    }
    Group group = vm.pendingEntry.group;
    groupsInOrder.remove(group);
    group.vms.remove(vm);
    if (group.vms.isEmpty()) {
      groups.remove(group.shape);
    } else {
      group.oldestSequenceNumber = group.vms.iterator().next().pendingEntry.sequenceNumber;
      groupsInOrder.add(group);
    }
  }

  /** Removes and returns the VM that is due first; the queue must not be empty. */
  public Vm takeFirst() {
    Vm vm = byDueTime.first();
    remove(vm);
    return vm;
  }

  /**
   * Removes the VMs that are due, in the order in which they became due, and passes each to {@code
   * action}, which may add it again.
   */
  public void takeAllDue(Duration now, Consumer<Vm> action) {
    while (!byDueTime.isEmpty() && byDueTime.first().pendingEntry.dueAt.compareTo(now) <= 0) {
      action.accept(takeFirst());
    }
  }

  /**
   * Returns the oldest VM of the group that follows, by rank and then age, the position of the
   * given VM, or of the first group if the VM is null; null if there is none. If that VM has been
   * removed, its group now has the position of its next oldest VM and so is visited again.
   */
  public Vm next(Vm vm) {
    Group group;
    if (vm == null) {
      group = groupsInOrder.isEmpty() ? null : groupsInOrder.first();
    } else {
      Group lowerBound = new Group(null, vm.pendingEntry.group.rank);
      lowerBound.oldestSequenceNumber = vm.pendingEntry.sequenceNumber;
      group = groupsInOrder.higher(lowerBound);
    }
    return group == null ? null : group.vms.iterator().next();
  }
}
