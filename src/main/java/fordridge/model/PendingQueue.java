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
 * VMs that wait for capacity: in groups of one shape, ordered by rank and age, and by the time at
 * which each is due.
 */
public final class PendingQueue {
  /**
   * What VMs of one group have in common.
   *
   * @param tenantClass their tenant and priority class
   * @param cores cores that they request
   * @param memory memory that they request
   * @param service their service, 0 where any will do
   * @param boundTo an earlier machine, or a VM that is a group of its own, or null
   * @param isLate whether their starts come late in any case
   */
  public record Shape(
      TenantClass tenantClass,
      double cores,
      double memory,
      long service,
      Object boundTo,
      boolean isLate) {
    /** The shape of a VM by what it requests. */
    public static Shape of(Vm vm, long service, Object boundTo, boolean isLate) {
      return new Shape(vm.tenantClass(), vm.cores, vm.memory, service, boundTo, isLate);
    }

    // Written out, as the generated methods are linked at run time, which delays the first use.
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

  /** VMs of one shape, oldest first; its age is that of the oldest. */
  private static final class Group {
    private final Shape shape;
    private final int rank;
    private final Set<Vm> vms = new LinkedHashSet<>();
    private long age;

    private Group(Shape shape, int rank) {
      this.shape = shape;
      this.rank = rank;
    }
  }

  /** Where a VM is in the queue. */
  static final class Entry {
    private final Group group;
    private final long number;
    private final Duration dueAt;

    private Entry(Group group, long number, Duration dueAt) {
      this.group = group;
      this.number = number;
      this.dueAt = dueAt;
    }
  }

  private static final Comparator<Group> BY_RANK_AND_AGE =
      Comparator.<Group>comparingInt(group -> -group.rank).thenComparingLong(group -> group.age);

  private static final Comparator<Vm> BY_DUE_TIME =
      Comparator.<Vm, Duration>comparing(vm -> vm.pendingEntry.dueAt)
          .thenComparingLong(vm -> vm.pendingEntry.number);

  private final Map<Shape, Group> groups = new HashMap<>();
  private final TreeSet<Group> order = new TreeSet<>(BY_RANK_AND_AGE);
  private final TreeSet<Vm> byDueTime = new TreeSet<>(BY_DUE_TIME);
  private long added;

  /** Whether no VM waits. */
  public boolean isEmpty() {
    return byDueTime.isEmpty();
  }

  /** How many VMs wait. */
  public int size() {
    return byDueTime.size();
  }

  /** Adds a VM that is not in the queue; VMs of one shape must have one rank. */
  public void add(Vm vm, int rank, Shape shape, Duration dueAt) {
    Group group = groups.computeIfAbsent(shape, key -> new Group(key, rank));
    vm.pendingEntry = new Entry(group, added++, dueAt);
    if (group.vms.isEmpty()) {
      group.age = vm.pendingEntry.number;
      order.add(group);
    }
    group.vms.add(vm);
    byDueTime.add(vm);
  }

  /** Takes a VM out, if it is in the queue. */
  public void remove(Vm vm) {
    if (vm.pendingEntry == null || !byDueTime.remove(vm)) {
      return;
    }
    Group group = vm.pendingEntry.group;
    order.remove(group);
    group.vms.remove(vm);
    if (group.vms.isEmpty()) {
      groups.remove(group.shape);
    } else {
      group.age = group.vms.iterator().next().pendingEntry.number;
      order.add(group);
    }
  }

  /** Takes out the VM that is due first; the queue must not be empty. */
  public Vm takeFirst() {
    Vm vm = byDueTime.first();
    remove(vm);
    return vm;
  }

  /** Takes out VMs that are due, the first first; {@code action} may add them again. */
  public void takeAllDue(Duration now, Consumer<Vm> action) {
    while (!byDueTime.isEmpty() && byDueTime.first().pendingEntry.dueAt.compareTo(now) <= 0) {
      action.accept(takeFirst());
    }
  }

  /**
   * The oldest VM of the group that comes, by rank and then age, after the one that this VM was in;
   * of the first group for null. A group whose VM was taken out meanwhile comes again in the place
   * of its next oldest.
   */
  public Vm next(Vm vm) {
    Group group;
    if (vm == null) {
      group = order.isEmpty() ? null : order.first();
    } else {
      Group position = new Group(null, vm.pendingEntry.group.rank);
      position.age = vm.pendingEntry.number;
      group = order.higher(position);
    }
    return group == null ? null : group.vms.iterator().next();
  }
}
