package fordridge.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Addresses written as {@code host:port}. */
public final class HostAndPort {
  private static final Pattern FORM = Pattern.compile("[^:]+:[0-9]{1,5}");

  private HostAndPort() {}

  /** Whether a text is a host, a colon and a number of at most five digits. */
  public static boolean hasValidForm(String hostAndPort) {
    return FORM.matcher(hostAndPort).matches();
  }

  /** Whether a text is a host and a port that exists. */
  public static boolean isValid(String hostAndPort) {
    return hasValidForm(hostAndPort) && port(hostAndPort) <= Limits.MAX_PORT;
  }

  /**
   * The address; the host is looked up.
   *
   * @throws IllegalArgumentException if the text is no {@code host:port}
   */
  public static InetSocketAddress parse(String hostAndPort) {
    int colon = hostAndPort.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("'" + hostAndPort + "' is not host:port");
    }
    return new InetSocketAddress(hostAndPort.substring(0, colon), port(hostAndPort));
  }

  private static int port(String hostAndPort) {
    return Integer.parseInt(hostAndPort.substring(hostAndPort.lastIndexOf(':') + 1));
  }
}
