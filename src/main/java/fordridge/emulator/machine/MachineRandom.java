package fordridge.emulator.machine;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** A machine's random number generator; the same seed gives the same numbers. */
final class MachineRandom {
  /** Minus half the variance of the logarithm, so that the mean of the factors is 1. */
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

  /** A uniform number from 0 (inclusive) to 1 (exclusive). */
  double nextDouble() {
    return uniform.nextDouble();
  }

  boolean nextBoolean(double probability) {
    return uniform.nextDouble() < probability;
  }

  /** A log-normal factor of mean 1, by which amounts of work vary. */
  double nextVariation() {
    return variation.sample();
  }
}
