package fordridge.json;

import fordridge.json.JsonFields.MalformedInputException;
import java.net.InetSocketAddress;

/** Parses socket addresses that need no name resolution, which would block the event loop. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /** Parses an address such as {@code 127.0.0.1:5080} or {@code [::1]:5080}. */
  public static InetSocketAddress parse(String hostAndPort) {
    int colon = hostAndPort.lastIndexOf(':');
    String host = hostAndPort.substring(0, Math.max(0, colon));
    if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:]+\\]?")) {
      throw malformed(hostAndPort);
    }
    try {
      return new InetSocketAddress(host, Integer.parseInt(hostAndPort.substring(colon + 1)));
    } catch (IllegalArgumentException e) {
      throw malformed(hostAndPort);
    }
  }

  private static MalformedInputException malformed(String hostAndPort) {
    return new MalformedInputException("not a numeric IP address and port: " + hostAndPort);
  }
}
