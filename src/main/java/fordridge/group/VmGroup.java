package fordridge.group;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Gang scheduling of the VMs of a group: either all of them are accepted, or none. Does no I/O,
 * starts no threads and reads no clock. Not thread-safe.
 *
 * <p>Members are held back until all have been requested and a plan is known. Then each is placed
 * like any other VM, but its client is not notified of the acceptance until every member is
 * accepted. The first member that cannot be accepted ends the group: accepted members are stopped,
 * the latest first, members that are still being placed are cancelled, and each gets its final
 * response at once: rejected if it never ran or may run again, failed otherwise. A member that
 * terminates before all are accepted ends the group as well.
 */
public final class VmGroup {
  /**
   * A group is abandoned after this many sixteenths of the time that its first member has left; the
   * remaining time is for stopping accepted members.
   */
  private static final int FORMATION_SIXTEENTHS = 15;

  /** The actions of a group on its members; each is named by its VM's id. */
  public interface MemberActions {
    /**
     * All members have been requested. Answered by {@link VmGroup#planFound} or {@link
     * VmGroup#abandon} when it is known whether they can be placed together.
     */
    void allMembersJoined(List<String> members);

    /** Places the member now. */
    void place(String member);

    /** Notifies the member's client of the acceptance, as all members are accepted. */
    void reportAccepted(String member);

    /** Stops an accepted member; its final response is sent separately. */
    void stop(String member);

    /**
     * Cancels the placement of a member that is not accepted; answered by {@link
     * VmGroup#memberRejected} or {@link VmGroup#memberFailed}.
     */
    void cancel(String member);

    /** Sends the member's final response: it is not running, and a retry does no harm. */
    void reject(String member, String reason);

    /** Sends the member's final response: it may have run. */
    void fail(String member, String reason);
  }

  private enum GroupState {
    /** Members are joining or being placed. */
    FORMING,
    /** All members are accepted, and their clients have been notified. */
    ACCEPTED,
    /** The group ended without being accepted. */
    FAILED
  }

  private enum MemberState {
    JOINED,
    PLACING,
    ACCEPTED,
    SETTLED
  }

  private static final class Member {
    final boolean isIdempotent;
    MemberState state = MemberState.JOINED;

    Member(boolean isIdempotent) {
      this.isIdempotent = isIdempotent;
    }
  }

  private final String name;
  private final int size;
  private final MemberActions actions;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final List<String> acceptanceOrder = new ArrayList<>();
  private GroupState state = GroupState.FORMING;

  /** Why the group failed; empty before that. */
  private String failureReason = "";

  /** Creates a group that waits for {@code size} members. */
  public VmGroup(String name, int size, MemberActions actions) {
    this.name = name;
    this.size = size;
    this.actions = actions;
  }

  /**
   * Returns how long a group may take until all members are accepted, given the time that its first
   * member has left: the rest is for stopping accepted members.
   */
  public static Duration formationTimeout(Duration timeLeft) {
    return timeLeft.multipliedBy(FORMATION_SIXTEENTHS).dividedBy(16);
  }

  /**
   * A member was requested. Returns false if the group is complete or has failed, or if the VM is a
   * member already; the request is then not part of the group.
   */
  public boolean memberJoined(String vm, boolean isIdempotent) {
    if (state == GroupState.FAILED || isComplete() || members.containsKey(vm)) {
      return false;
    }
    members.put(vm, new Member(isIdempotent));
    if (isComplete()) {
      actions.allMembersJoined(List.copyOf(members.keySet()));
    }
    return true;
  }

  /** The members can be placed together, preferably in this order. */
  public void planFound(List<String> placementOrder) {
    for (String vm : placementOrder) {
      Member member = members.get(vm);
      // An earlier placement in this loop may have ended the group.
      if (state != GroupState.FAILED && member.state == MemberState.JOINED) {
        member.state = MemberState.PLACING;
        actions.place(vm);
      }
    }
  }

  /** Whether all members have been requested. */
  public boolean isComplete() {
    return members.size() >= size;
  }

  /** Whether the group needs no further action. */
  public boolean isOver() {
    return switch (state) {
      case FORMING -> false;
      case ACCEPTED -> true;
      case FAILED ->
          members.values().stream().allMatch(member -> member.state == MemberState.SETTLED);
    };
  }

  /** A machine accepted a member. */
  public void memberAccepted(String vm) {
    Member member = members.get(vm);
    if (member == null || member.state == MemberState.ACCEPTED) {
      return;
    }
    if (state == GroupState.FAILED) {
      actions.stop(vm);
      settleMemberAndFailGroup(vm, true, failureReason);
      return;
    }
    member.state = MemberState.ACCEPTED;
    acceptanceOrder.add(vm);
    if (acceptanceOrder.size() == size) {
      state = GroupState.ACCEPTED;
      members.keySet().forEach(actions::reportAccepted);
    }
  }

  /** The scheduler rejected a member: it never ran, or running it again does no harm. */
  public void memberRejected(String vm, String reason) {
    settleMemberAndFailGroup(vm, false, reason);
  }

  /** The scheduler failed a member: it may have run. */
  public void memberFailed(String vm, String reason) {
    settleMemberAndFailGroup(vm, true, reason);
  }

  /**
   * An accepted member terminated. Returns whether its client must not be notified of that, as it
   * was never notified of the acceptance.
   */
  public boolean memberTerminated(String vm) {
    if (state == GroupState.ACCEPTED) {
      return false;
    }
    Member member = members.get(vm);
    if (member != null && member.state != MemberState.SETTLED) {
      settle(vm, member, true, reasonOr("it ended before its group was whole"));
      failGroup(vm + " ended before all were bound");
    }
    return true;
  }

  /** The client withdrew a member: the others cannot be placed as a complete group without it. */
  public void memberWithdrawn(String vm) {
    Member member = members.get(vm);
    if (state != GroupState.ACCEPTED && member != null && member.state != MemberState.SETTLED) {
      member.state = MemberState.SETTLED;
      failGroup(vm + " is no longer wanted");
    }
  }

  /** Ends a group that did not form in time or that no set of machines can take. */
  public void abandon(String reason) {
    if (state != GroupState.ACCEPTED) {
      failGroup(reason);
    }
  }

  private void settleMemberAndFailGroup(String vm, boolean mayHaveRun, String reason) {
    Member member = members.get(vm);
    if (member == null || member.state == MemberState.SETTLED) {
      return;
    }
    settle(vm, member, mayHaveRun, reasonOr(reason));
    failGroup(vm + ": " + reason);
  }

  private String reasonOr(String reason) {
    return state == GroupState.FAILED ? failureReason : reason;
  }

  private void settle(String vm, Member member, boolean mayHaveRun, String reason) {
    member.state = MemberState.SETTLED;
    if (mayHaveRun && !member.isIdempotent) {
      actions.fail(vm, reason);
    } else {
      actions.reject(vm, reason);
    }
  }

  private void failGroup(String cause) {
    if (state == GroupState.FAILED) {
      return;
    }
    state = GroupState.FAILED;
    failureReason = "group '" + name + "' could not be placed whole: " + cause;
    stopAcceptedMembers();
    endOtherMembers();
  }

  private void stopAcceptedMembers() {
    for (int i = acceptanceOrder.size() - 1; i >= 0; i--) {
      String vm = acceptanceOrder.get(i);
      Member member = members.get(vm);
      if (member.state == MemberState.ACCEPTED) {
        // Marked before the stop, which may report the member's termination at once.
        member.state = MemberState.SETTLED;
        actions.stop(vm);
        settle(vm, member, true, failureReason);
      }
    }
  }

  private void endOtherMembers() {
    for (Map.Entry<String, Member> entry : members.entrySet()) {
      String vm = entry.getKey();
      Member member = entry.getValue();
      if (member.state == MemberState.JOINED) {
        settle(vm, member, false, failureReason);
      } else if (member.state == MemberState.PLACING) {
        actions.cancel(vm);
      }
    }
  }
}
