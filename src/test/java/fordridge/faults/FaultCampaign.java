package fordridge.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs many plans of faults. On the command line, {@code FaultCampaign FIRST_SEED COUNT} runs
 * generated plans and shrinks those with violations, and {@code FaultCampaign
 * KIND@MILLIS=AMOUNT...} runs one plan that is written out. The exit code is 1 if there was a
 * violation.
 */
final class FaultCampaign {
  private static final int PARALLEL_PLANS = 4;

  private FaultCampaign() {}

  /** Runs the plans of {@code count} seeds from the first on; returns those with violations. */
  static List<FaultHarness.Result> runPlans(long firstSeed, int count) throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_PLANS);
    try {
      List<Future<FaultHarness.Result>> futures = new ArrayList<>();
      for (long seed = firstSeed; seed < firstSeed + count; seed++) {
        FaultPlan plan = FaultPlan.generate(seed);
        futures.add(executor.submit(() -> FaultHarness.run(plan)));
      }
      List<FaultHarness.Result> failed = new ArrayList<>();
      for (Future<FaultHarness.Result> future : futures) {
        FaultHarness.Result result = future.get();
        if (!result.violations().isEmpty()) {
          failed.add(result);
        }
      }
      return failed;
    } finally {
      executor.shutdownNow();
    }
  }

  /** Leaves out faults, one at a time, without which the plan still has a violation. */
  static FaultHarness.Result shrink(FaultHarness.Result failed) throws Exception {
    FaultHarness.Result smallest = failed;
    for (int i = smallest.plan().faults().size() - 1; i >= 0; i--) {
      if (smallest.plan().faults().size() > 1) {
        FaultHarness.Result smaller = FaultHarness.run(smallest.plan().without(i));
        if (!smaller.violations().isEmpty()) {
          smallest = smaller;
        }
      }
    }
    return smallest;
  }

  /** Runs the plans that the arguments name, as described at the class. */
  public static void main(String[] arguments) throws Exception {
    if (arguments.length == 0) {
      System.err.println("usage: FaultCampaign FIRST_SEED COUNT | KIND@MILLIS=AMOUNT...");
      System.exit(2);
    }
    List<FaultHarness.Result> failed = new ArrayList<>();
    if (arguments[0].contains("@")) {
      FaultHarness.Result result = FaultHarness.run(FaultPlan.of(arguments));
      System.out.println(result.summary());
      result.log().forEach(System.out::println);
      if (!result.violations().isEmpty()) {
        failed.add(result);
      }
    } else {
      for (FaultHarness.Result result :
          runPlans(Long.parseLong(arguments[0]), Integer.parseInt(arguments[1]))) {
        System.out.println("failed: " + result.plan() + " " + result.violations());
        failed.add(shrink(result));
      }
    }
    for (FaultHarness.Result result : failed) {
      System.out.println("smallest: " + result.plan());
      result.violations().forEach(violation -> System.out.println("  " + violation));
      result.log().forEach(line -> System.out.println("  | " + line));
    }
    System.out.println(failed.size() + " plans failed");
    System.exit(failed.isEmpty() ? 0 : 1);
  }
}
