package fordridge.group;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * VMs that go together: all of them bound, or none. Free of I/O, threads and clocks.
 *
 * <p>Members are held back until all are here and it is known that they can go together. Then each
 * is placed as any other, but its owner does not hear that it is bound until every one is. The
 * first that cannot be bound ends the group: what is bound is stopped, latest first, what is still
 * under way is called off, and each is answered at once by what became of it: denied where it never
 * ran or may run again, errored else. A member that ends before the others are bound ends the group
 * too.
 */
public final class VmGroup {
  /** What a group does to its members. */
  public interface Actions {
    /**
     * All are here; {@link #go} or {@link #gaveUp} follows when it is known whether they can go
     * together.
     */
    void whole(List<String> members);

    /** Place it now. */
    void place(String vm);

    /** All are bound: its owner may hear of it. */
    void tellBound(String vm);

    /** Stop a bound one; it is answered already. */
    void stop(String vm);

    /** Call off one that is not bound; {@link #denied} or {@link #errored} follows. */
    void callOff(String vm);

    /** Its one answer. */
    void deny(String vm, String why);

    void error(String vm, String why);
  }

  private enum Stage {
    HERE,
    OUT,
    BOUND,
    DONE
  }

  private static final class Member {
    final boolean mayRepeat;
    Stage stage = Stage.HERE;

    Member(boolean mayRepeat) {
      this.mayRepeat = mayRepeat;
    }
  }

  private final String name;
  private final int size;
  private final Actions acts;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final List<String> boundOrder = new ArrayList<>();
  private String failed;
  private boolean told;

  public VmGroup(String name, int size, Actions acts) {
    this.name = name;
    this.size = size;
    this.acts = acts;
  }

  /** False if the group is over, or full: the VM is no part of it. */
  public boolean joins(String vm, boolean mayRepeat) {
    if (failed != null || members.size() >= size || members.containsKey(vm)) {
      return false;
    }
    members.put(vm, new Member(mayRepeat));
    if (members.size() == size) {
      acts.whole(List.copyOf(members.keySet()));
    }
    return true;
  }

  /** They may all go, best in this order. */
  public void go(List<String> order) {
    for (String vm : order) {
      // One may have ended the group while the ones before it were placed.
      if (failed == null && members.get(vm).stage == Stage.HERE) {
        members.get(vm).stage = Stage.OUT;
        acts.place(vm);
      }
    }
  }

  public boolean complete() {
    return members.size() == size;
  }

  /** Whether it still has something to do. */
  public boolean over() {
    return told || failed != null && members.values().stream().allMatch(m -> m.stage == Stage.DONE);
  }

  /** A member runs. */
  public void bound(String vm) {
    Member m = members.get(vm);
    if (m == null || m.stage == Stage.BOUND) {
      return;
    }
    if (failed != null) {
      acts.stop(vm);
      finish(vm, true, failed);
      return;
    }
    m.stage = Stage.BOUND;
    boundOrder.add(vm);
    if (boundOrder.size() == size) {
      told = true;
      members.keySet().forEach(acts::tellBound);
    }
  }

  /** The module answers a member no: it never ran, or asking again does no harm. */
  public void denied(String vm, String why) {
    finish(vm, false, why);
  }

  /** The module answers that a member may have run. */
  public void errored(String vm, String why) {
    finish(vm, true, why);
  }

  private void finish(String vm, boolean ran, String why) {
    Member m = members.get(vm);
    if (m == null || m.stage == Stage.DONE) {
      return;
    }
    m.stage = Stage.DONE;
    answer(vm, m, ran, failed == null ? why : failed);
    fail("group '" + name + "' could not be placed whole: " + vm + ": " + why);
  }

  /**
   * A bound member is no more; true if the group keeps it from its owner, who was never told that
   * it was bound.
   */
  public boolean ended(String vm) {
    if (told) {
      return false;
    }
    Member m = members.get(vm);
    if (m != null && m.stage != Stage.DONE) {
      m.stage = Stage.DONE;
      answer(vm, m, true, failed == null ? "it ended before its group was whole" : failed);
      fail(
          "group '" + name + "' could not be placed whole: " + vm + " ended before all were bound");
    }
    return true;
  }

  /** Its owner no longer wants a member: the rest cannot go together without it. */
  public void left(String vm) {
    Member m = members.get(vm);
    if (!told && m != null && m.stage != Stage.DONE) {
      m.stage = Stage.DONE;
      fail("group '" + name + "' could not be placed whole: " + vm + " is no longer wanted");
    }
  }

  /**
   * When a group that is not whole is given up: what is left of its first member's time then covers
   * the taking back.
   */
  public static Duration gaveUpAfter(Duration left) {
    return left.multipliedBy(15).dividedBy(16);
  }

  /** Not all came in time, or the group asks for what no machine has. */
  public void gaveUp(String why) {
    if (!told) {
      fail("group '" + name + "' could not be placed whole: " + why);
    }
  }

  private void answer(String vm, Member m, boolean ran, String why) {
    if (ran && !m.mayRepeat) {
      acts.error(vm, why);
    } else {
      acts.deny(vm, why);
    }
  }

  private void fail(String why) {
    if (failed != null) {
      return;
    }
    failed = why;
    for (int i = boundOrder.size() - 1; i >= 0; i--) {
      String vm = boundOrder.get(i);
      Member m = members.get(vm);
      if (m.stage == Stage.BOUND) {
        m.stage = Stage.DONE;
        acts.stop(vm);
        answer(vm, m, true, why);
      }
    }
    for (Map.Entry<String, Member> e : members.entrySet()) {
      Member m = e.getValue();
      if (m.stage == Stage.HERE) {
        m.stage = Stage.DONE;
        answer(e.getKey(), m, false, why);
      } else if (m.stage == Stage.OUT) {
        acts.callOff(e.getKey());
      }
    }
  }
}
