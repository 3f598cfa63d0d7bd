package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.AntiAffinity;
import fordridge.constraint.PlacementConstraint.MachineLabels;
import fordridge.constraint.PlacementConstraint.SpreadLimit;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * Finds the candidate machines of a group member, regardless of where the other members go: those
 * with enough capacity that labels and the VMs that already run allow.
 */
final class MemberCandidates {
  private final GroupProblem problem;
  private final List<PlacementConstraint> constraints;
  private final boolean withCapacity;

  MemberCandidates(
      GroupProblem problem, List<PlacementConstraint> constraints, boolean withCapacity) {
    this.problem = problem;
    this.constraints = constraints;
    this.withCapacity = withCapacity;
  }

  /** Returns the numbers of the candidate machines in ascending order; empty if there are none. */
  int[] find(int member) {
    BitSet candidates = new BitSet();
    candidates.set(0, problem.machineCount());
    if (withCapacity) {
      removeTooSmall(candidates, problem.member(member));
    }
    for (PlacementConstraint constraint : constraints) {
      removeByConstraint(candidates, constraint, member);
    }
    return candidates.stream().toArray();
  }

  private void removeTooSmall(BitSet candidates, GroupMember member) {
    for (int machine = 0; machine < problem.machineCount(); machine++) {
      MachineCapacity capacity = problem.capacity(machine);
      if (member.cores() > capacity.cores() || member.memory() > capacity.memory()) {
        candidates.clear(machine);
      }
    }
  }

  private void removeByConstraint(BitSet candidates, PlacementConstraint constraint, int member) {
    if (constraint.clause() instanceof AntiAffinity antiAffinity) {
      removeByAntiAffinity(candidates, constraint.scope(), antiAffinity, member);
    } else if (!problem.isCovered(member, constraint.scope())) {
      return;
    } else if (constraint.clause() instanceof MachineLabels labels) {
      removeByLabels(candidates, labels);
    } else if (constraint.clause() instanceof SpreadLimit limit) {
      CounterKey key =
          CounterKey.of(constraint.scope(), limit, problem.member(member).vm().service());
      int schedulerCount = problem.constraints().schedulerCount();
      removeDomainsWithCount(limit.limitPerScheduler(schedulerCount), key, candidates);
    }
  }

  private void removeByAntiAffinity(
      BitSet candidates, PlacementConstraint.Scope scope, AntiAffinity antiAffinity, int member) {
    if (problem.isCovered(member, scope)) {
      removeDomainsWithCount(
          1, CounterKey.allServices(antiAffinity.other(), antiAffinity.level()), candidates);
    }
    if (problem.isCovered(member, antiAffinity.other())) {
      removeDomainsWithCount(1, CounterKey.allServices(scope, antiAffinity.level()), candidates);
    }
  }

  private void removeByLabels(BitSet candidates, MachineLabels labels) {
    for (int machine = 0; machine < problem.machineCount(); machine++) {
      if (!labels.predicate().matches(problem.machine(machine))) {
        candidates.clear(machine);
      }
    }
  }

  private void removeDomainsWithCount(int minCount, CounterKey key, BitSet candidates) {
    Map<PlacementDomain, Integer> counts = problem.constraints().counts(key);
    if (counts.isEmpty()) {
      return;
    }
    for (int machine = 0; machine < problem.machineCount(); machine++) {
      if (counts.getOrDefault(problem.domainOf(machine, key.level()), 0) >= minCount) {
        candidates.clear(machine);
      }
    }
  }
}
