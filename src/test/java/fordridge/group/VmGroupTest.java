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
  /**
   * A cluster that stops and cancels only on demand; checks that each member gets only one final
   * response.
   */
  private static final class FakeCluster implements VmGroup.MemberActions {
    final VmGroup group;
    final Map<String, Boolean> isIdempotentByVm = new HashMap<>();
    final Set<String> placing = new HashSet<>();
    final Set<String> running = new HashSet<>();
    final Set<String> mayHaveRun = new HashSet<>();
    final Map<String, String> responses = new HashMap<>();
    final List<String> actions = new ArrayList<>();
    final Deque<Runnable> pendingActions = new ArrayDeque<>();

    FakeCluster(int size) {
      group = new VmGroup("g", size, this);
    }

    void request(String vm, boolean isIdempotent) {
      isIdempotentByVm.put(vm, isIdempotent);
      group.memberJoined(vm, isIdempotent);
    }

    void accept(String vm) {
      if (placing.remove(vm)) {
        running.add(vm);
        mayHaveRun.add(vm);
        group.memberAccepted(vm);
      }
    }

    void respond(String vm, String response) {
      assertThat(responses.put(vm, response)).as("a second final response for " + vm).isNull();
    }

    void runPendingActions() {
      while (!pendingActions.isEmpty()) {
        pendingActions.poll().run();
      }
    }

    @Override
    public void allMembersJoined(List<String> members) {
      group.planFound(members);
    }

    @Override
    public void place(String vm) {
      placing.add(vm);
    }

    @Override
    public void reportAccepted(String vm) {
      assertThat(running).as("reported as accepted").contains(vm);
      respond(vm, "accepted");
    }

    @Override
    public void stop(String vm) {
      actions.add("stop " + vm);
      pendingActions.add(
          () -> {
            if (running.remove(vm)) {
              assertThat(group.memberTerminated(vm))
                  .as("its client was never notified of the acceptance")
                  .isTrue();
            }
          });
    }

    @Override
    public void cancel(String vm) {
      actions.add("cancel " + vm);
      pendingActions.add(
          () -> {
            if (placing.remove(vm)) {
              group.memberRejected(vm, "cancelled");
            }
          });
    }

    @Override
    public void reject(String vm, String why) {
      assertThat(mayHaveRun.contains(vm) && !isIdempotentByVm.get(vm))
          .as("rejected though it ran")
          .isFalse();
      respond(vm, "rejected");
    }

    @Override
    public void fail(String vm, String why) {
      respond(vm, "failed");
    }
  }

  @Example
  void acceptancesAreReportedOnlyOnceAllMembersAreAccepted() {
    FakeCluster cluster = new FakeCluster(3);
    cluster.request("a", true);
    cluster.request("b", true);
    assertThat(cluster.placing).as("held back until all members are requested").isEmpty();
    cluster.request("c", false);
    cluster.accept("a");
    cluster.accept("c");
    assertThat(cluster.responses).isEmpty();
    cluster.accept("b");
    assertThat(cluster.responses.values()).containsExactly("accepted", "accepted", "accepted");
    assertThat(cluster.group.isOver()).isTrue();
  }

  @Example
  void aRejectedMemberStopsTheAcceptedOnesLatestFirstAndCancelsTheRest() {
    FakeCluster cluster = new FakeCluster(4);
    for (String vm : List.of("a", "b", "c", "d")) {
      cluster.request(vm, !vm.equals("b"));
    }
    cluster.accept("a");
    cluster.accept("b");
    cluster.placing.remove("c");
    cluster.group.memberRejected("c", "no room");
    assertThat(cluster.actions).containsExactly("stop b", "stop a", "cancel d");
    cluster.runPendingActions();
    assertThat(cluster.responses)
        .containsEntry("a", "rejected")
        .containsEntry("b", "failed")
        .containsEntry("c", "rejected")
        .containsEntry("d", "rejected");
    assertThat(cluster.running).isEmpty();
  }

  @Example
  void aGroupThatNeverCompletesIsRejected() {
    FakeCluster cluster = new FakeCluster(3);
    cluster.request("a", false);
    cluster.request("b", false);
    cluster.group.abandon("one did not come");
    assertThat(cluster.responses.values()).containsExactly("rejected", "rejected");
    assertThat(cluster.group.memberJoined("c", true)).isFalse();
  }

  /**
   * Under any order of acceptances, rejections, failures and terminations each member gets one
   * final response, and either all members are accepted or none is left running.
   */
  @Property(tries = 600, seed = "4242")
  void allMembersAreAcceptedOrNoneKeepsRunning(@ForAll long seed) {
    Random random = new Random(seed);
    FakeCluster cluster = new FakeCluster(1 + random.nextInt(5));
    List<String> vms = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      String vm = vms.isEmpty() ? "" : vms.get(random.nextInt(vms.size()));
      switch (random.nextInt(8)) {
        case 0, 1 -> {
          vms.add("v" + vms.size());
          cluster.isIdempotentByVm.put("v" + (vms.size() - 1), random.nextBoolean());
          if (!cluster.group.memberJoined(
              "v" + (vms.size() - 1), cluster.isIdempotentByVm.get("v" + (vms.size() - 1)))) {
            vms.remove(vms.size() - 1);
          }
        }
        case 2, 3 -> cluster.accept(vm);
        case 4 -> {
          if (random.nextInt(4) == 0 && cluster.placing.remove(vm)) {
            cluster.group.memberRejected(vm, "no room");
          }
        }
        case 5 -> {
          if (random.nextInt(6) == 0 && cluster.running.remove(vm)) {
            cluster.group.memberTerminated(vm);
          }
        }
        case 6 -> {
          if (random.nextInt(6) == 0 && cluster.placing.remove(vm)) {
            cluster.mayHaveRun.add(vm);
            cluster.group.memberFailed(vm, "its answer was lost");
          }
        }
        default -> {
          if (!cluster.pendingActions.isEmpty()) {
            cluster.pendingActions.poll().run();
          }
        }
      }
    }
    cluster.group.abandon("time is up");
    cluster.runPendingActions();
    boolean allAccepted = cluster.responses.containsValue("accepted");
    for (String vm : vms) {
      assertThat(cluster.responses).as("no final response for " + vm).containsKey(vm);
      assertThat(cluster.responses.get(vm).equals("accepted"))
          .as("partly accepted")
          .isEqualTo(allAccepted);
    }
    if (!allAccepted) {
      assertThat(cluster.running).as("left running").isEmpty();
    }
  }
}
