package fordridge.emulator;

/** The real schedulers that a scenario tests. */
interface SchedulerFleet extends AutoCloseable {
  /** Returns the loopback port on which a scheduler serves its client; schedulers count from 0. */
  int port(int scheduler);

  /** Starts to measure resource usage. */
  void beginMeasurement();

  /**
   * Describes the schedulers' resource usage since {@link #beginMeasurement}, possibly in several
   * lines.
   *
   * @param seconds the time since then
   */
  String resourceUsage(double seconds);

  /** Stops the schedulers; returns whether all of them responded to all pending requests. */
  boolean stop() throws InterruptedException;

  /** Stops the schedulers if they still run; an interrupt ends the wait. */
  @Override
  void close();
}
