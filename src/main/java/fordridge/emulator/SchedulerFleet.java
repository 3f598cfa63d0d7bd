package fordridge.emulator;

/** The real schedulers that a scenario runs against. */
interface SchedulerFleet extends AutoCloseable {
  /** The loopback port on which a scheduler, counted from 0, serves its client. */
  int port(int scheduler);

  /** Costs are counted from now on. */
  void beginMeasurement();

  /** What the schedulers cost over so many seconds since the measurement began; some lines. */
  String resourceUsage(double seconds);

  /** Stops the schedulers; true if all of them answered what was pending. */
  boolean stop() throws InterruptedException;

  /** Stops them if they still run; an interrupt ends the wait. */
  @Override
  void close();
}
