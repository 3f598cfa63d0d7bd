package fordridge.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** A range of values, drawn from uniformly. */
record Range(double least, double most) {
  double draw(UniformRandomProvider random) {
    return least + random.nextDouble() * (most - least);
  }
}
