package fordridge.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** A range of values, drawn from uniformly. */
record UniformRange(double min, double max) {
  double draw(UniformRandomProvider random) {
    return min + random.nextDouble() * (max - min);
  }
}
