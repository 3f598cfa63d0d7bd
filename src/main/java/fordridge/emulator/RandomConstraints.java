package fordridge.emulator;

import fordridge.model.MachineKind;
import fordridge.settings.TenantShare;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates numbered sets of tenants' constraints; the same seed and number give the same set. Some
 * sets are unsatisfiable.
 */
final class RandomConstraints {
  /** Gives each set of a scenario its own random sequence. */
  private static final long SEED_FACTOR = 1_000_003;

  private static final int MIN_CONSTRAINTS = 2;
  private static final int CONSTRAINTS_SPREAD = 8;
  private static final int MAX_WEIGHT = 9;
  private static final int MAX_DOMAINS = 4;
  private static final int MAX_PER_DOMAIN = 6;
  private static final int MAX_PER_DOMAIN_AND_SCHEDULER = 20;
  private static final List<String> DOMAINS = List.of("machine", "cell", "zone");

  private final long seed;
  private final List<String> priorityClasses;
  private final List<String> tenants;
  private final List<String> kinds;
  private final int zones;
  private final int cells;
  private final int services;
  private final int schedulers;

  RandomConstraints(ScenarioPlan plan) {
    seed = plan.run().seed();
    priorityClasses = List.copyOf(plan.deployment().priorityClasses().keySet());
    tenants = plan.deployment().tenants().stream().map(TenantShare::name).toList();
    kinds = plan.deployment().kinds().stream().map(MachineKind::name).toList();
    zones = plan.fleet().zones();
    int cellSize = plan.fleet().cellSize();
    cells = Math.max(1, (plan.fleet().machines() + cellSize - 1) / cellSize);
    services = plan.clients().services();
    schedulers = plan.deployment().totalSchedulers();
  }

  /** Returns the text of the set with this number. */
  String generate(int number) {
    UniformRandomProvider random =
        RandomSource.XO_RO_SHI_RO_128_PP.create(seed * SEED_FACTOR + number);
    StringBuilder text = new StringBuilder();
    int count = MIN_CONSTRAINTS + random.nextInt(CONSTRAINTS_SPREAD);
    for (int i = 0; i < count; i++) {
      text.append("rule r").append(i).append(": ").append(scope(random));
      boolean isPreference = random.nextInt(4) == 0;
      text.append(isPreference ? " prefer " + (1 + random.nextInt(MAX_WEIGHT)) : " require");
      text.append(' ').append(clause(random)).append(";\n");
    }
    return text.toString();
  }

  private String scope(UniformRandomProvider random) {
    String priorityClass = "flavour " + pick(random, priorityClasses);
    String tenant = "customer " + pick(random, tenants);
    return switch (random.nextInt(6)) {
      case 0 -> priorityClass + " and " + tenant;
      case 1 -> tenant;
      case 2 -> "service " + service(random) + ", " + service(random);
      default -> priorityClass;
    };
  }

  private int service(UniformRandomProvider random) {
    return 1 + random.nextInt(services);
  }

  private String clause(UniformRandomProvider random) {
    String per = " per " + pick(random, DOMAINS);
    return switch (random.nextInt(8)) {
      case 0 -> "near " + scope(random) + per;
      case 1, 2 -> "apart " + scope(random) + per;
      case 3 -> "spread within " + (1 + random.nextInt(MAX_DOMAINS)) + " of each service" + per;
      case 4 -> "on " + maybeNot(random) + "kind " + pick(random, kinds);
      case 5 -> "on " + maybeNot(random) + "zone z" + random.nextInt(zones);
      case 6 -> "on not cell " + random.nextInt(cells) + " or kind " + pick(random, kinds);
      default -> "spread at most " + limit(random, per);
    };
  }

  private static String maybeNot(UniformRandomProvider random) {
    return random.nextBoolean() ? "not " : "";
  }

  private String limit(UniformRandomProvider random, String per) {
    if (random.nextInt(3) == 0) {
      int limit = schedulers * (1 + random.nextInt(MAX_PER_DOMAIN_AND_SCHEDULER));
      return limit + per + " overall";
    }
    return 1 + random.nextInt(MAX_PER_DOMAIN) + " of each service" + per;
  }

  private static String pick(UniformRandomProvider random, List<String> choices) {
    return choices.get(random.nextInt(choices.size()));
  }
}
