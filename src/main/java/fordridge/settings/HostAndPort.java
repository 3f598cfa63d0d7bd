package fordridge.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Validates and parses addresses of the form {@code host:port}. */
public final class HostAndPort {
  private static final Pattern HOST_AND_PORT = Pattern.compile("[^:]+:[0-9]{1,5}");

  private HostAndPort() {}

  /** Whether a string is a host, a colon and a number of at most five digits. */
  public static boolean hasValidForm(String hostAndPort) {
    return HOST_AND_PORT.matcher(hostAndPort).matches();
  }

  /** Whether a string is {@code host:port} with a port of at most {@value Limits#MAX_PORT}. */
  public static boolean isValid(String hostAndPort) {
    return hasValidForm(hostAndPort) && port(hostAndPort) <= Limits.MAX_PORT;
  }

  /**
   * Parses an address and resolves its host name.
   *
   * @throws IllegalArgumentException if the string is not {@code host:port}
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
