package fordridge.model;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * The text form of {@link GossipMessage}: three characters name the machine, one printable
 * character each holds a figure.
 *
 * <p>Gossip is paid by the byte at each receiver, so the kind of a message shows only in its
 * length: none, one or two figures.
 */
public final class GossipCodec {
  private static final char FIRST_DIGIT = '!';
  private static final int DIGITS = '~' - FIRST_DIGIT + 1;
  private static final int NAME_LENGTH = 3;

  private GossipCodec() {}

  /**
   * The short name of a machine: a hash of its id. Where two machines have the same name, messages
   * on neither are used.
   */
  public static String machineName(long id) {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(Long.BYTES).putLong(id).array());
    long rest = crc.getValue();
    StringBuilder name = new StringBuilder(NAME_LENGTH);
    for (int i = 0; i < NAME_LENGTH; i++) {
      name.append(digit((int) (rest % DIGITS)));
      rest /= DIGITS;
    }
    return name.toString();
  }

  /** Tells that a machine does not respond. */
  public static String unreachable(Machine machine) {
    return machineName(machine.id);
  }

  /** Tells that a machine rejects VMs of the tenant class with that index. */
  public static String tenantClassRejected(Machine machine, int tenantClass) {
    return machineName(machine.id) + digit(tenantClass);
  }

  /** Tells the last load report of a machine. */
  public static String loadReported(Machine machine) {
    char usedCores = share(1 - machine.spareCores / machine.cores);
    char usedMemory = share(1 - machine.spareMemory / machine.memory);
    return machineName(machine.id) + usedCores + usedMemory;
  }

  /** Reads a message; null if it is none. */
  public static GossipMessage decode(String text) {
    int figures = text.length() - NAME_LENGTH;
    if (figures < 0 || figures > 2) {
      return null;
    }
    String name = text.substring(0, NAME_LENGTH);
    return switch (figures) {
      case 0 -> new GossipMessage.Unreachable(name);
      case 1 -> new GossipMessage.TenantClassRejected(name, value(text.charAt(NAME_LENGTH)));
      default ->
          new GossipMessage.LoadReported(
              name, share(text.charAt(NAME_LENGTH)), share(text.charAt(NAME_LENGTH + 1)));
    };
  }

  /** The character for a whole number; numbers out of range become the nearest that is in it. */
  public static char digit(int number) {
    return (char) (FIRST_DIGIT + Math.max(0, Math.min(number, DIGITS - 1)));
  }

  /** The character for a share from 0 to 1. */
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
