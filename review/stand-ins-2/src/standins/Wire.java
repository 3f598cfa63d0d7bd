package standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** One TCP connection that carries lines; a thread reads it. */
final class Wire {
  final Socket socket;
  final String name;
  private final OutputStream out;
  private volatile boolean isOpen = true;

  Wire(Socket socket, String name) throws IOException {
    this.socket = socket;
    this.name = name;
    socket.setTcpNoDelay(true);
    out = socket.getOutputStream();
  }

  /** Reads lines until the end or an error of the connection, then calls {@code onClosed}. */
  void read(Consumer<String> onLine, Runnable onClosed) {
    Thread reader =
        new Thread(
            () -> {
              try (BufferedReader in =
                  new BufferedReader(
                      new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                  onLine.accept(line);
                }
              } catch (IOException e) {
                // The end of the connection, as below.
              } finally {
                isOpen = false;
                close();
                onClosed.run();
              }
            },
            name);
    reader.setDaemon(true);
    reader.start();
  }

  boolean isOpen() {
    return isOpen;
  }

  /** Writes a line; returns false if the connection has ended. */
  boolean write(String line) {
    if (!isOpen) {
      return false;
    }
    try {
      synchronized (out) {
        out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      return true;
    } catch (IOException e) {
      isOpen = false;
      return false;
    }
  }

  void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  /** Closes the connection with a reset. */
  void reset() {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // Closed already.
    }
    close();
  }
}
