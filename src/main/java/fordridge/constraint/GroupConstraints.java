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
 * @param domainsByAffinity the domains that each affinity draws to by what runs already
 */
record GroupConstraints(
    List<PlacementConstraint> constraints,
    int schedulerCount,
    Map<CounterKey, Map<TopologyDomain, Integer>> countsByKey,
    Map<Affinity, Set<TopologyDomain>> domainsByAffinity) {

  static GroupConstraints capture(
      List<PlacementConstraint> all,
      List<GroupMember> members,
      PlacementCounters counters,
      int schedulerCount) {
    List<PlacementConstraint> concerning = new ArrayList<>();
    Map<CounterKey, Map<TopologyDomain, Integer>> countsByKey = new HashMap<>();
    Map<Affinity, Set<TopologyDomain>> domainsByAffinity = new HashMap<>();
    for (PlacementConstraint constraint : all) {
      List<GroupMember> concerned =
          members.stream().filter(member -> concerns(constraint, member)).toList();
      if (!constraint.isRequired() || concerned.isEmpty()) {
        continue;
      }
      concerning.add(constraint);
      if (constraint.clause() instanceof Affinity affinity) {
        domainsByAffinity.put(affinity, counters.affinityCounter(affinity).copyOfCounts().keySet());
        continue;
      }
      for (GroupMember member : concerned) {
        for (CounterKey key : CounterKey.keysOf(constraint, member.vm().service())) {
          countsByKey.put(key, counters.counter(key).copyOfCounts());
        }
      }
    }
    return new GroupConstraints(
        List.copyOf(concerning), schedulerCount, countsByKey, domainsByAffinity);
  }

  private static boolean concerns(PlacementConstraint constraint, GroupMember member) {
    return constraint.scope().covers(member.vm())
        || (constraint.clause() instanceof PlacementConstraint.AntiAffinity antiAffinity
            && antiAffinity.other().covers(member.vm()));
  }

  /** Running VMs by domain; empty where none is counted. */
  Map<TopologyDomain, Integer> counts(CounterKey key) {
    return countsByKey.getOrDefault(key, Map.of());
  }

  /** The domains that an affinity draws to by what runs already; empty while nothing runs. */
  Set<TopologyDomain> domains(Affinity affinity) {
    return domainsByAffinity.getOrDefault(affinity, Set.of());
  }
}
