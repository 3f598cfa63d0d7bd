package fordridge.review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A scheduler on gRPC as a process of its own, with its settings. All schedulers of a case read one
 * machine list file.
 */
final class Placer {
  private final Path folder;
  private final Record record;
  private final int port;
  private final String name;
  private Process process;

  /**
   * {@code settings} are added to the name, the port and the machine list.
   *
   * @param position from 0, among {@code count} schedulers of the cluster
   */
  Placer(Path folder, int position, int count, String settings, Record record)
      throws IOException {
    name = "placer-" + (char) ('a' + position);
    this.folder = folder;
    this.record = record;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    Files.writeString(
        folder.resolve(name + ".conf"),
        "placer { name = \""
            + name
            + "\", listen.port = "
            + port
            + ", position = "
            + position
            + ", placers = "
            + count
            + " }\nmachines.list = \"machines.conf\"\n"
            + settings);
  }

  int port() {
    return port;
  }

  /** Starts the process and waits until it listens. */
  void start() throws Exception {
    File log = folder.resolve(name + ".log").toFile();
    process =
        new ProcessBuilder(
                "java", "-jar", "target/fordridge.jar", "placer", "--config",
                folder.resolve(name + ".conf").toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    record.line(name, "process " + process.pid() + " started");
    for (int i = 0; i < 600; i++) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        record.line(name, "listens");
        return;
      } catch (IOException e) {
        if (!process.isAlive()) {
          throw new IllegalStateException("the scheduler ended: " + Files.readString(log.toPath()));
        }
        Thread.sleep(50);
      }
    }
    throw new IllegalStateException("the scheduler does not listen");
  }

  /** SIGKILL. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
    record.line(name, "killed (SIGKILL)");
  }

  /** SIGTERM; waits until the process has ended. */
  void term() throws InterruptedException {
    record.line(name, "SIGTERM");
    process.destroy();
    process.waitFor();
    record.line(name, "ended with code " + process.exitValue());
  }

  void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
