package fordridge.model;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * The alphabet of notes between placers: one printable character holds a figure, three a machine's
 * name. Notes are paid by the byte at every placer that gets them, so they hold nothing else. It
 * only writes and reads.
 */
public final class GossipCodec {
  private static final char FIRST = '!';
  private static final int DIGITS = '~' - FIRST + 1;

  private GossipCodec() {}

  /** Short for a machine's id; two in a fleet may bear the same, then notes on neither are read. */
  public static String name(long id) {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(8).putLong(id).array());
    long left = crc.getValue();
    StringBuilder s = new StringBuilder(3);
    for (int i = 0; i < 3; i++, left /= DIGITS) {
      s.append(whole((int) (left % DIGITS)));
    }
    return s.toString();
  }

  public static char whole(int n) {
    return (char) (FIRST + Math.max(0, Math.min(n, DIGITS - 1)));
  }

  public static int whole(char c) {
    return c - FIRST;
  }

  /** A share from 0 to 1. */
  public static char share(double x) {
    return whole((int) Math.round(x * (DIGITS - 1)));
  }

  public static double share(char c) {
    return Math.max(0, Math.min(whole(c) / (DIGITS - 1.0), 1));
  }
}
