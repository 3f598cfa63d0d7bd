package fordridge.group;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class VmGroupTest {
  /** Machines that do as told, later; answers are counted. */
  private static final class World implements VmGroup.Actions {
    final VmGroup group;
    final Map<String, Boolean> mayRepeat = new HashMap<>();
    final Set<String> out = new HashSet<>();
    final Set<String> running = new HashSet<>();
    final Set<String> ran = new HashSet<>();
    final Map<String, String> answers = new HashMap<>();
    final List<String> acts = new ArrayList<>();
    final Deque<Runnable> later = new ArrayDeque<>();

    World(int size) {
      group = new VmGroup("g", size, this);
    }

    void join(String vm, boolean again) {
      mayRepeat.put(vm, again);
      group.joins(vm, again);
    }

    void starts(String vm) {
      if (out.remove(vm)) {
        running.add(vm);
        ran.add(vm);
        group.bound(vm);
      }
    }

    void answer(String vm, String what) {
      assertThat(answers.put(vm, what)).as("a second answer for " + vm).isNull();
    }

    void settle() {
      while (!later.isEmpty()) {
        later.poll().run();
      }
    }

    @Override
    public void whole(List<String> members) {
      group.go(members);
    }

    @Override
    public void place(String vm) {
      out.add(vm);
    }

    @Override
    public void tellBound(String vm) {
      assertThat(running).as("told bound").contains(vm);
      answer(vm, "bound");
    }

    @Override
    public void stop(String vm) {
      acts.add("stop " + vm);
      later.add(
          () -> {
            if (running.remove(vm)) {
              assertThat(group.ended(vm)).as("its owner was never told that it was bound").isTrue();
            }
          });
    }

    @Override
    public void callOff(String vm) {
      acts.add("call off " + vm);
      later.add(
          () -> {
            if (out.remove(vm)) {
              group.denied(vm, "called off");
            }
          });
    }

    @Override
    public void deny(String vm, String why) {
      assertThat(ran.contains(vm) && !mayRepeat.get(vm)).as("denied though it ran").isFalse();
      answer(vm, "denied");
    }

    @Override
    public void error(String vm, String why) {
      answer(vm, "errored");
    }
  }

  @Example
  void nobodyHearsBeforeAllAreBound() {
    World w = new World(3);
    w.join("a", true);
    w.join("b", true);
    assertThat(w.out).as("held back till all are here").isEmpty();
    w.join("c", false);
    w.starts("a");
    w.starts("c");
    assertThat(w.answers).isEmpty();
    w.starts("b");
    assertThat(w.answers.values()).containsExactly("bound", "bound", "bound");
    assertThat(w.group.over()).isTrue();
  }

  @Example
  void oneThatFindsNoPlaceTakesBackTheRestLatestFirst() {
    World w = new World(4);
    for (String vm : List.of("a", "b", "c", "d")) {
      w.join(vm, !vm.equals("b"));
    }
    w.starts("a");
    w.starts("b");
    w.out.remove("c");
    w.group.denied("c", "no room");
    assertThat(w.acts).containsExactly("stop b", "stop a", "call off d");
    w.settle();
    assertThat(w.answers)
        .containsEntry("a", "denied")
        .containsEntry("b", "errored")
        .containsEntry("c", "denied")
        .containsEntry("d", "denied");
    assertThat(w.running).isEmpty();
  }

  @Example
  void aGroupThatIsNeverWholeIsDenied() {
    World w = new World(3);
    w.join("a", false);
    w.join("b", false);
    w.group.gaveUp("one did not come");
    assertThat(w.answers.values()).containsExactly("denied", "denied");
    assertThat(w.group.joins("c", true)).isFalse();
  }

  /**
   * Any order of starts, refusals, deaths and leavings: each one answer, and all bound or none
   * running.
   */
  @Property(tries = 600, seed = "4242")
  void allOrNone(@ForAll long seed) {
    Random r = new Random(seed);
    World w = new World(1 + r.nextInt(5));
    List<String> vms = new ArrayList<>();
    Set<String> left = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      String vm = vms.isEmpty() ? "" : vms.get(r.nextInt(vms.size()));
      switch (r.nextInt(8)) {
        case 0, 1 -> {
          vms.add("v" + vms.size());
          w.mayRepeat.put("v" + (vms.size() - 1), r.nextBoolean());
          if (!w.group.joins("v" + (vms.size() - 1), w.mayRepeat.get("v" + (vms.size() - 1)))) {
            vms.remove(vms.size() - 1);
          }
        }
        case 2, 3 -> w.starts(vm);
        case 4 -> {
          if (r.nextInt(4) == 0 && w.out.remove(vm)) {
            w.group.denied(vm, "no room");
          }
        }
        case 5 -> {
          if (r.nextInt(6) == 0 && w.running.remove(vm)) {
            w.group.ended(vm);
          }
        }
        case 6 -> {
          if (r.nextInt(6) == 0 && w.out.remove(vm)) {
            w.ran.add(vm);
            w.group.errored(vm, "its answer was lost");
          }
        }
        default -> {
          if (!w.later.isEmpty()) {
            w.later.poll().run();
          }
        }
      }
    }
    w.group.gaveUp("time is up");
    w.settle();
    boolean whole = w.answers.containsValue("bound");
    for (String vm : vms) {
      assertThat(w.answers).as("no answer for " + vm).containsKey(vm);
      assertThat(w.answers.get(vm).equals("bound")).as("half placed").isEqualTo(whole);
    }
    if (!whole) {
      assertThat(w.running).as("left running").isEmpty();
    }
  }
}
