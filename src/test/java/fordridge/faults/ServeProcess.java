package fordridge.faults;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One {@code serve} process with the heap and collector of {@code deploy/serve.sh}. */
final class ServeProcess implements AutoCloseable {
  private static final long START_TIMEOUT_SECONDS = 20;

  private final Process process;
  private final List<String> log = new ArrayList<>();
  private final CountDownLatch listening = new CountDownLatch(1);

  /**
   * Starts a process with this configuration; returns before it listens.
   *
   * @param commandPrefix a command that executes the command appended to it, such as taskset, or
   *     empty
   */
  ServeProcess(Path configuration, Optional<SystemCallShim> shim, List<String> commandPrefix)
      throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx32m",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.noPreferDirect=true",
            "-cp",
            System.getProperty("java.class.path"),
            "fordridge.Main",
            "serve");
    if (Boolean.getBoolean("fordridge.faults.trace")) {
      builder.command().add(1, "-Dfordridge.trace=true");
    }
    builder.command().addAll(0, commandPrefix);
    builder.redirectErrorStream(true);
    builder.environment().put("LB_CONFIG", configuration.toString());
    shim.ifPresent(each -> each.addTo(builder.environment()));
    process = builder.start();
    Thread reader = new Thread(this::readLog, "serve-log");
    reader.setDaemon(true);
    reader.start();
  }

  private void readLog() {
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        synchronized (log) {
          log.add(line);
        }
        if (line.contains(" serving at ")) {
          listening.countDown();
        }
      }
    } catch (IOException e) {
      // The process has exited.
    }
    listening.countDown();
  }

  /** Waits until the process listens. */
  void awaitListening() throws IOException, InterruptedException {
    if (!listening.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS) || !process.isAlive()) {
      throw new IOException("serve process exited or did not listen in time; log: " + log());
    }
  }

  /** Sends a signal by its name, such as TERM or STOP. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Waits for the process to exit; false if it is still running after that time. */
  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** A copy of the process's output so far. */
  List<String> log() {
    synchronized (log) {
      return List.copyOf(log);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
