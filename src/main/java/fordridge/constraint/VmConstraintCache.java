package fordridge.constraint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.roaringbitmap.RoaringBitmap;

/**
 * Answers which machines are open to a VM, from bitmaps that are computed at the first question
 * after a change and kept until the next one. A question about a further machine costs a map and a
 * bitmap look-up.
 */
final class VmConstraintCache {
  /** A preference and the machines that meet it. */
  private record Preference(double weight, RoaringBitmap satisfyingMachines) {}

  /** What is known about the VMs with the same attributes, each part with the version it is of. */
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

  /** Forgets what is known of all VMs, to bound the memory that it takes. */
  void clear() {
    cache.clear();
  }

  ApplicableConstraints applicableConstraints(VmAttributes vm) {
    return cached(vm).constraints;
  }

  /** Machines that all required constraints leave open; not to be changed. */
  RoaringBitmap allowedMachines(VmAttributes vm) {
    CachedResults cached = cached(vm);
    long version = version();
    if (cached.allowedVersion != version) {
      cached.allowed = computeAllowed(cached.constraints, vm, true);
      cached.allowedVersion = version;
    }
    return cached.allowed;
  }

  /** Machines that all required constraints but affinities leave open; not to be changed. */
  RoaringBitmap allowedMachinesIgnoringAffinity(VmAttributes vm) {
    CachedResults cached = cached(vm);
    long version = version();
    if (cached.allowedIgnoringAffinityVersion != version) {
      cached.allowedIgnoringAffinity = computeAllowed(cached.constraints, vm, false);
      cached.allowedIgnoringAffinityVersion = version;
    }
    return cached.allowedIgnoringAffinity;
  }

  /** The summed weight of the preferences that the machine does not meet. */
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

  /** Both parts only increase, so the sum is the same only while neither changes. */
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
