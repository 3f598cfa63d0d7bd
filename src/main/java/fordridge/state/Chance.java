package fordridge.state;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** Numbers from 0 to under 1, drawn from the instance's seed and a counter. */
public final class Chance {
    private final CRC32 crc = new CRC32();
    private final ByteBuffer draw = ByteBuffer.allocate(16);
    private final long seed;
    private long draws;

    public Chance(long seed) {
        this.seed = seed;
    }

    public double next() {
        draw.clear();
        draw.putLong(seed).putLong(draws++);
        crc.reset();
        crc.update(draw.array());
        return crc.getValue() / 4294967296.0;
    }

    /** The same number wherever it is asked for; mixed past the CRC, whose linearity would pair up neighbours. */
    public static long of(long a, long b) {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(a).putLong(b).array());
        long mixed = crc.getValue() * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 29;
    }
}
