package fordridge.json;

import fordridge.machine.ConnectFailure;
import io.netty.channel.ConnectTimeoutException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Locale;

/** Tells from the exception of a failed connect whose failure it is. */
final class ConnectFailures {
  private ConnectFailures() {}

  /**
   * What the exception proves. A timeout that the kernel reports (ETIMEDOUT) comes as a {@link
   * ConnectException} as a refusal does, and differs in its message alone.
   */
  static ConnectFailure classify(Throwable cause) {
    if (cause instanceof ConnectTimeoutException || cause instanceof NoRouteToHostException) {
      return ConnectFailure.UNREACHABLE;
    }
    if (cause instanceof BindException) {
      return ConnectFailure.LOCAL;
    }
    if (cause instanceof ConnectException) {
      String message = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
      if (message.contains("refused")) {
        return ConnectFailure.REFUSED;
      }
      return message.contains("network is unreachable")
          ? ConnectFailure.LOCAL
          : ConnectFailure.UNREACHABLE;
    }
    return ConnectFailure.LOCAL;
  }
}
