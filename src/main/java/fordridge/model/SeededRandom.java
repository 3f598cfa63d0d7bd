package fordridge.model;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** Numbers from 0 to under 1, drawn from the instance's seed and a counter. */
public final class SeededRandom {
  private final CRC32 crc = new CRC32();
  private final ByteBuffer draw = ByteBuffer.allocate(16);
  private final long seed;
  private long draws;

  public SeededRandom(long seed) {
    this.seed = seed;
  }

  public double next() {
    draw.clear();
    draw.putLong(seed).putLong(draws++);
    crc.reset();
    crc.update(draw.array());
    return crc.getValue() / 4294967296.0;
  }
}
