package fordridge.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A TCP proxy on loopback that can reset its connections and keep them from coming up again. */
final class Proxy {
  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final int target;
  private final List<Socket> sockets = new ArrayList<>();
  private boolean down;
  private boolean swallowing;
  private String swallowAfter;

  Proxy(int target) throws IOException {
    this.target = target;
    daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Resets all connections; while {@code down}, further ones are reset as they come up. */
  synchronized void reset(boolean nowDown) throws IOException {
    down = nowDown;
    for (Socket socket : sockets) {
      resetSocket(socket);
    }
    sockets.clear();
  }

  /** Ends the state of {@code reset(true)}. */
  synchronized void up() {
    down = false;
  }

  /** Whether what the target sends is lost from now on; what goes to it passes. */
  synchronized void setSwallowing(boolean on) {
    swallowing = on;
    swallowAfter = null;
  }

  /** From the first bytes to the target on that contain this text, what it sends is lost. */
  synchronized void swallowAfter(String text) {
    swallowAfter = text;
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listener.accept();
        synchronized (this) {
          if (down) {
            resetSocket(near);
            continue;
          }
          Socket far = new Socket();
          try {
            far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 1000);
          } catch (IOException e) {
            resetSocket(near);
            continue;
          }
          near.setTcpNoDelay(true);
          far.setTcpNoDelay(true);
          sockets.add(near);
          sockets.add(far);
          daemon(() -> copy(near, far, false));
          daemon(() -> copy(far, near, true));
        }
      }
    } catch (IOException e) {
      // The proxy was closed.
    }
  }

  private void copy(Socket from, Socket to, boolean fromTarget) {
    byte[] buffer = new byte[16384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        boolean lost;
        synchronized (this) {
          if (!fromTarget
              && swallowAfter != null
              && new String(buffer, 0, n, StandardCharsets.ISO_8859_1).contains(swallowAfter)) {
            swallowing = true;
          }
          lost = fromTarget && swallowing;
        }
        if (!lost) {
          out.write(buffer, 0, n);
          out.flush();
        }
      }
      to.shutdownOutput();
    } catch (IOException e) {
      resetSocket(from);
      resetSocket(to);
    }
  }

  private static void resetSocket(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }
}
