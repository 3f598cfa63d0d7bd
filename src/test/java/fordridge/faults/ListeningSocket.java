package fordridge.faults;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.locks.LockSupport;

/**
 * Opens the listening socket of a fake peer, also at an address that another peer has just closed.
 */
final class ListeningSocket {
  /** The address of a socket that is closed during a blocked accept is freed a little later. */
  private static final long BIND_TIMEOUT_MILLIS = 2000;

  private static final long BIND_RETRY_NANOS = 2_000_000;

  private ListeningSocket() {}

  /** Listens at that address, or at any port if its port is zero. */
  static ServerSocket open(InetSocketAddress address, int backlog) throws IOException {
    long until = System.nanoTime() + BIND_TIMEOUT_MILLIS * 1_000_000;
    while (true) {
      ServerSocket server = new ServerSocket();
      try {
        server.setReuseAddress(true);
        server.bind(address, backlog);
        return server;
      } catch (BindException e) {
        server.close();
        if (System.nanoTime() > until) {
          throw e;
        }
        LockSupport.parkNanos(BIND_RETRY_NANOS);
      }
    }
  }
}
