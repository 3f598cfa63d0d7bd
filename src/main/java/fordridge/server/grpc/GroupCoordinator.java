package fordridge.server.grpc;

import fordridge.constraint.GroupPlan;
import fordridge.constraint.MachineTopology;
import fordridge.group.VmGroup;
import fordridge.model.Vm;
import fordridge.session.ClientResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The groups of one instance: which VM is in which, and what a group does to it. It decides
 * nothing.
 */
final class GroupCoordinator implements VmGroup.Actions {
  /** What the instance does for a group. */
  interface Actions {
    /** Finds out whether these can go together; {@code then} is given the plan. */
    void plan(List<Vm> members, Consumer<GroupPlan> then);

    void arrive(Vm vm);

    void say(Vm vm, ClientResponse answer);

    void stop(Vm vm);

    /** Calls off what is out; whether it may have run. */
    boolean callOff(Vm vm);

    void forget(Vm vm);

    /** The VM's name as its owner knows it. */
    String owned(Vm vm);
  }

  private record Named(String client, String group) {}

  private static final class TrackedGroup {
    final Named named;
    final int size;
    int members;

    TrackedGroup(Named named, int size) {
      this.named = named;
      this.size = size;
    }
  }

  private final Actions hands;
  private final Map<Named, VmGroup> groups = new HashMap<>();
  private final Map<String, VmGroup> of = new HashMap<>();
  private final Map<VmGroup, TrackedGroup> kept = new HashMap<>();
  private final Map<String, Vm> vms = new HashMap<>();
  private final Map<String, ClientResponse> bound = new HashMap<>();
  private final Map<String, GroupPlan> plans = new HashMap<>();

  /** How often rules or machines changed: a plan made before the last change is made anew. */
  private int changes;

  GroupCoordinator(Actions hands) {
    this.hands = hands;
  }

  /** Puts a VM into its group; why not, or null. */
  String join(Vm vm, String client, String name, int size, boolean mayRepeat) {
    Named key = new Named(client, name);
    VmGroup g = groups.computeIfAbsent(key, k -> new VmGroup(name, size, this));
    TrackedGroup k = kept.computeIfAbsent(g, x -> new TrackedGroup(key, size));
    if (k.size != size) {
      return "group '" + name + "' was begun with size " + k.size + ", not " + size;
    }
    vms.put(vm.id, vm);
    of.put(vm.id, g);
    k.members++;
    if (g.joins(vm.id, mayRepeat)) {
      return null;
    }
    drop(vm);
    return "group '" + name + "' is full or over";
  }

  /** A member, also one that is held back; null for others. */
  Vm member(String id) {
    return vms.get(id);
  }

  VmGroup of(Vm vm) {
    return of.get(vm.id);
  }

  /** Bound, and heard of by its owner once all are. */
  void bound(Vm vm, ClientResponse answer) {
    bound.put(vm.id, answer);
    of.get(vm.id).bound(vm.id);
  }

  /** Time is nearly up for its first member. */
  void due(Vm vm) {
    VmGroup g = of.get(vm.id);
    if (g != null) {
      g.gaveUp(
          g.complete() ? "not all were bound in time" : "not all of it were asked for in time");
      tidy(g);
    }
  }

  /** Lets go of a VM that was answered and is heard of no more. */
  void drop(Vm vm) {
    VmGroup g = of.remove(vm.id);
    vms.remove(vm.id);
    bound.remove(vm.id);
    plans.remove(vm.id);
    if (g != null) {
      kept.get(g).members--;
      tidy(g);
    }
  }

  private void tidy(VmGroup g) {
    TrackedGroup k = kept.get(g);
    if (k != null && g.over() && k.members == 0) {
      groups.remove(k.named);
      kept.remove(g);
    }
  }

  @Override
  public void whole(List<String> members) {
    VmGroup g = of.get(members.get(0));
    List<Vm> some = members.stream().map(vms::get).toList();
    int asked = changes;
    hands.plan(
        some,
        plan -> {
          if (!members.stream().allMatch(id -> of.get(id) == g)) {
            return; // It ended while it was thought about.
          }
          if (asked != changes) {
            whole(members);
          } else if (plan.rejectionReason().isPresent()) {
            g.gaveUp(plan.rejectionReason().get());
            tidy(g);
          } else {
            members.forEach(id -> plans.put(id, plan));
            g.go(plan.placementOrder());
          }
        });
  }

  /** What speaks against a machine for a member, by its group's plan. */
  double constraintPenalty(Vm vm, MachineTopology spot) {
    GroupPlan plan = plans.get(vm.id);
    return plan == null ? 0 : plan.placementPenalty(vm.id, spot);
  }

  /** Whether its plan settles what it is near to. */
  boolean settlesNear(Vm vm) {
    GroupPlan plan = plans.get(vm.id);
    return plan != null && plan.hasFixedDomain(vm.id);
  }

  /** Nobody joins any more: groups that are not all here are given up. */
  void stops() {
    for (VmGroup g : List.copyOf(groups.values())) {
      if (!g.complete()) {
        g.gaveUp("the placer is stopping");
        tidy(g);
      }
    }
  }

  /** Rules or machines changed: what was planned no longer holds, and the rules alone go on. */
  void letGoOfPlans() {
    changes++;
    plans.clear();
  }

  @Override
  public void place(String id) {
    hands.arrive(vms.get(id));
  }

  @Override
  public void tellBound(String id) {
    hands.say(vms.get(id), bound.remove(id));
  }

  @Override
  public void stop(String id) {
    hands.stop(vms.get(id));
  }

  @Override
  public void callOff(String id) {
    Vm vm = vms.get(id);
    VmGroup g = of.get(id);
    if (hands.callOff(vm)) {
      g.errored(id, "called off");
    } else {
      g.denied(id, "called off");
    }
  }

  @Override
  public void deny(String id, String why) {
    Vm vm = vms.get(id);
    hands.say(vm, ClientResponse.denied(hands.owned(vm), Duration.ZERO, why));
    hands.forget(vm);
  }

  @Override
  public void error(String id, String why) {
    Vm vm = vms.get(id);
    hands.say(vm, ClientResponse.errored(hands.owned(vm), why));
    hands.forget(vm);
  }
}
