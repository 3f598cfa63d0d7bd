package fordridge.faults;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;

/** Forwards bytes between a listening port and a target port, and injects faults on the way. */
final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 4096;

  private final InetAddress address;
  private final ServerSocket server;
  private final IntSupplier targetPort;
  private final List<ProxiedConnection> connections = new ArrayList<>();
  private volatile int maxWriteBytes = BUFFER_BYTES;
  private volatile long delayMillis;
  private volatile long blockedUntilNanos;
  private volatile long resetNextAfterBytes = Long.MAX_VALUE;

  private static final class ProxiedConnection {
    final Socket downstream;
    final Socket upstream;
    volatile boolean isBlackholed;

    ProxiedConnection(Socket downstream, Socket upstream) {
      this.downstream = downstream;
      this.upstream = upstream;
    }

    void reset() {
      resetSocket(downstream);
      resetSocket(upstream);
    }
  }

  /**
   * A proxy that listens at any port of the address.
   *
   * @param targetPort the port of the same address to connect to, read at each new connection
   */
  FaultProxy(InetAddress address, IntSupplier targetPort) throws IOException {
    this.address = address;
    server = new ServerSocket(0, 256, address);
    this.targetPort = targetPort;
    Thread acceptor = new Thread(this::accept, "proxy");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket downstream = server.accept();
        try {
          connect(downstream);
        } catch (IOException e) {
          resetSocket(downstream);
        }
      }
    } catch (IOException e) {
      // The listening socket was closed.
    }
  }

  private void connect(Socket downstream) throws IOException {
    Socket upstream = new Socket(address, targetPort.getAsInt());
    downstream.setTcpNoDelay(true);
    upstream.setTcpNoDelay(true);
    ProxiedConnection connection = new ProxiedConnection(downstream, upstream);
    synchronized (connections) {
      connections.add(connection);
    }
    long resetAfterBytes = resetNextAfterBytes;
    resetNextAfterBytes = Long.MAX_VALUE;
    pump(connection, downstream, upstream, Long.MAX_VALUE);
    pump(connection, upstream, downstream, resetAfterBytes);
  }

  private void pump(ProxiedConnection connection, Socket from, Socket to, long resetAfterBytes) {
    Thread thread =
        new Thread(
            () -> {
              try {
                copy(connection, from, to, resetAfterBytes);
                to.shutdownOutput();
              } catch (IOException | InterruptedException e) {
                connection.reset();
              }
            },
            "proxy-pump");
    thread.setDaemon(true);
    thread.start();
  }

  private void copy(ProxiedConnection connection, Socket from, Socket to, long resetAfterBytes)
      throws IOException, InterruptedException {
    InputStream in = from.getInputStream();
    OutputStream out = to.getOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    long total = 0;
    for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
      awaitForwarding(connection);
      for (int offset = 0; offset < count; offset += maxWriteBytes) {
        out.write(buffer, offset, Math.min(maxWriteBytes, count - offset));
      }
      total += count;
      if (total >= resetAfterBytes) {
        throw new IOException("byte limit reached: resetting the connection");
      }
    }
  }

  private void awaitForwarding(ProxiedConnection connection) throws InterruptedException {
    if (delayMillis > 0) {
      Thread.sleep(delayMillis);
    }
    while (connection.isBlackholed || System.nanoTime() < blockedUntilNanos) {
      Thread.sleep(5);
    }
  }

  private static void resetSocket(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }

  /** Forwards at most this many bytes in one write. */
  void limitWrites(int bytes) {
    maxWriteBytes = bytes;
  }

  /** Delays the bytes of each read by this time. */
  void delay(long millis) {
    delayMillis = millis;
  }

  /** Forwards nothing for this time; connections stay open. */
  void blockTraffic(long millis) {
    blockedUntilNanos = System.nanoTime() + millis * 1_000_000;
  }

  /** Resets the next connection once the target has sent this many bytes. */
  void resetNextAfter(long bytes) {
    resetNextAfterBytes = bytes;
  }

  /** Forwards nothing more on the connection from this port, and closes neither side. */
  void blackhole(int downstreamPort) {
    synchronized (connections) {
      for (ProxiedConnection connection : connections) {
        connection.isBlackholed |= connection.downstream.getPort() == downstreamPort;
      }
    }
  }

  void resetConnections() {
    List<ProxiedConnection> all;
    synchronized (connections) {
      all = List.copyOf(connections);
      connections.clear();
    }
    all.forEach(ProxiedConnection::reset);
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetConnections();
  }
}
