package fordridge.emulator;

import fordridge.observability.Metrics;
import fordridge.server.grpc.PlacerProcess;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import java.io.IOException;

/** Runs the schedulers in the emulator's own process. */
final class InProcessSchedulers implements SchedulerFleet {
  private final PlacerProcess command;
  private boolean isStopped;

  InProcessSchedulers(DeploymentSettings settings) throws IOException, InvalidSettingsException {
    command = new PlacerProcess(settings);
  }

  @Override
  public int port(int scheduler) {
    return command.port(scheduler);
  }

  @Override
  public void beginMeasurement() {
    // Nothing to reset: the metrics count from the schedulers' start, and the CPU time of the
    // schedulers cannot be told apart from the emulator's.
  }

  @Override
  public String resourceUsage(double seconds) {
    Metrics metrics = command.metrics();
    return String.format(
        "in one process with the emulator; %.0f offers, loop lag p99 %.1f ms, input p50 "
            + "%.3f and p99 %.2f ms, %d streams to machines open",
        metrics.offerCount(),
        metrics.percentileMillis(Metrics.Latency.EVENT_LOOP_LAG, 0.99),
        metrics.percentileMillis(Metrics.Latency.DECISION, 0.5),
        metrics.percentileMillis(Metrics.Latency.DECISION, 0.99),
        command.establishedStreams());
  }

  @Override
  public boolean stop() throws InterruptedException {
    isStopped = true;
    return command.shutdown();
  }

  @Override
  public void close() {
    if (!isStopped) {
      try {
        stop();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
