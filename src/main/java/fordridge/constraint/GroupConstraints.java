package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Affinity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The required constraints that concern a group, and a copy of the counts of running VMs that they
 * are judged by.
 *
 * @param constraints in the set's order
 * @param schedulerCount how many schedulers share the cluster-wide limits
 * @param countsByKey running VMs by domain, as constraints count them
 * @param targetDomainsByAffinity the domains that each affinity draws to by what runs already
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

  /** Running VMs by domain; empty where none is counted. */
  Map<PlacementDomain, Integer> counts(CounterKey key) {
    return countsByKey.getOrDefault(key, Map.of());
  }

  /** The domains that an affinity draws to by what runs already; empty while nothing runs. */
  Set<PlacementDomain> targetDomains(Affinity affinity) {
    return targetDomainsByAffinity.getOrDefault(affinity, Set.of());
  }
}
