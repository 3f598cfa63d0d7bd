package fordridge.server.grpc;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.constraint.GroupPlan;
import fordridge.model.Vm;
import fordridge.session.ClientResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/** What happens between a group being whole and its plan being known. */
class GroupPlacementTest {
  private final Deque<Consumer<GroupPlan>> thinking = new ArrayDeque<>();
  private final List<String> done = new ArrayList<>();
  private final GroupCoordinator groups =
      new GroupCoordinator(
          new GroupCoordinator.Actions() {
            @Override
            public void plan(List<Vm> members, Consumer<GroupPlan> then) {
              thinking.add(then);
            }

            @Override
            public void arrive(Vm vm) {
              done.add("place " + vm.id);
            }

            @Override
            public void say(Vm vm, ClientResponse answer) {
              done.add(answer.kind() + " " + vm.id);
            }

            @Override
            public void stop(Vm vm) {
              done.add("stop " + vm.id);
            }

            @Override
            public boolean callOff(Vm vm) {
              return false;
            }

            @Override
            public void forget(Vm vm) {
              groups().drop(vm);
            }

            @Override
            public String owned(Vm vm) {
              return vm.id;
            }
          });

  private GroupCoordinator groups() {
    return groups;
  }

  private Vm join(String id) {
    Vm vm = new Vm(id);
    assertThat(groups.join(vm, "c", "g", 2, false)).isNull();
    return vm;
  }

  @Example
  void aChangeWhileItIsThoughtAboutHasItThoughtAboutAnew() {
    join("a");
    join("b");
    groups.letGoOfPlans();
    thinking.remove().accept(GroupPlan.unconstrained(List.of("a", "b")));
    assertThat(done).isEmpty();
    thinking.remove().accept(GroupPlan.unconstrained(List.of("b", "a")));
    assertThat(done).containsExactly("place b", "place a");
  }

  @Example
  void aGroupThatEndedMeanwhileStaysEnded() {
    Vm a = join("a");
    Vm b = join("b");
    groups.due(a);
    assertThat(done).containsExactly("DENIED a", "DENIED b");
    assertThat(groups.of(b)).isNull();
    join("a");
    Consumer<GroupPlan> old = thinking.remove();
    old.accept(GroupPlan.unconstrained(List.of("a", "b")));
    assertThat(done).as("its name was used again: the old plan is not the new group's").hasSize(2);
  }
}
