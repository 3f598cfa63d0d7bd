package fordridge.emulator;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Runs the schedulers as in production: in a separate process, started from the same classes. */
final class SchedulerProcess implements SchedulerFleet {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration START_POLL_INTERVAL = Duration.ofMillis(50);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
  private static final String RESIDENT_MEMORY_LABEL = "VmRSS:";
  private static final Pattern REPORTED_METRICS =
      Pattern.compile(
          "fordridge_(bind|loop_lag|decide)_seconds\\{quantile.*"
              + "|fordridge_(offers|outcomes).*|fordridge_streams.*");

  private final File folder;
  private final Process process;
  private final List<Integer> ports = new ArrayList<>();
  private int metricsPort;
  private double cpuSecondsBefore;

  /**
   * Starts the process and waits until it serves clients.
   *
   * @param folder contains placer.conf; logs and the file of ports are written there
   */
  SchedulerProcess(File folder) throws IOException, InterruptedException {
    this.folder = folder;
    File portsFile = new File(folder, "ports.txt");
    Files.deleteIfExists(portsFile.toPath());
    process = start(portsFile);
    boolean isServing = false;
    try {
      awaitStart(portsFile);
      readPorts(portsFile);
      isServing = true;
    } finally {
      if (!isServing) {
        process.destroyForcibly();
      }
    }
  }

  private Process start(File portsFile) throws IOException {
    return new ProcessBuilder(
            ProcessHandle.current().info().command().orElse("java"),
            "-Xmx3g",
            "-cp",
            System.getProperty("java.class.path"),
            "fordridge.Main",
            "placer",
            "--config",
            new File(folder, "placer.conf").getPath(),
            "--ports-file",
            portsFile.getPath())
        .redirectError(new File(folder, "placer.log"))
        .redirectOutput(new File(folder, "placer.out"))
        .start();
  }

  private void awaitStart(File portsFile) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (!portsFile.exists()) {
      if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
        throw new IOException(
            "the schedulers did not start: the process exited or did not write "
                + portsFile
                + " within "
                + START_TIMEOUT
                + "; its log: "
                + Files.readString(new File(folder, "placer.log").toPath()));
      }
      Thread.sleep(START_POLL_INTERVAL.toMillis());
    }
  }

  private void readPorts(File portsFile) throws IOException {
    for (String line : Files.readAllLines(portsFile.toPath())) {
      String[] nameAndPort = line.split(" ", 2);
      int port = Integer.parseInt(nameAndPort[1]);
      if (nameAndPort[0].equals("metrics")) {
        metricsPort = port;
      } else {
        ports.add(port);
      }
    }
  }

  @Override
  public int port(int scheduler) {
    return ports.get(scheduler);
  }

  @Override
  public void beginMeasurement() {
    cpuSecondsBefore = cpuSeconds();
  }

  private double cpuSeconds() {
    return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e9;
  }

  @Override
  public String resourceUsage(double seconds) {
    double cpuSeconds = cpuSeconds() - cpuSecondsBefore;
    return String.format(
        "schedulers' process: %.1f s of CPU in %.1f s (%.2f ms a second for each), %s;%n%s",
        cpuSeconds,
        seconds,
        1000 * cpuSeconds / seconds / ports.size(),
        residentMemory(),
        metrics());
  }

  private String residentMemory() {
    File status = new File("/proc/" + process.pid() + "/status");
    try {
      return Files.readAllLines(status.toPath()).stream()
          .filter(line -> line.startsWith(RESIDENT_MEMORY_LABEL))
          .map(line -> line.substring(RESIDENT_MEMORY_LABEL.length()).trim() + " resident")
          .findFirst()
          .orElse("resident memory unknown");
    } catch (IOException e) {
      return "resident memory not read: " + e;
    }
  }

  private String metrics() {
    try (InputStream in =
        URI.create("http://127.0.0.1:" + metricsPort + "/metrics").toURL().openStream()) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      Files.writeString(new File(folder, "metrics.txt").toPath(), text);
      StringBuilder reported = new StringBuilder();
      text.lines()
          .filter(line -> REPORTED_METRICS.matcher(line).matches())
          .forEach(line -> reported.append("  ").append(line).append('\n'));
      return reported.toString();
    } catch (IOException e) {
      return "metrics not read: " + e + "\n";
    }
  }

  @Override
  public boolean stop() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(STOP_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
      process.destroyForcibly();
      return false;
    }
    return process.exitValue() == 0;
  }

  @Override
  public void close() {
    if (process.isAlive()) {
      try {
        stop();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
