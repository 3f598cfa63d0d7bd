package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.AntiAffinity;
import fordridge.constraint.PlacementConstraint.MachineLabels;
import fordridge.constraint.PlacementConstraint.SpreadLimit;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * Finds the machines that are open to a member of a group whatever the other members do: by its
 * size, by labels, and by what runs already.
 */
final class OpenMachines {
  private final GroupProblem problem;
  private final List<PlacementConstraint> constraints;
  private final boolean withCapacity;

  OpenMachines(GroupProblem problem, List<PlacementConstraint> constraints, boolean withCapacity) {
    this.problem = problem;
    this.constraints = constraints;
    this.withCapacity = withCapacity;
  }

  /** The numbers of the machines in ascending order; empty if there is none. */
  int[] find(int member) {
    BitSet open = new BitSet();
    open.set(0, problem.machineCount());
    if (withCapacity) {
      closeTooSmall(open, problem.member(member));
    }
    for (PlacementConstraint constraint : constraints) {
      closeByConstraint(open, constraint, member);
    }
    return open.stream().toArray();
  }

  private void closeTooSmall(BitSet open, GroupMember member) {
    for (int machine = 0; machine < problem.machineCount(); machine++) {
      MachineCapacity capacity = problem.capacity(machine);
      if (member.cores() > capacity.cores() || member.memory() > capacity.memory()) {
        open.clear(machine);
      }
    }
  }

  private void closeByConstraint(BitSet open, PlacementConstraint constraint, int member) {
    if (constraint.clause() instanceof AntiAffinity antiAffinity) {
      closeByAntiAffinity(open, constraint.scope(), antiAffinity, member);
    } else if (!problem.isCovered(member, constraint.scope())) {
      return;
    } else if (constraint.clause() instanceof MachineLabels labels) {
      closeByLabels(open, labels);
    } else if (constraint.clause() instanceof SpreadLimit limit) {
      CounterKey key =
          CounterKey.of(constraint.scope(), limit, problem.member(member).vm().service());
      int schedulerCount = problem.constraints().schedulerCount();
      closeDomainsHolding(limit.limitPerScheduler(schedulerCount), key, open);
    }
  }

  private void closeByAntiAffinity(
      BitSet open, PlacementConstraint.Scope scope, AntiAffinity antiAffinity, int member) {
    if (problem.isCovered(member, scope)) {
      closeDomainsHolding(
          1, CounterKey.allServices(antiAffinity.other(), antiAffinity.level()), open);
    }
    if (problem.isCovered(member, antiAffinity.other())) {
      closeDomainsHolding(1, CounterKey.allServices(scope, antiAffinity.level()), open);
    }
  }

  private void closeByLabels(BitSet open, MachineLabels labels) {
    for (int machine = 0; machine < problem.machineCount(); machine++) {
      if (!labels.predicate().matches(problem.machine(machine))) {
        open.clear(machine);
      }
    }
  }

  private void closeDomainsHolding(int atLeast, CounterKey key, BitSet open) {
    Map<TopologyDomain, Integer> counts = problem.constraints().counts(key);
    if (counts.isEmpty()) {
      return;
    }
    for (int machine = 0; machine < problem.machineCount(); machine++) {
      if (counts.getOrDefault(problem.domainOf(machine, key.level()), 0) >= atLeast) {
        open.clear(machine);
      }
    }
  }
}
