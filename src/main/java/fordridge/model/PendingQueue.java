package fordridge.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * VMs held for want of room: in groups, by rank and age, and by the time at which each is given up.
 */
public final class PendingQueue {
  /** VMs of one shape, oldest first; where it stands among the groups goes by its oldest. */
  static final class Group {
    private final Object shape;
    private final int rank;
    private final Set<Vm> vms = new LinkedHashSet<>();
    private long age;

    private Group(Object shape, int rank) {
      this.shape = shape;
      this.rank = rank;
    }
  }

  private static final Comparator<Group> ORDER =
      Comparator.<Group>comparingInt(g -> -g.rank).thenComparingLong(g -> g.age);

  private final Map<Object, Group> groups = new HashMap<>();
  private final TreeSet<Group> order = new TreeSet<>(ORDER);
  private final TreeSet<Vm> dues =
      new TreeSet<>(
          Comparator.<Vm, Duration>comparing(v -> v.giveUpAt).thenComparing(v -> v.heldAs));
  private long added;
  private int size;

  public boolean isEmpty() {
    return size == 0;
  }

  public int size() {
    return size;
  }

  public void add(Vm vm, int rank, Object shape, Duration giveUpAt) {
    Group g = groups.computeIfAbsent(shape, s -> new Group(s, rank));
    vm.heldIn = g;
    vm.heldAs = added++;
    vm.heldRank = rank;
    vm.giveUpAt = giveUpAt;
    if (g.vms.isEmpty()) {
      g.age = vm.heldAs;
      order.add(g);
    }
    g.vms.add(vm);
    dues.add(vm);
    size++;
  }

  /** Takes it out, if it is held. */
  public void remove(Vm vm) {
    Group g = vm.heldIn;
    if (g == null) {
      return;
    }
    order.remove(g);
    g.vms.remove(vm);
    vm.heldIn = null;
    dues.remove(vm);
    size--;
    if (g.vms.isEmpty()) {
      groups.remove(g.shape);
    } else {
      g.age = g.vms.iterator().next().heldAs;
      order.add(g);
    }
  }

  public Vm takeFirst() {
    Vm vm = dues.first();
    remove(vm);
    return vm;
  }

  /** Takes out the next that is due to be given up, or null. */
  public Vm due(Duration now) {
    Vm vm = dues.isEmpty() ? null : dues.first();
    if (vm == null || vm.giveUpAt.compareTo(now) > 0) {
      return null;
    }
    remove(vm);
    return vm;
  }

  /**
   * The oldest of the group that comes after the one this VM was held in (null: of the first); by
   * rank, then age. A group whose VM was taken out meanwhile comes again where its next oldest
   * stands.
   */
  public Vm after(Vm vm) {
    Group at = new Group(null, vm == null ? 0 : vm.heldRank);
    at.age = vm == null ? -1 : vm.heldAs;
    Group g = vm == null ? (order.isEmpty() ? null : order.first()) : order.higher(at);
    return g == null ? null : g.vms.iterator().next();
  }
}
