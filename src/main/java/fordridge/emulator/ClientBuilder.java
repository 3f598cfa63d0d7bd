package fordridge.emulator;

import fordridge.emulator.record.WireRecorder;
import fordridge.settings.PriorityClassSettings;
import fordridge.settings.TenantShare;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Builds the services and clients of a scenario, one client for each scheduler, from the seed. */
final class ClientBuilder {
  /** Gives the clients another random sequence than the fleet, which uses the same seed. */
  private static final long SEED_MASK = 0xabcdef;

  /** Gives each client of a scenario its own random sequence. */
  private static final long SEED_FACTOR = 104729;

  /**
   * The weights of the clients lie between 1 and e to this power, log-uniformly: most clients
   * request little, some far more.
   */
  private static final double WEIGHT_EXPONENT = 2;

  private final ScenarioPlan plan;
  private final WireRecorder recorder;
  private final ClientOutcomes outcomes;
  private final UniformRandomProvider random;

  ClientBuilder(ScenarioPlan plan, WireRecorder recorder, ClientOutcomes outcomes) {
    this.plan = plan;
    this.recorder = recorder;
    this.outcomes = outcomes;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.run().seed() ^ SEED_MASK);
  }

  /** Builds the clients without connecting them; {@link EmulatedClient#open} does that. */
  List<EmulatedClient> build(IntUnaryOperator schedulerPort, EventLoopGroup loops) {
    List<ServiceProfile> services = drawServices();
    double[] weights = drawWeights(plan.deployment().instance().count());
    double sumOfWeights = 0;
    for (double weight : weights) {
      sumOfWeights += weight;
    }
    List<EmulatedClient> clients = new ArrayList<>();
    for (int i = 0; i < weights.length; i++) {
      EmulatedClient.Identity identity =
          new EmulatedClient.Identity(
              String.format("owner%03d", i),
              schedulerPort.applyAsInt(i),
              plan.clients().ratePerSecond() * weights[i] / sumOfWeights,
              plan.run().seed() * SEED_FACTOR + i);
      clients.add(
          new EmulatedClient(identity, loops.next(), recorder, outcomes, plan.clients(), services));
    }
    return clients;
  }

  private double[] drawWeights(int count) {
    double[] weights = new double[count];
    for (int i = 0; i < count; i++) {
      weights[i] = Math.exp(random.nextDouble() * WEIGHT_EXPONENT);
    }
    return weights;
  }

  private List<ServiceProfile> drawServices() {
    List<ServiceProfile> services = new ArrayList<>();
    List<ScenarioPlan.Shape> shapes = plan.clients().shapes();
    for (int number = 1; number <= plan.clients().services(); number++) {
      PriorityClassSettings priorityClass = drawPriorityClass();
      String tenant = drawTenant();
      ScenarioPlan.Shape shape = shapes.get(random.nextInt(shapes.size()));
      double meanLifeSeconds = plan.clients().lifeSeconds().draw(random);
      services.add(new ServiceProfile(number, priorityClass, tenant, shape, meanLifeSeconds));
    }
    return services;
  }

  private PriorityClassSettings drawPriorityClass() {
    double sumOfShares =
        plan.clients().priorityClassShares().values().stream()
            .mapToDouble(Double::doubleValue)
            .sum();
    double remainingShare = random.nextDouble() * sumOfShares;
    PriorityClassSettings last = null;
    for (PriorityClassSettings candidate : plan.deployment().priorityClasses().values()) {
      remainingShare -= plan.clients().priorityClassShares().get(candidate.name());
      if (remainingShare < 0) {
        return candidate;
      }
      last = candidate;
    }
    return last;
  }

  /**
   * Draws a tenant by the configured shares. Returns the first tenant for the remainder if the
   * shares add up to less than one, and an empty name if no tenants are configured.
   */
  private String drawTenant() {
    double remainingShare = random.nextDouble();
    List<TenantShare> tenants = plan.deployment().tenants();
    for (TenantShare tenant : tenants) {
      remainingShare -= tenant.share();
      if (remainingShare < 0) {
        return tenant.name();
      }
    }
    return tenants.isEmpty() ? "" : tenants.get(0).name();
  }
}
