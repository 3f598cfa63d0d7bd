package fordridge.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: a line for each event, with milliseconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;
  private boolean closed;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a line; without effect once the record is closed. */
  synchronized void line(String who, String what) {
    if (closed) {
      return;
    }
    String text = String.format("%6d ms  %-10s %s", millis(), who, what);
    out.println(text);
    out.flush();
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    closed = true;
    out.close();
  }
}
