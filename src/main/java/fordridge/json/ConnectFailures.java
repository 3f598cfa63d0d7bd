package fordridge.json;

import fordridge.machine.ConnectFailure;
import io.netty.channel.ConnectTimeoutException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Locale;

/** Classifies the exceptions of failed connects. */
final class ConnectFailures {
  private ConnectFailures() {}

  /**
   * Returns the failure that the exception proves. A timeout that the kernel reports (ETIMEDOUT) is
   * a {@link ConnectException}, as a refused connection is; only the message differs.
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
