package fordridge.faults;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * One connection of a fake peer, which reads lines on its own thread and writes lines from any
 * thread.
 */
final class PeerConnection {
  private static final long MAX_INPUT_WAIT_MILLIS = 100;

  private final Socket socket;
  private volatile boolean isOpen = true;
  private volatile boolean wasReset;
  private volatile long readsStoppedUntilNanos;

  /** Starts to read: calls {@code onLine} with each line, and {@code onEnd} once at the end. */
  PeerConnection(Socket socket, Consumer<String> onLine, Runnable onEnd) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    Thread reader = new Thread(() -> read(onLine, onEnd), "peer-reader");
    reader.setDaemon(true);
    reader.start();
  }

  private void read(Consumer<String> onLine, Runnable onEnd) {
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        awaitReadsResumed();
        onLine.accept(line);
      }
    } catch (IOException | InterruptedException e) {
      // A lost connection is handled as a closed one.
    }
    isOpen = false;
    onEnd.run();
  }

  private void awaitReadsResumed() throws InterruptedException {
    long millis = (readsStoppedUntilNanos - System.nanoTime()) / 1_000_000;
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  /** Reads nothing for this time, starting with the next line. */
  void stopReading(long millis) {
    readsStoppedUntilNanos = System.nanoTime() + millis * 1_000_000;
  }

  /**
   * Waits until the reader has taken all that has arrived, at most {@link #MAX_INPUT_WAIT_MILLIS}.
   * A reset discards what the reader has not taken.
   */
  void awaitInputRead() {
    long startNanos = System.nanoTime();
    while (hasUnreadInput() && System.nanoTime() - startNanos < MAX_INPUT_WAIT_MILLIS * 1_000_000) {
      Thread.onSpinWait();
    }
  }

  private boolean hasUnreadInput() {
    try {
      return isOpen && socket.getInputStream().available() > 0;
    } catch (IOException e) {
      return false;
    }
  }

  boolean isOpen() {
    return isOpen;
  }

  /** Writes a line; false if the connection is closed or lost. */
  synchronized boolean send(String line) {
    if (!isOpen) {
      return false;
    }
    try {
      socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Writes raw text without a line terminator. */
  synchronized void sendRaw(String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      isOpen = false;
    }
  }

  void close() {
    isOpen = false;
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }

  /** Whether this peer, and not the other, has ended the connection by a reset. */
  boolean wasReset() {
    return wasReset;
  }

  /** Closes with a TCP reset instead of a FIN. */
  void reset() {
    wasReset = isOpen || wasReset;
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // Already closed.
    }
    close();
  }
}
