package fordridge.constraint;

import fordridge.constraint.FeasibilityResult.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Finds a smallest subset of conflicting constraints by QuickXplain (Junker, AAAI 2004): halves the
 * set, and keeps from each half only what the other needs to conflict. If it is stopped, the subset
 * may be larger than need be.
 */
final class ConflictMinimizer {
  private final GroupProblem problem;
  private final boolean withCapacity;
  private final BooleanSupplier shouldStop;

  /**
   * A minimizer.
   *
   * @param withCapacity whether the machines' capacity is part of the conflict
   */
  ConflictMinimizer(GroupProblem problem, boolean withCapacity, BooleanSupplier shouldStop) {
    this.problem = problem;
    this.withCapacity = withCapacity;
    this.shouldStop = shouldStop;
  }

  /** A smallest conflicting subset, in the order of the constraints. */
  List<PlacementConstraint> minimize(List<PlacementConstraint> conflicting) {
    return minimize(List.of(), List.of(), conflicting);
  }

  /** What must be added to the background, of which the latest part is new, for a conflict. */
  private List<PlacementConstraint> minimize(
      List<PlacementConstraint> background,
      List<PlacementConstraint> latestPart,
      List<PlacementConstraint> candidates) {
    boolean needsCheck = !latestPart.isEmpty() || (background.isEmpty() && !candidates.isEmpty());
    if (needsCheck && isInfeasible(background)) {
      return List.of();
    }
    if (candidates.size() <= 1) {
      return candidates;
    }
    int middle = candidates.size() / 2;
    List<PlacementConstraint> first = candidates.subList(0, middle);
    List<PlacementConstraint> second = candidates.subList(middle, candidates.size());
    List<PlacementConstraint> neededOfSecond =
        minimize(concatenate(background, first), first, second);
    List<PlacementConstraint> neededOfFirst =
        minimize(concatenate(background, neededOfSecond), neededOfSecond, first);
    return concatenate(neededOfFirst, neededOfSecond);
  }

  private boolean isInfeasible(List<PlacementConstraint> constraints) {
    GroupModel model = new GroupModel(problem, constraints, withCapacity, shouldStop);
    return model.solve().verdict() == Verdict.INFEASIBLE;
  }

  private static List<PlacementConstraint> concatenate(
      List<PlacementConstraint> first, List<PlacementConstraint> second) {
    List<PlacementConstraint> both = new ArrayList<>(first);
    both.addAll(second);
    return both;
  }
}
