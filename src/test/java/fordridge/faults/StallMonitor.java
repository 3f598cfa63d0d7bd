package fordridge.faults;

/**
 * Measures stalls of the test's own process, such as waits for a processor. Messages that its peers
 * read late because of a stall were not sent late by the scheduler.
 */
final class StallMonitor {
  private static final long INTERVAL_MILLIS = 5;
  private static final long WINDOW_NANOS = 2_000_000_000L;

  private static final StallMonitor INSTANCE = new StallMonitor();

  private long longestNanos;
  private long longestAtNanos = System.nanoTime();
  private long checkedAtNanos = System.nanoTime();

  private StallMonitor() {
    Thread thread = new Thread(this::run, "stall-monitor");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    while (true) {
      try {
        Thread.sleep(INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      check();
    }
  }

  private synchronized void check() {
    long nowNanos = System.nanoTime();
    long stalledNanos = nowNanos - checkedAtNanos - INTERVAL_MILLIS * 1_000_000;
    if (stalledNanos >= longestNanos || nowNanos - longestAtNanos > WINDOW_NANOS) {
      longestNanos = Math.max(0, stalledNanos);
      longestAtNanos = nowNanos;
    }
    checkedAtNanos = nowNanos;
  }

  private synchronized long longest() {
    long runningNanos = System.nanoTime() - checkedAtNanos - INTERVAL_MILLIS * 1_000_000;
    return Math.max(longestNanos, runningNanos) / 1_000_000;
  }

  /** The longest stall of the last two seconds, in milliseconds. */
  static long longestMillis() {
    return INSTANCE.longest();
  }
}
