package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Affinity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The required constraints that apply to a group, with a copy of the counts of running VMs that
 * they are evaluated against.
 *
 * @param constraints in the order of the set
 * @param schedulerCount the number of schedulers that share the cluster-wide limits
 * @param countsByKey running VMs by domain, for each counter that the constraints need
 * @param targetDomainsByAffinity for each affinity, the domains in which its targets already run
 */
record GroupConstraints(
    List<PlacementConstraint> constraints,
    int schedulerCount,
    Map<CounterKey, Map<PlacementDomain, Integer>> countsByKey,
    Map<Affinity, Set<PlacementDomain>> targetDomainsByAffinity) {

  static GroupConstraints capture(
      List<PlacementConstraint> all,
      List<GroupMember> members,
      PlacementCounters counters,
      int schedulerCount) {
    List<PlacementConstraint> applicable = new ArrayList<>();
    Map<CounterKey, Map<PlacementDomain, Integer>> countsByKey = new HashMap<>();
    Map<Affinity, Set<PlacementDomain>> targetDomainsByAffinity = new HashMap<>();
    for (PlacementConstraint constraint : all) {
      List<GroupMember> affectedMembers =
          members.stream().filter(member -> appliesTo(constraint, member)).toList();
      if (!constraint.isRequired() || affectedMembers.isEmpty()) {
        continue;
      }
      applicable.add(constraint);
      if (constraint.clause() instanceof Affinity affinity) {
        targetDomainsByAffinity.put(
            affinity, counters.affinityCounter(affinity).copyOfCounts().keySet());
        continue;
      }
      for (GroupMember member : affectedMembers) {
        for (CounterKey key : CounterKey.keysOf(constraint, member.vm().service())) {
          countsByKey.put(key, counters.counter(key).copyOfCounts());
        }
      }
    }
    return new GroupConstraints(
        List.copyOf(applicable), schedulerCount, countsByKey, targetDomainsByAffinity);
  }

  private static boolean appliesTo(PlacementConstraint constraint, GroupMember member) {
    return constraint.scope().covers(member.vm())
        || (constraint.clause() instanceof PlacementConstraint.AntiAffinity antiAffinity
            && antiAffinity.other().covers(member.vm()));
  }

  /** Returns the counts of running VMs by domain; empty if there are none. */
  Map<PlacementDomain, Integer> counts(CounterKey key) {
    return countsByKey.getOrDefault(key, Map.of());
  }

  /** Returns the domains in which targets of an affinity already run; empty if none run. */
  Set<PlacementDomain> targetDomains(Affinity affinity) {
    return targetDomainsByAffinity.getOrDefault(affinity, Set.of());
  }
}
