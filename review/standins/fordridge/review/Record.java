package fordridge.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: a line for each event, with milliseconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String who, String what) {
    String text = String.format("%6d ms  %-10s %s", millis(), who, what);
    out.println(text);
    out.flush();
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
