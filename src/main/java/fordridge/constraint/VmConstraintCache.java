package fordridge.constraint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.roaringbitmap.RoaringBitmap;

/**
 * Computes which machines the constraints allow for a VM, and caches the result by VM attributes.
 *
 * <p>A result is a bitmap that is computed on the first query after a change of machines or counts,
 * and is valid until the next change. A query for another machine then costs one map look-up and
 * one bitmap look-up.
 */
final class VmConstraintCache {
  /** A preference and the machines that satisfy it. */
  private record Preference(double weight, RoaringBitmap satisfyingMachines) {}

  /** Results for VMs with equal attributes, each with the version for which it was computed. */
  private static final class CachedResults {
    final ApplicableConstraints constraints;
    RoaringBitmap allowed;
    long allowedVersion = NEVER;
    RoaringBitmap allowedIgnoringAffinity;
    long allowedIgnoringAffinityVersion = NEVER;
    List<Preference> preferences;
    long preferencesVersion = NEVER;

    CachedResults(ApplicableConstraints constraints) {
      this.constraints = constraints;
    }
  }

  private static final long NEVER = -1;

  private final List<PlacementConstraint> constraints;
  private final MachineCatalog catalog;
  private final PlacementCounters counters;
  private final ConstraintEvaluator evaluator;
  private final Map<VmAttributes, CachedResults> cache = new HashMap<>();

  VmConstraintCache(
      List<PlacementConstraint> constraints,
      MachineCatalog catalog,
      PlacementCounters counters,
      ConstraintEvaluator evaluator) {
    this.constraints = constraints;
    this.catalog = catalog;
    this.counters = counters;
    this.evaluator = evaluator;
  }

  /** Drops all cached results, which bounds the memory that the cache takes. */
  void clear() {
    cache.clear();
  }

  ApplicableConstraints applicableConstraints(VmAttributes vm) {
    return cached(vm).constraints;
  }

  /**
   * Returns the machines that all required constraints allow; callers must not modify the bitmap.
   */
  RoaringBitmap allowedMachines(VmAttributes vm) {
    CachedResults cached = cached(vm);
    long version = version();
    if (cached.allowedVersion != version) {
      cached.allowed = computeAllowed(cached.constraints, vm, true);
      cached.allowedVersion = version;
    }
    return cached.allowed;
  }

  /**
   * Returns the machines that all required constraints other than affinities allow; callers must
   * not modify the bitmap.
   */
  RoaringBitmap allowedMachinesIgnoringAffinity(VmAttributes vm) {
    CachedResults cached = cached(vm);
    long version = version();
    if (cached.allowedIgnoringAffinityVersion != version) {
      cached.allowedIgnoringAffinity = computeAllowed(cached.constraints, vm, false);
      cached.allowedIgnoringAffinityVersion = version;
    }
    return cached.allowedIgnoringAffinity;
  }

  /** Returns the total weight of the preferences that the machine does not satisfy. */
  double preferencePenalty(VmAttributes vm, int machine) {
    CachedResults cached = cached(vm);
    long version = version();
    if (cached.preferencesVersion != version) {
      cached.preferences = computePreferences(cached.constraints, vm);
      cached.preferencesVersion = version;
    }
    double penalty = 0;
    for (Preference preference : cached.preferences) {
      if (machine != MachineCatalog.UNKNOWN_MACHINE
          && !preference.satisfyingMachines.contains(machine)) {
        penalty += preference.weight;
      }
    }
    return penalty;
  }

  private CachedResults cached(VmAttributes vm) {
    return cache.computeIfAbsent(
        vm, key -> new CachedResults(ApplicableConstraints.select(constraints, key)));
  }

  /**
   * Version of the machines and the counts. Both parts only increase, so the sum is unchanged only
   * while neither changes.
   */
  private long version() {
    return catalog.version() + counters.version();
  }

  private RoaringBitmap computeAllowed(
      ApplicableConstraints applicable, VmAttributes vm, boolean withAffinity) {
    RoaringBitmap allowed = catalog.schedulableMachines();
    for (PlacementConstraint constraint : applicable.own()) {
      boolean isAffinity = constraint.clause() instanceof PlacementConstraint.Affinity;
      if (constraint.isRequired() && (withAffinity || !isAffinity)) {
        evaluator.restrict(allowed, constraint, vm);
      }
    }
    for (PlacementConstraint constraint : applicable.reverseAntiAffinities()) {
      evaluator.restrictByReverseAntiAffinity(allowed, constraint);
    }
    return allowed;
  }

  private List<Preference> computePreferences(ApplicableConstraints applicable, VmAttributes vm) {
    List<Preference> preferences = new ArrayList<>();
    for (PlacementConstraint constraint : applicable.own()) {
      if (!constraint.isRequired()) {
        RoaringBitmap satisfyingMachines = catalog.schedulableMachines();
        evaluator.restrict(satisfyingMachines, constraint, vm);
        preferences.add(new Preference(constraint.weight(), satisfyingMachines));
      }
    }
    return preferences;
  }
}
