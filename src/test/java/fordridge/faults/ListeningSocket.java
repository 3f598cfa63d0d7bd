package fordridge.faults;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.locks.LockSupport;

/** Opens the listening socket of an emulated peer, also where another one has listened before. */
final class ListeningSocket {
  /** A socket that is closed while a thread accepts on it is given back a moment later. */
  private static final long BIND_MILLIS = 2000;

  private static final long RETRY_NANOS = 2_000_000;

  private ListeningSocket() {}

  /** Listens at that address; any port of it if that is zero. */
  static ServerSocket open(InetSocketAddress address, int backlog) throws IOException {
    long until = System.nanoTime() + BIND_MILLIS * 1_000_000;
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
        LockSupport.parkNanos(RETRY_NANOS);
      }
    }
  }
}
