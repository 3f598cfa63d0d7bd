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

/** Groups that change or end while their plans are being computed. */
class GroupCoordinatorTest {
  private static final GroupCoordinator.GroupId GROUP = new GroupCoordinator.GroupId("c", "g");

  private final Deque<Consumer<GroupPlan>> pendingPlans = new ArrayDeque<>();
  private final List<String> actions = new ArrayList<>();
  private final GroupCoordinator groups =
      new GroupCoordinator(
          new GroupCoordinator.Actions() {
            @Override
            public void plan(List<Vm> members, Consumer<GroupPlan> listener) {
              pendingPlans.add(listener);
            }

            @Override
            public void schedule(Vm vm) {
              actions.add("place " + vm.id);
            }

            @Override
            public void respond(Vm vm, ClientResponse response) {
              actions.add(response.kind() + " " + vm.id);
            }

            @Override
            public void stop(Vm vm) {
              actions.add("stop " + vm.id);
            }

            @Override
            public boolean cancel(Vm vm) {
              return false;
            }

            @Override
            public void forget(Vm vm) {
              groups().remove(vm);
            }

            @Override
            public String requestName(Vm vm) {
              return vm.id;
            }
          });

  private GroupCoordinator groups() {
    return groups;
  }

  private Vm join(String id) {
    Vm vm = new Vm(id);
    assertThat(groups.join(vm, GROUP, 2, false)).isEmpty();
    return vm;
  }

  @Example
  void outdatedPlanIsRecomputed() {
    join("a");
    join("b");
    groups.discardPlans();
    pendingPlans.remove().accept(GroupPlan.withoutRestrictions(List.of("a", "b")));
    assertThat(actions).isEmpty();
    pendingPlans.remove().accept(GroupPlan.withoutRestrictions(List.of("b", "a")));
    assertThat(actions).containsExactly("place b", "place a");
  }

  @Example
  void planOfEndedGroupIsNotUsedForNewGroupOfSameName() {
    Vm a = join("a");
    Vm b = join("b");
    groups.formationTimedOut(a);
    assertThat(actions).containsExactly("REJECTED a", "REJECTED b");
    assertThat(groups.isMember(b)).isFalse();
    join("a");
    Consumer<GroupPlan> outdatedPlan = pendingPlans.remove();
    outdatedPlan.accept(GroupPlan.withoutRestrictions(List.of("a", "b")));
    assertThat(actions).as("the ended group's plan places no member of the new group").hasSize(2);
  }
}
