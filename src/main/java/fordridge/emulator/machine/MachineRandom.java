package fordridge.emulator.machine;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** A machine's random draws, the same for the same seed. */
final class MachineRandom {
  private static final double LOG_MEAN = -0.02;
  private static final double LOG_DEVIATION = 0.2;

  private final UniformRandomProvider uniform;
  private final ContinuousSampler variation;

  MachineRandom(long seed) {
    uniform = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    variation =
        LogNormalSampler.of(
            ZigguratSampler.NormalizedGaussian.of(uniform), LOG_MEAN, LOG_DEVIATION);
  }

  /** Uniform between 0 and 1. */
  double nextDouble() {
    return uniform.nextDouble();
  }

  boolean nextBoolean(double probability) {
    return uniform.nextDouble() < probability;
  }

  /** A factor of mean 1, by which amounts of work vary. */
  double nextVariation() {
    return variation.sample();
  }
}
