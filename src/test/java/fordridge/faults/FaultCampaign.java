package fordridge.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Plays many plans of faults. As a program: {@code FaultCampaign FIRST_SEED COUNT} plays drawn
 * plans and shrinks those that break something, {@code FaultCampaign KIND@MILLIS=AMOUNT...} plays
 * one that is written out. Exit code 1 if anything was broken.
 */
final class FaultCampaign {
  private static final int PARALLEL_PLANS = 4;

  private FaultCampaign() {}

  /** The plans of so many seeds from the first on that broke something. */
  static List<FaultRig.Result> play(long first, int count) throws Exception {
    ExecutorService players = Executors.newFixedThreadPool(PARALLEL_PLANS);
    try {
      List<Future<FaultRig.Result>> plays = new ArrayList<>();
      for (long seed = first; seed < first + count; seed++) {
        FaultPlan plan = FaultPlan.drawn(seed);
        plays.add(players.submit(() -> FaultRig.play(plan)));
      }
      List<FaultRig.Result> broken = new ArrayList<>();
      for (Future<FaultRig.Result> play : plays) {
        FaultRig.Result result = play.get();
        if (!result.violations().isEmpty()) {
          broken.add(result);
        }
      }
      return broken;
    } finally {
      players.shutdownNow();
    }
  }

  /** Leaves faults out one by one for as long as the plan still breaks something. */
  static FaultRig.Result shrink(FaultRig.Result broken) throws Exception {
    FaultRig.Result smallest = broken;
    for (int i = smallest.plan().faults().size() - 1; i >= 0; i--) {
      if (smallest.plan().faults().size() > 1) {
        FaultRig.Result smaller = FaultRig.play(smallest.plan().without(i));
        if (!smaller.violations().isEmpty()) {
          smallest = smaller;
        }
      }
    }
    return smallest;
  }

  /** Plays what the arguments name, see the class. */
  public static void main(String[] arguments) throws Exception {
    if (arguments.length == 0) {
      System.err.println("usage: FaultCampaign FIRST_SEED COUNT | KIND@MILLIS=AMOUNT...");
      System.exit(2);
    }
    List<FaultRig.Result> broken = new ArrayList<>();
    if (arguments[0].contains("@")) {
      FaultRig.Result result = FaultRig.play(FaultPlan.of(arguments));
      System.out.println(result.summary());
      result.log().forEach(System.out::println);
      if (!result.violations().isEmpty()) {
        broken.add(result);
      }
    } else {
      for (FaultRig.Result result :
          play(Long.parseLong(arguments[0]), Integer.parseInt(arguments[1]))) {
        System.out.println("broken: " + result.plan() + " " + result.violations());
        broken.add(shrink(result));
      }
    }
    for (FaultRig.Result result : broken) {
      System.out.println("smallest: " + result.plan());
      result.violations().forEach(violation -> System.out.println("  " + violation));
      result.log().forEach(line -> System.out.println("  | " + line));
    }
    System.out.println(broken.size() + " plans broken");
    System.exit(broken.isEmpty() ? 0 : 1);
  }
}
