package fordridge.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The faults injected into one scheduler under load: generated from a seed, or written out. */
record FaultPlan(long seed, List<Fault> faults) {
  private static final int MAX_FAULTS = 6;
  private static final int LOAD_MILLIS = 4000;

  /** Generates the plan of a seed; the same seed always gives the same plan. */
  static FaultPlan generate(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Fault.Kind[] kinds = Fault.Kind.values();
    List<Fault> faults = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_FAULTS);
    while (faults.size() < count) {
      Fault.Kind kind = kinds[random.nextInt(kinds.length)];
      int amount = random.nextInt(kind.minAmount, kind.maxAmount + 1);
      faults.add(new Fault(kind, 200 + random.nextInt(LOAD_MILLIS - 1000), amount));
    }
    faults.sort(Comparator.comparing(Fault::atMillis));
    return new FaultPlan(seed, faults);
  }

  /** A plan of the given faults, each in the format {@code KIND@MILLIS=AMOUNT}. */
  static FaultPlan of(String... faults) {
    return new FaultPlan(1, Stream.of(faults).map(Fault::parse).toList());
  }

  /** A copy of this plan without the fault at the index. */
  FaultPlan without(int index) {
    List<Fault> remaining = new ArrayList<>(faults);
    remaining.remove(index);
    return new FaultPlan(seed, remaining);
  }

  boolean contains(Fault.Kind kind) {
    return faults.stream().anyMatch(fault -> fault.kind() == kind);
  }

  int loadMillis() {
    return LOAD_MILLIS;
  }

  @Override
  public String toString() {
    return "seed "
        + seed
        + ": "
        + faults.stream().map(Fault::toString).collect(Collectors.joining(" "));
  }
}
