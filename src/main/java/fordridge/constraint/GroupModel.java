package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Affinity;
import fordridge.constraint.PlacementConstraint.AntiAffinity;
import fordridge.constraint.PlacementConstraint.Scope;
import fordridge.constraint.PlacementConstraint.SpreadLimit;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.chocosolver.solver.Model;
import org.chocosolver.solver.constraints.Constraint;
import org.chocosolver.solver.search.strategy.Search;
import org.chocosolver.solver.variables.BoolVar;
import org.chocosolver.solver.variables.IntVar;

/**
 * Model of a group for the Choco solver, under some of its constraints. It has one variable for the
 * machine of each member, and derived variables for the cell and the zone of that machine. An
 * instance is solved at most once.
 */
final class GroupModel {
  /**
   * Maximum number of failures in the search before the result is unknown; a bound that does not
   * depend on the clock.
   */
  private static final int MAX_SEARCH_FAILURES = 20_000;

  /** The solver uses integers: cores and memory are counted in thousandths of their unit. */
  private static final int CAPACITY_SCALE = 1000;

  /** Larger capacities are reduced to this value, in the unit of the request. */
  private static final double MAX_CAPACITY = 1e6;

  private static final int MAX_SCALED_LOAD = Integer.MAX_VALUE / 4;

  private final GroupProblem problem;
  private final BooleanSupplier shouldStop;
  private final Model model = new Model("group");
  private final IntVar[] machineOfMember;
  private final Map<TopologyLevel, IntVar[]> domainOfMember = new EnumMap<>(TopologyLevel.class);
  private boolean isTriviallyInfeasible;

  /**
   * Builds the model.
   *
   * @param constraints the constraints to enforce; the problem's other constraints are ignored
   * @param withCapacity whether the members must fit into the machines' capacity
   */
  GroupModel(
      GroupProblem problem,
      List<PlacementConstraint> constraints,
      boolean withCapacity,
      BooleanSupplier shouldStop) {
    this.problem = problem;
    this.shouldStop = shouldStop;
    machineOfMember = new IntVar[problem.memberCount()];
    createMachineVariables(new MemberCandidates(problem, constraints, withCapacity));
    if (isTriviallyInfeasible) {
      return;
    }
    constraints.forEach(this::post);
    if (withCapacity) {
      postCapacity(
          member -> problem.member(member).cores(), machine -> problem.capacity(machine).cores());
      postCapacity(
          member -> problem.member(member).memory(), machine -> problem.capacity(machine).memory());
    }
  }

  private void createMachineVariables(MemberCandidates candidates) {
    for (int member = 0; member < machineOfMember.length; member++) {
      int[] candidateMachines = candidates.find(member);
      if (candidateMachines.length == 0) {
        isTriviallyInfeasible = true;
        return;
      }
      machineOfMember[member] = model.intVar("machine" + member, candidateMachines);
    }
  }

  private void post(PlacementConstraint constraint) {
    if (constraint.clause() instanceof AntiAffinity antiAffinity) {
      postAntiAffinity(constraint.scope(), antiAffinity);
    } else if (constraint.clause() instanceof SpreadLimit limit) {
      postSpreadLimit(constraint.scope(), limit);
    } else if (constraint.clause() instanceof Affinity affinity) {
      postAffinity(constraint.scope(), affinity);
    }
  }

  /** Returns the variable for the domain of a member at a level. */
  private IntVar domainOf(int member, TopologyLevel level) {
    if (level == TopologyLevel.MACHINE) {
      return machineOfMember[member];
    }
    IntVar[] variables =
        domainOfMember.computeIfAbsent(level, key -> new IntVar[machineOfMember.length]);
    if (variables[member] == null) {
      int lastDomain = problem.domains(level).size() - 1;
      variables[member] = model.intVar(level.toString() + member, 0, lastDomain);
      model
          .element(variables[member], problem.domainByMachine(level), machineOfMember[member])
          .post();
    }
    return variables[member];
  }

  private void postAntiAffinity(Scope scope, AntiAffinity antiAffinity) {
    Scope other = antiAffinity.other();
    TopologyLevel level = antiAffinity.level();
    List<IntVar> mutuallyExclusiveDomains = new ArrayList<>();
    for (int member = 0; member < machineOfMember.length; member++) {
      if (problem.isCovered(member, scope) && problem.isCovered(member, other)) {
        mutuallyExclusiveDomains.add(domainOf(member, level));
      }
    }
    if (mutuallyExclusiveDomains.size() > 1 && !problem.membersRepresentClasses()) {
      model.allDifferent(mutuallyExclusiveDomains.toArray(new IntVar[0])).post();
    }
    for (int member = 0; member < machineOfMember.length; member++) {
      for (int second = 0; second < machineOfMember.length; second++) {
        if (member != second && isOneWayAntiAffinity(scope, other, member, second)) {
          model.arithm(domainOf(member, level), "!=", domainOf(second, level)).post();
        }
      }
    }
  }

  /**
   * Whether the anti-affinity applies from the first member to the second, but not from the second
   * to the first.
   */
  private boolean isOneWayAntiAffinity(Scope scope, Scope other, int first, int second) {
    boolean firstAvoidsSecond = problem.isCovered(first, scope) && problem.isCovered(second, other);
    boolean secondAvoidsFirst = problem.isCovered(second, scope) && problem.isCovered(first, other);
    return firstAvoidsSecond && !secondAvoidsFirst;
  }

  private void postSpreadLimit(Scope scope, SpreadLimit limit) {
    Map<Long, List<Integer>> membersByService = new TreeMap<>();
    for (int member = 0; member < machineOfMember.length; member++) {
      if (problem.isCovered(member, scope)) {
        long service = problem.member(member).vm().service();
        membersByService.computeIfAbsent(service, key -> new ArrayList<>()).add(member);
      }
    }
    if (limit.perService()) {
      membersByService.forEach(
          (service, members) ->
              postSpreadLimit(limit, members, CounterKey.of(scope, limit, service)));
    } else if (!membersByService.isEmpty()) {
      List<Integer> members =
          membersByService.values().stream().flatMap(Collection::stream).sorted().toList();
      postSpreadLimit(limit, members, CounterKey.allServices(scope, limit.level()));
    }
  }

  private void postSpreadLimit(SpreadLimit limit, List<Integer> members, CounterKey key) {
    int limitPerScheduler = limit.limitPerScheduler(problem.constraints().schedulerCount());
    Map<PlacementDomain, Integer> counts = problem.constraints().counts(key);
    int maxCount = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    if (members.size() <= limitPerScheduler - maxCount) {
      return;
    }
    IntVar[] domains =
        members.stream().map(member -> domainOf(member, limit.level())).toArray(IntVar[]::new);
    if (limitPerScheduler == 1) {
      model.allDifferent(domains).post();
    } else {
      postDomainCounts(domains, limit.level(), limitPerScheduler, counts);
    }
  }

  /** Limits how many of the variables take each domain, given the VMs that already run there. */
  private void postDomainCounts(
      IntVar[] variables, TopologyLevel level, int limit, Map<PlacementDomain, Integer> counts) {
    List<PlacementDomain> domains = problem.domains(level);
    int[] values = new int[domains.size()];
    IntVar[] occurrences = new IntVar[domains.size()];
    for (int domain = 0; domain < values.length; domain++) {
      int remaining = limit - counts.getOrDefault(domains.get(domain), 0);
      values[domain] = domain;
      occurrences[domain] = model.intVar(0, Math.max(0, Math.min(variables.length, remaining)));
    }
    model.globalCardinality(variables, values, occurrences, false).post();
  }

  private void postAffinity(Scope scope, Affinity affinity) {
    Set<PlacementDomain> targetDomains = problem.constraints().targetDomains(affinity);
    List<PlacementDomain> domains = problem.domains(affinity.level());
    int[] targetDomainNumbers =
        IntStream.range(0, domains.size())
            .filter(number -> targetDomains.contains(domains.get(number)))
            .toArray();
    boolean hasUnreachableTargets = targetDomainNumbers.length == 0 && !targetDomains.isEmpty();
    for (int member = 0; member < machineOfMember.length; member++) {
      if (problem.isCovered(member, scope)) {
        List<Constraint> alternatives = affinityAlternatives(member, affinity, targetDomainNumbers);
        postAnyOf(alternatives);
        isTriviallyInfeasible |= alternatives.isEmpty() && hasUnreachableTargets;
      }
    }
  }

  /**
   * Returns the ways in which a member can satisfy an affinity: in a domain where a target already
   * runs, or in the domain of another member that is a target.
   */
  private List<Constraint> affinityAlternatives(
      int member, Affinity affinity, int[] targetDomainNumbers) {
    TopologyLevel level = affinity.level();
    List<Constraint> alternatives = new ArrayList<>();
    if (targetDomainNumbers.length > 0) {
      alternatives.add(model.member(domainOf(member, level), targetDomainNumbers));
    }
    for (int second = 0; second < machineOfMember.length; second++) {
      if (second != member && problem.isCovered(second, affinity.other())) {
        alternatives.add(model.arithm(domainOf(member, level), "=", domainOf(second, level)));
      }
    }
    return alternatives;
  }

  private void postAnyOf(List<Constraint> alternatives) {
    if (alternatives.size() == 1) {
      alternatives.get(0).post();
    } else if (!alternatives.isEmpty()) {
      model.or(alternatives.stream().map(Constraint::reify).toArray(BoolVar[]::new)).post();
    }
  }

  /**
   * Requires that no machine is assigned more of a resource than it has. The constraint is posted
   * only if that could happen.
   */
  private void postCapacity(IntToDoubleFunction requested, IntToDoubleFunction available) {
    int[] demands = new int[machineOfMember.length];
    long totalDemand = 0;
    for (int member = 0; member < demands.length; member++) {
      demands[member] = (int) Math.floor(requested.applyAsDouble(member) * CAPACITY_SCALE);
      totalDemand += demands[member];
    }
    IntVar[] loads = new IntVar[problem.machineCount()];
    boolean canExceed = false;
    for (int machine = 0; machine < loads.length; machine++) {
      double capped = Math.min(available.applyAsDouble(machine), MAX_CAPACITY);
      long scaledCapacity = Math.max(0, (long) Math.ceil(capped * CAPACITY_SCALE));
      canExceed |= scaledCapacity < totalDemand;
      loads[machine] =
          model.intVar(0, (int) Math.min(scaledCapacity, Math.min(totalDemand, MAX_SCALED_LOAD)));
    }
    if (canExceed) {
      model.binPacking(machineOfMember, demands, loads, 0).post();
    }
  }

  /**
   * Searches for a placement. For an infeasible model, the conflicting constraints are not
   * determined.
   */
  FeasibilityResult solve() {
    if (isTriviallyInfeasible) {
      return FeasibilityResult.infeasible(List.of(), false);
    }
    model.getSolver().setSearch(Search.domOverWDegSearch(machineOfMember));
    model.getSolver().limitFail(MAX_SEARCH_FAILURES);
    model.getSolver().addStopCriterion(shouldStop::getAsBoolean);
    if (model.getSolver().solve()) {
      return FeasibilityResult.feasible(solutionInPlacementOrder());
    }
    return model.getSolver().isStopCriterionMet()
        ? FeasibilityResult.unknown()
        : FeasibilityResult.infeasible(List.of(), false);
  }

  /**
   * Returns the solution with members without an affinity first, as members with one need targets
   * that are already placed.
   */
  private Map<String, String> solutionInPlacementOrder() {
    Map<String, String> machineByMember = new LinkedHashMap<>();
    for (boolean withAffinity : new boolean[] {false, true}) {
      for (int member = 0; member < machineOfMember.length; member++) {
        if (hasAffinity(member) == withAffinity) {
          int machine = machineOfMember[member].getValue();
          machineByMember.put(problem.member(member).id(), problem.machine(machine).name());
        }
      }
    }
    return machineByMember;
  }

  private boolean hasAffinity(int member) {
    return problem.constraints().constraints().stream()
        .filter(constraint -> constraint.clause() instanceof Affinity)
        .anyMatch(constraint -> problem.isCovered(member, constraint.scope()));
  }
}
