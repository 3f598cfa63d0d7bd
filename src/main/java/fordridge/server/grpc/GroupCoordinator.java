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
 * The groups of one instance: their members, their plans, and the acceptances that are withheld
 * until the whole group is accepted. The reasons in its responses are part of the protocol.
 * Confined to the event loop.
 */
final class GroupCoordinator implements VmGroup.MemberActions {
  /** Actions of the instance on the members of a group. */
  interface Actions {
    /** Computes a joint placement of the members; calls the listener before or after it returns. */
    void plan(List<Vm> members, Consumer<GroupPlan> listener);

    /** Passes the member to the scheduler. */
    void schedule(Vm vm);

    /** Sends the member's final response to its client. */
    void respond(Vm vm, ClientResponse response);

    /** Stops the member's VM if it runs. */
    void stop(Vm vm);

    /** Cancels the member's placement; returns whether its VM may have run. */
    boolean cancel(Vm vm);

    /** Removes the member, which has its final response, and the state kept for its VM. */
    void forget(Vm vm);

    /** The name that the client gave to its request for the VM. */
    String requestName(Vm vm);
  }

  /** Identifies a group: groups of different clients may have the same name. */
  record GroupId(String client, String name) {}

  /** A group, and the number of its members that are still tracked. */
  private static final class TrackedGroup {
    final GroupId id;
    final int size;
    final VmGroup group;
    int trackedMembers;

    TrackedGroup(GroupId id, int size, VmGroup.MemberActions actions) {
      this.id = id;
      this.size = size;
      group = new VmGroup(id.name(), size, actions);
    }
  }

  /** A member of a group: its VM, its part of the group's plan, and its withheld acceptance. */
  private static final class TrackedMember {
    final Vm vm;
    final TrackedGroup tracked;
    Optional<GroupPlan> plan = Optional.empty();

    /** The acceptance to be sent to the client once all members are accepted. */
    Optional<ClientResponse.Accepted> acceptance = Optional.empty();

    TrackedMember(Vm vm, TrackedGroup tracked) {
      this.vm = vm;
      this.tracked = tracked;
    }
  }

  private final Actions actions;
  private final Map<GroupId, TrackedGroup> groups = new HashMap<>();
  private final Map<String, TrackedMember> membersByVmId = new HashMap<>();

  /**
   * Incremented when constraints or machines change, which makes plans computed before outdated.
   */
  private int planVersion;

  GroupCoordinator(Actions actions) {
    this.actions = actions;
  }

  /**
   * Adds a requested VM to its group; returns the reason if it cannot join, or empty if it joined.
   */
  Optional<String> join(Vm vm, GroupId id, int size, boolean isIdempotent) {
    TrackedGroup tracked = groups.computeIfAbsent(id, key -> new TrackedGroup(key, size, this));
    if (tracked.size != size) {
      return Optional.of(
          "group '" + id.name() + "' was begun with size " + tracked.size + ", not " + size);
    }
    membersByVmId.put(vm.id, new TrackedMember(vm, tracked));
    tracked.trackedMembers++;
    if (tracked.group.memberJoined(vm.id, isIdempotent)) {
      return Optional.empty();
    }
    remove(vm);
    return Optional.of("group '" + id.name() + "' is full or over");
  }

  /** Finds a member by its VM's id, including one that was not passed to the scheduler yet. */
  Optional<Vm> findMember(String vmId) {
    return find(vmId).map(member -> member.vm);
  }

  boolean isMember(Vm vm) {
    return membersByVmId.containsKey(vm.id);
  }

  /** A machine accepted a member; the acceptance is sent once all members are accepted. */
  void memberAccepted(Vm vm, ClientResponse.Accepted acceptance) {
    TrackedMember member = membersByVmId.get(vm.id);
    member.acceptance = Optional.of(acceptance);
    member.tracked.group.memberAccepted(vm.id);
  }

  /** The scheduler rejected the VM; no effect if the VM is not a member. */
  void memberRejected(Vm vm, String reason) {
    groupOf(vm).ifPresent(group -> group.memberRejected(vm.id, reason));
  }

  /** The scheduler failed the VM; no effect if the VM is not a member. */
  void memberFailed(Vm vm, String reason) {
    groupOf(vm).ifPresent(group -> group.memberFailed(vm.id, reason));
  }

  /** The client withdrew its request for the VM; no effect if the VM is not a member. */
  void memberWithdrawn(Vm vm) {
    groupOf(vm).ifPresent(group -> group.memberWithdrawn(vm.id));
  }

  /**
   * An accepted VM terminated. Returns true if its client must not be sent a termination notice, as
   * the group was never accepted as a whole.
   */
  boolean memberTerminated(Vm vm) {
    return groupOf(vm).map(group -> group.memberTerminated(vm.id)).orElse(false);
  }

  /** The VM's group has reached its formation timeout: it is abandoned unless it is accepted. */
  void formationTimedOut(Vm vm) {
    TrackedMember member = membersByVmId.get(vm.id);
    if (member == null) {
      return;
    }
    VmGroup group = member.tracked.group;
    group.abandon(
        group.isComplete() ? "not all were bound in time" : "not all of it were asked for in time");
    removeGroupIfOver(member.tracked);
  }

  /** Removes a member that has its final response and whose VM can have no further events. */
  void remove(Vm vm) {
    TrackedMember member = membersByVmId.remove(vm.id);
    if (member != null) {
      member.tracked.trackedMembers--;
      removeGroupIfOver(member.tracked);
    }
  }

  /** The scheduler is shutting down: groups whose members were not all requested are abandoned. */
  void shutdownStarted() {
    for (TrackedGroup tracked : List.copyOf(groups.values())) {
      if (!tracked.group.isComplete()) {
        tracked.group.abandon("the placer is stopping");
        removeGroupIfOver(tracked);
      }
    }
  }

  /**
   * Discards all plans, as constraints or machines changed; members that are not placed yet are
   * placed by the constraints alone.
   */
  void discardPlans() {
    planVersion++;
    membersByVmId.values().forEach(member -> member.plan = Optional.empty());
  }

  /** The penalty of placing a member on a machine by its group's plan; 0 without a plan. */
  double planPenalty(Vm vm, MachineTopology machine) {
    return planOf(vm).map(plan -> plan.placementPenalty(vm.id, machine)).orElse(0.0);
  }

  /** Whether the VM's group has a plan that fixes the topology domain its affinity requires. */
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
      removeGroupIfOver(tracked);
    } else {
      members.forEach(id -> membersByVmId.get(id).plan = Optional.of(plan));
      tracked.group.planFound(plan.placementOrder());
    }
  }

  @Override
  public void place(String vmId) {
    actions.schedule(memberVm(vmId));
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
    actions.stop(memberVm(vmId));
  }

  @Override
  public void cancel(String vmId) {
    Vm vm = memberVm(vmId);
    if (actions.cancel(vm)) {
      memberFailed(vm, "called off");
    } else {
      memberRejected(vm, "called off");
    }
  }

  @Override
  public void reject(String vmId, String reason) {
    Vm vm = memberVm(vmId);
    actions.respond(
        vm, new ClientResponse.Rejected(actions.requestName(vm), Duration.ZERO, reason));
    actions.forget(vm);
  }

  @Override
  public void fail(String vmId, String reason) {
    Vm vm = memberVm(vmId);
    actions.respond(vm, new ClientResponse.Failed(actions.requestName(vm), reason));
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

  private Vm memberVm(String vmId) {
    return membersByVmId.get(vmId).vm;
  }

  private boolean isMemberOf(String vmId, TrackedGroup tracked) {
    return find(vmId).filter(member -> member.tracked == tracked).isPresent();
  }

  private void removeGroupIfOver(TrackedGroup tracked) {
    if (tracked.group.isOver() && tracked.trackedMembers == 0) {
      groups.remove(tracked.id, tracked);
    }
  }
}
