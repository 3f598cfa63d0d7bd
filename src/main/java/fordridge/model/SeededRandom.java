package fordridge.model;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Pseudorandom numbers from 0 (inclusive) to 1 (exclusive): the CRC-32 of the seed and a counter,
 * so that the same seed gives the same numbers on every platform. Not cryptographically secure.
 */
public final class SeededRandom {
  private static final double RANGE = 4294967296.0;

  private final CRC32 crc = new CRC32();
  private final ByteBuffer input = ByteBuffer.allocate(2 * Long.BYTES);
  private final long seed;
  private long draws;

  /** Creates the sequence of a seed. */
  public SeededRandom(long seed) {
    this.seed = seed;
  }

  /** The next number. */
  public double nextDouble() {
    input.clear();
    input.putLong(seed).putLong(draws++);
    crc.reset();
    crc.update(input.array());
    return crc.getValue() / RANGE;
  }
}
