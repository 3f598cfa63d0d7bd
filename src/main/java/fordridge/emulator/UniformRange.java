package fordridge.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** A range from which values are drawn with a uniform distribution. */
record UniformRange(double min, double max) {
  double draw(UniformRandomProvider random) {
    return min + random.nextDouble() * (max - min);
  }
}
