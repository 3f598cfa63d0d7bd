package fordridge.model;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Encodes {@link GossipMessage}s as text: three characters for the machine's short name, then one
 * printable character per value.
 *
 * <p>Gossip is priced per byte at each receiver, so messages contain no type: it follows from their
 * length, as the types have no, one and two values.
 */
public final class GossipCodec {
  private static final char FIRST_DIGIT = '!';
  private static final int DIGITS = '~' - FIRST_DIGIT + 1;
  private static final int NAME_LENGTH = 3;

  private GossipCodec() {}

  /**
   * The short name of a machine, a hash of its id. Messages about machines that share a name are
   * ignored.
   */
  public static String machineName(long id) {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(Long.BYTES).putLong(id).array());
    long remaining = crc.getValue();
    StringBuilder name = new StringBuilder(NAME_LENGTH);
    for (int i = 0; i < NAME_LENGTH; i++) {
      name.append(digit((int) (remaining % DIGITS)));
      remaining /= DIGITS;
    }
    return name.toString();
  }

  /** Encodes that a machine does not respond. */
  public static String unreachable(Machine machine) {
    return machineName(machine.id);
  }

  /** Encodes that a machine rejects VMs of the tenant class with that index. */
  public static String tenantClassRejected(Machine machine, int tenantClass) {
    return machineName(machine.id) + digit(tenantClass);
  }

  /** Encodes the last load report of a machine. */
  public static String loadReported(Machine machine) {
    char usedCores = share(1 - machine.spareCores / machine.cores);
    char usedMemory = share(1 - machine.spareMemory / machine.memory);
    return machineName(machine.id) + usedCores + usedMemory;
  }

  /** Decodes a message; null if its length is not that of a message. */
  public static GossipMessage decode(String text) {
    int valueCount = text.length() - NAME_LENGTH;
    if (valueCount < 0 || valueCount > 2) {
      return null;
    }
    String name = text.substring(0, NAME_LENGTH);
    return switch (valueCount) {
      case 0 -> new GossipMessage.Unreachable(name);
      case 1 -> new GossipMessage.TenantClassRejected(name, value(text.charAt(NAME_LENGTH)));
      default ->
          new GossipMessage.LoadReported(
              name, share(text.charAt(NAME_LENGTH)), share(text.charAt(NAME_LENGTH + 1)));
    };
  }

  /** Encodes a whole number as one character; numbers out of range are clamped. */
  public static char digit(int number) {
    return (char) (FIRST_DIGIT + Math.max(0, Math.min(number, DIGITS - 1)));
  }

  /** Encodes a share from 0 to 1 as one character. */
  public static char share(double share) {
    return digit((int) Math.round(share * (DIGITS - 1)));
  }

  private static int value(char digit) {
    return digit - FIRST_DIGIT;
  }

  private static double share(char digit) {
    return Math.max(0, Math.min(value(digit) / (DIGITS - 1.0), 1));
  }
}
