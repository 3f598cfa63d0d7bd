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
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The groups of one instance: which VM is a member of which, the groups' plans, and the acceptances
 * that wait for the rest of their group. Confined to the event loop.
 */
final class GroupCoordinator implements VmGroup.MemberActions {
  /** What the instance does for a group's members. */
  interface Actions {
    /** Computes how these can be placed together; the listener is called later or at once. */
    void plan(List<Vm> members, Consumer<GroupPlan> listener);

    /** Hands the member to the scheduler. */
    void schedule(Vm vm);

    /** Sends the member's final response to its client. */
    void respond(Vm vm, ClientResponse response);

    /** Stops the member if it runs. */
    void stop(Vm vm);

    /** Cancels the member's placement; returns whether it may have run. */
    boolean cancel(Vm vm);

    /** Drops what is kept of the member once it has ended. */
    void forget(Vm vm);

    /** The VM's name as its client knows it. */
    String nameAtClient(Vm vm);
  }

  /** A group's name counts for its client alone. */
  record GroupId(String client, String name) {}

  /** A group, and how many of its members are still kept here. */
  private static final class TrackedGroup {
    final GroupId id;
    final int size;
    final VmGroup group;
    int keptMembers;

    TrackedGroup(GroupId id, int size, VmGroup.MemberActions actions) {
      this.id = id;
      this.size = size;
      group = new VmGroup(id.name(), size, actions);
    }
  }

  /** A member that is kept: its VM, and what is known of it so far. */
  private static final class TrackedMember {
    final Vm vm;
    final TrackedGroup tracked;
    Optional<GroupPlan> plan = Optional.empty();

    /** The acceptance that its client is to be notified of once all members are accepted. */
    Optional<ClientResponse.Accepted> acceptance = Optional.empty();

    TrackedMember(Vm vm, TrackedGroup tracked) {
      this.vm = vm;
      this.tracked = tracked;
    }
  }

  private final Actions actions;
  private final Map<GroupId, TrackedGroup> groups = new HashMap<>();
  private final Map<String, TrackedMember> membersByVmId = new HashMap<>();

  /** Rises when constraints or machines change: a plan made before the last change is outdated. */
  private int planVersion;

  GroupCoordinator(Actions actions) {
    this.actions = actions;
  }

  /** A member of a group was requested; returns why it can't join, or empty if it has. */
  Optional<String> join(Vm vm, GroupId id, int size, boolean mayRunAgain) {
    TrackedGroup tracked = groups.computeIfAbsent(id, key -> new TrackedGroup(key, size, this));
    if (tracked.size != size) {
      return Optional.of(
          "group '" + id.name() + "' was begun with size " + tracked.size + ", not " + size);
    }
    membersByVmId.put(vm.id, new TrackedMember(vm, tracked));
    tracked.keptMembers++;
    if (tracked.group.memberJoined(vm.id, mayRunAgain)) {
      return Optional.empty();
    }
    drop(vm);
    return Optional.of("group '" + id.name() + "' is full or over");
  }

  /** A member by its VM's id, also one that is held back from the scheduler. */
  Optional<Vm> findMember(String vmId) {
    return find(vmId).map(member -> member.vm);
  }

  boolean isMember(Vm vm) {
    return membersByVmId.containsKey(vm.id);
  }

  /** A machine accepted a member; its client is notified once all members are accepted. */
  void memberAccepted(Vm vm, ClientResponse.Accepted acceptance) {
    TrackedMember member = membersByVmId.get(vm.id);
    member.acceptance = Optional.of(acceptance);
    member.tracked.group.memberAccepted(vm.id);
  }

  /** The scheduler rejected the VM; without effect if it is no member. */
  void memberRejected(Vm vm, String reason) {
    groupOf(vm).ifPresent(group -> group.memberRejected(vm.id, reason));
  }

  /** The scheduler failed the VM; without effect if it is no member. */
  void memberFailed(Vm vm, String reason) {
    groupOf(vm).ifPresent(group -> group.memberFailed(vm.id, reason));
  }

  /** The client no longer wants the VM; without effect if it is no member. */
  void memberWithdrawn(Vm vm) {
    groupOf(vm).ifPresent(group -> group.memberWithdrawn(vm.id));
  }

  /**
   * An accepted VM terminated; true if its client must not be notified, as its group never was
   * accepted as a whole.
   */
  boolean memberTerminated(Vm vm) {
    return groupOf(vm).map(group -> group.memberTerminated(vm.id)).orElse(false);
  }

  /** The time in which the VM's group has to form is up. */
  void formationTimedOut(Vm vm) {
    TrackedMember member = membersByVmId.get(vm.id);
    if (member == null) {
      return;
    }
    VmGroup group = member.tracked.group;
    group.abandon(
        group.isComplete() ? "not all were bound in time" : "not all of it were asked for in time");
    removeIfOver(member.tracked);
  }

  /** Drops a VM that has its final response and of which nothing more is expected. */
  void drop(Vm vm) {
    TrackedMember member = membersByVmId.remove(vm.id);
    if (member != null) {
      member.tracked.keptMembers--;
      removeIfOver(member.tracked);
    }
  }

  /** No more members will be requested: groups that wait for some are abandoned. */
  void shutdownStarted() {
    for (TrackedGroup tracked : List.copyOf(groups.values())) {
      if (!tracked.group.isComplete()) {
        tracked.group.abandon("the placer is stopping");
        removeIfOver(tracked);
      }
    }
  }

  /** Constraints or machines changed: plans no longer hold, and the constraints alone go on. */
  void discardPlans() {
    planVersion++;
    membersByVmId.values().forEach(member -> member.plan = Optional.empty());
  }

  /** What speaks against a machine for a member, by its group's plan; 0 without one. */
  double planPenalty(Vm vm, MachineTopology machine) {
    return planOf(vm).map(plan -> plan.placementPenalty(vm.id, machine)).orElse(0.0);
  }

  /** Whether the VM's group has a plan that fixes the domain which its affinity asks for. */
  boolean hasPlannedDomain(Vm vm) {
    return planOf(vm).map(plan -> plan.hasFixedDomain(vm.id)).orElse(false);
  }

  @Override
  public void allMembersJoined(List<String> members) {
    TrackedGroup tracked = membersByVmId.get(members.get(0)).tracked;
    List<Vm> vms = members.stream().map(id -> membersByVmId.get(id).vm).toList();
    int version = planVersion;
    actions.plan(vms, plan -> planComputed(tracked, members, version, plan));
  }

  private void planComputed(
      TrackedGroup tracked, List<String> members, int version, GroupPlan plan) {
    if (!members.stream().allMatch(id -> isMemberOf(id, tracked))) {
      return; // The group ended while its plan was computed.
    }
    if (version != planVersion) {
      allMembersJoined(members);
    } else if (plan.rejectionReason().isPresent()) {
      tracked.group.abandon(plan.rejectionReason().get());
      removeIfOver(tracked);
    } else {
      members.forEach(id -> membersByVmId.get(id).plan = Optional.of(plan));
      tracked.group.planFound(plan.placementOrder());
    }
  }

  @Override
  public void place(String vmId) {
    actions.schedule(vm(vmId));
  }

  @Override
  public void reportAccepted(String vmId) {
    TrackedMember member = membersByVmId.get(vmId);
    ClientResponse.Accepted acceptance = member.acceptance.orElseThrow();
    member.acceptance = Optional.empty();
    actions.respond(member.vm, acceptance);
  }

  @Override
  public void stop(String vmId) {
    actions.stop(vm(vmId));
  }

  @Override
  public void cancel(String vmId) {
    Vm vm = vm(vmId);
    if (actions.cancel(vm)) {
      memberFailed(vm, "called off");
    } else {
      memberRejected(vm, "called off");
    }
  }

  @Override
  public void reject(String vmId, String reason) {
    Vm vm = vm(vmId);
    actions.respond(
        vm, new ClientResponse.Rejected(actions.nameAtClient(vm), Duration.ZERO, reason));
    actions.forget(vm);
  }

  @Override
  public void fail(String vmId, String reason) {
    Vm vm = vm(vmId);
    actions.respond(vm, new ClientResponse.Failed(actions.nameAtClient(vm), reason));
    actions.forget(vm);
  }

  private Optional<TrackedMember> find(String vmId) {
    return Optional.ofNullable(membersByVmId.get(vmId));
  }

  private Optional<VmGroup> groupOf(Vm vm) {
    return find(vm.id).map(member -> member.tracked.group);
  }

  private Optional<GroupPlan> planOf(Vm vm) {
    return find(vm.id).flatMap(member -> member.plan);
  }

  private Vm vm(String vmId) {
    return membersByVmId.get(vmId).vm;
  }

  private boolean isMemberOf(String vmId, TrackedGroup tracked) {
    return find(vmId).filter(member -> member.tracked == tracked).isPresent();
  }

  private void removeIfOver(TrackedGroup tracked) {
    if (tracked.group.isOver() && tracked.keptMembers == 0) {
      groups.remove(tracked.id, tracked);
    }
  }
}
