package fordridge.server.json;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A scheduler process that {@code deploy/serve.sh} starts, with the heap and all other limits that
 * the script sets for the configured memory. Only the class path is the test's own, since the
 * libraries of the deployment are not packaged yet when tests run.
 */
final class ServeScriptProcess implements AutoCloseable {
  private static final long START_TIMEOUT_SECONDS = 30;
  private static final int LAST_LINES = 10;
  private static final Pattern SERVING = Pattern.compile(" serving at /127\\.0\\.0\\.1:([0-9]+)");

  /** Runs the real java with the arguments of the script, except its class path. */
  private static final String JAVA_WRAPPER =
      """
      #!/bin/bash
      exec "$REAL_JAVA" "${@:1:$#-4}" -cp "$TEST_CLASS_PATH" "${@: -2}"
      """;

  private final Process process;
  private final List<String> log = new ArrayList<>();
  private final CompletableFuture<Integer> port = new CompletableFuture<>();

  /** Starts a process with this configuration, and returns once it serves. */
  ServeScriptProcess(Path configuration) throws Exception {
    Path directory = Files.createTempDirectory("serve");
    Path wrapper = directory.resolve("java");
    Files.writeString(wrapper, JAVA_WRAPPER);
    Files.setPosixFilePermissions(wrapper, PosixFilePermissions.fromString("rwx------"));
    ProcessBuilder builder =
        new ProcessBuilder("/bin/bash", "deploy/serve.sh").redirectErrorStream(true);
    builder.environment().put("PATH", directory + ":" + System.getenv("PATH"));
    builder
        .environment()
        .put("REAL_JAVA", Path.of(System.getProperty("java.home"), "bin", "java").toString());
    builder.environment().put("TEST_CLASS_PATH", System.getProperty("java.class.path"));
    builder.environment().put("LB_CONFIG", configuration.toString());
    process = builder.start();
    Thread reader = new Thread(this::readLog, "serve-log");
    reader.setDaemon(true);
    reader.start();
    port.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void readLog() {
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        synchronized (log) {
          log.add(line);
        }
        Matcher serving = SERVING.matcher(line);
        if (serving.find()) {
          port.complete(Integer.valueOf(serving.group(1)));
        }
      }
    } catch (IOException e) {
      // The process has exited.
    }
    port.completeExceptionally(new IOException("the process exited; log: " + lastLines()));
  }

  /** Opens a client's connection. */
  Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), port.join());
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** The last lines of the process's output so far. */
  List<String> lastLines() {
    synchronized (log) {
      return List.copyOf(log.subList(Math.max(0, log.size() - LAST_LINES), log.size()));
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
