package fordridge.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Sets of customers' rules by number: the same seed and number give the same set. Some can be met
 * by no fleet.
 */
final class RandomConstraints {
  private final long seed;
  private final String[] priorityClasses;
  private final String[] tenants;
  private final String[] kinds;
  private final int zones;
  private final int cells;
  private final int services;
  private final int placers;

  RandomConstraints(ScenarioPlan plan) {
    seed = plan.seed;
    priorityClasses = plan.deployment.priorityClasses().keySet().toArray(new String[0]);
    tenants = plan.deployment.tenants().stream().map(c -> c.name()).toArray(String[]::new);
    kinds = plan.deployment.kinds().stream().map(k -> k.name()).toArray(String[]::new);
    zones = plan.zones;
    cells = Math.max(1, (plan.machines + plan.cellSize - 1) / plan.cellSize);
    services = plan.services;
    placers = plan.deployment.totalSchedulers();
  }

  String make(int number) {
    UniformRandomProvider r = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000_003 + number);
    StringBuilder t = new StringBuilder();
    int n = 2 + r.nextInt(8);
    for (int i = 0; i < n; i++) {
      t.append("rule r")
          .append(i)
          .append(": ")
          .append(scope(r))
          .append(r.nextInt(4) == 0 ? " prefer " + (1 + r.nextInt(9)) : " require")
          .append(' ')
          .append(clause(r))
          .append(";\n");
    }
    return t.toString();
  }

  private String scope(UniformRandomProvider r) {
    String priorityClass = "flavour " + one(r, priorityClasses);
    String tenant = "customer " + one(r, tenants);
    return switch (r.nextInt(6)) {
      case 0 -> priorityClass + " and " + tenant;
      case 1 -> tenant;
      case 2 -> "service " + (1 + r.nextInt(services)) + ", " + (1 + r.nextInt(services));
      default -> priorityClass;
    };
  }

  private String clause(UniformRandomProvider r) {
    String per = " per " + one(r, new String[] {"machine", "cell", "zone"});
    return switch (r.nextInt(8)) {
      case 0 -> "near " + scope(r) + per;
      case 1, 2 -> "apart " + scope(r) + per;
      case 3 -> "spread within " + (1 + r.nextInt(4)) + " of each service" + per;
      case 4 -> "on " + (r.nextBoolean() ? "not " : "") + "kind " + one(r, kinds);
      case 5 -> "on " + (r.nextBoolean() ? "not " : "") + "zone z" + r.nextInt(zones);
      case 6 -> "on not cell " + r.nextInt(cells) + " or kind " + one(r, kinds);
      default ->
          "spread at most "
              + (r.nextInt(3) == 0
                  ? placers * (1 + r.nextInt(20)) + per + " overall"
                  : 1 + r.nextInt(6) + " of each service" + per);
    };
  }

  private static String one(UniformRandomProvider r, String[] of) {
    return of[r.nextInt(of.length)];
  }
}
