package fordridge.constraint;

import fordridge.constraint.FeasibilityResult.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Finds a minimal subset of conflicting constraints with QuickXplain (Junker, AAAI 2004).
 *
 * <p>The algorithm splits the set in half and keeps from each half only the constraints that are
 * needed for a conflict with the other half. If it is stopped, the subset may not be minimal.
 */
final class ConflictMinimizer {
  private final GroupProblem problem;
  private final boolean withCapacity;
  private final BooleanSupplier shouldStop;

  /**
   * Creates a minimizer.
   *
   * @param withCapacity whether the machines' capacity is part of the conflict
   */
  ConflictMinimizer(GroupProblem problem, boolean withCapacity, BooleanSupplier shouldStop) {
    this.problem = problem;
    this.withCapacity = withCapacity;
    this.shouldStop = shouldStop;
  }

  /** Returns a minimal conflicting subset, in the order of the given constraints. */
  List<PlacementConstraint> minimize(List<PlacementConstraint> conflicting) {
    return minimize(List.of(), List.of(), conflicting);
  }

  /**
   * Returns a minimal subset of the candidates that conflicts together with the background. {@code
   * latestPart} is what was added to the background last; the background is checked only if that is
   * not empty, or in the first call.
   */
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
