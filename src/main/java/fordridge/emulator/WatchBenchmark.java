package fordridge.emulator;

import com.typesafe.config.ConfigFactory;
import fordridge.discovery.MachineListSource;
import fordridge.etcd.EtcdMachineList;
import fordridge.model.Machine.Lifecycle;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Measures the cost of watching the machine list in the emulated etcd by the number of machines:
 * the latency of a change, the time to catch up with many changes and to load a new snapshot, CPU
 * time and memory.
 */
public final class WatchBenchmark {
  private static final String PREFIX = "/fordridge";
  private static final int PROGRESS_INTERVAL_MILLIS = 200;
  private static final int LATENCY_CHANGES = 200;
  private static final int CATCH_UP_CHANGES = 10_000;
  private static final int CATCH_UP_BATCH = 100;
  private static final long MAX_LATENCY_US = 60_000_000L;
  private static final Duration WAIT_TIMEOUT = Duration.ofMinutes(2);

  /** The name of the threads on which the machine lists run. */
  private static final String WATCH_THREAD_NAME = "etcd";

  private final EmulatedEtcd etcd;
  private final int machines;
  private final List<EtcdMachineList> lists = new ArrayList<>();
  private final ConcurrentHistogram latencyUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);
  private final Map<String, Long> changedAtNanos = new ConcurrentHashMap<>();
  private final AtomicInteger receivedChanges = new AtomicInteger();

  private WatchBenchmark(EmulatedEtcd etcd, int machines) {
    this.etcd = etcd;
    this.machines = machines;
  }

  /**
   * Runs the benchmark and prints a row for each number of machines.
   *
   * @param sizes the numbers of machines to measure
   * @param listCount the number of machine lists that watch, all in this process
   */
  public static void run(int[] sizes, int listCount, PrintStream out)
      throws IOException, InvalidSettingsException, InterruptedException {
    out.printf(
        "%9s %6s %11s %11s %12s %11s %13s %12s%n",
        "machines",
        "lists",
        "known p50",
        "known p99",
        "catch up",
        "resync",
        "CPU a change",
        "heap a list");
    for (int machines : sizes) {
      try (EmulatedEtcd etcd = new EmulatedEtcd(0, PROGRESS_INTERVAL_MILLIS)) {
        WatchBenchmark benchmark = new WatchBenchmark(etcd, machines);
        try {
          out.println(benchmark.measure(listCount));
        } finally {
          benchmark.lists.forEach(EtcdMachineList::close);
        }
      }
    }
  }

  private String measure(int listCount)
      throws IOException, InvalidSettingsException, InterruptedException {
    publishMachines();
    long heapBefore = usedHeapBytes();
    startLists(listCount);
    double heapMegabytes = (usedHeapBytes() - heapBefore) / 1e6 / listCount;
    measureLatency();
    long cpuBefore = watchCpuNanos();
    double catchUpMillis = measureCatchUp();
    double cpuMicros = (watchCpuNanos() - cpuBefore) / 1e3 / CATCH_UP_CHANGES / listCount;
    double resyncMillis = measureResync();
    return String.format(
        Locale.ROOT,
        "%9d %6d %8.2f ms %8.2f ms %9.0f ms %8.0f ms %10.1f us %9.2f MB",
        machines,
        listCount,
        latencyUs.getValueAtPercentile(50) / 1000.0,
        latencyUs.getValueAtPercentile(99) / 1000.0,
        catchUpMillis,
        resyncMillis,
        cpuMicros,
        heapMegabytes);
  }

  private void publishMachines() {
    Map<String, String> records = new LinkedHashMap<>();
    for (int i = 0; i < machines; i++) {
      records.put(machineKey(i), machineRecord(i, 0));
    }
    etcd.putAll(records);
  }

  private void startLists(int count) throws IOException, InvalidSettingsException {
    DeploymentSettings settings = settings();
    for (int i = 0; i < count; i++) {
      EtcdMachineList list = new EtcdMachineList(settings, "p" + i, i + 1);
      lists.add(list);
      list.watch(this::received);
    }
  }

  private DeploymentSettings settings() throws InvalidSettingsException {
    String text =
        "kinds = [{ name = k, cores = 28, memory = 60 }]\n"
            + "flavours = [{ name = f }]\n"
            + "machines.source = etcd\n"
            + "etcd { endpoints = [\"127.0.0.1:"
            + etcd.port()
            + "\"], prefix = \""
            + PREFIX
            + "\", register = false, silence = 5s, start_within = 60s, call = 30s }";
    return DeploymentSettings.read(ConfigFactory.parseString(text), new File("."));
  }

  private void received(MachineListSource.Update update) {
    long nowNanos = System.nanoTime();
    if (update.isSnapshot()) {
      return;
    }
    for (MachineListSource.Entry entry : update.entries()) {
      Long changedAt = changedAtNanos.get(entry.name());
      boolean isOpenOrDraining =
          entry.lifecycle() == Lifecycle.DRAINING || entry.lifecycle() == Lifecycle.LIVE;
      if (changedAt != null && isOpenOrDraining) {
        latencyUs.recordValue(Math.min((nowNanos - changedAt) / 1000, MAX_LATENCY_US));
        receivedChanges.incrementAndGet();
      }
    }
  }

  /** Begins and ends drains one at a time, and records the latency of each change. */
  private void measureLatency() throws InterruptedException {
    for (int i = 0; i < LATENCY_CHANGES; i++) {
      String name = machineName(i % machines);
      boolean isDrained = i / machines % 2 == 0;
      changedAtNanos.put(name, System.nanoTime());
      if (isDrained) {
        etcd.put(drainKey(name), "{\"v\":2}");
      } else {
        etcd.delete(drainKey(name));
      }
      int expected = (i + 1) * lists.size();
      await(() -> receivedChanges.get() >= expected);
    }
    changedAtNanos.clear();
  }

  /** Writes many changes at once; returns the time in ms until all lists have received them. */
  private double measureCatchUp() throws InterruptedException {
    long startNanos = System.nanoTime();
    for (int first = 0; first < CATCH_UP_CHANGES; first += CATCH_UP_BATCH) {
      Map<String, String> batch = new LinkedHashMap<>();
      for (int i = first; i < first + CATCH_UP_BATCH; i++) {
        int machine = i % machines;
        batch.put(machineKey(machine), machineRecord(machine, first / CATCH_UP_BATCH + 1));
      }
      etcd.putAll(batch);
    }
    etcd.put(drainKey(machineName(0)), "{\"v\":2,\"reason\":\"last\"}");
    etcd.delete(machineKey(machines - 1));
    for (EtcdMachineList list : lists) {
      await(() -> !hasLastMachine(list));
    }
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /**
   * Compacts a change before the lists can receive it, so that they have to load a new snapshot;
   * returns the time in ms until all lists have done so.
   */
  private double measureResync() throws InterruptedException {
    long[] resyncsBefore = lists.stream().mapToLong(EtcdMachineList::snapshotCount).toArray();
    etcd.setLeaderless(true);
    etcd.put(machineKey(machines - 1), machineRecord(machines - 1, 3));
    etcd.compactToLatestRevision();
    long startNanos = System.nanoTime();
    etcd.setLeaderless(false);
    for (int i = 0; i < lists.size(); i++) {
      EtcdMachineList list = lists.get(i);
      long before = resyncsBefore[i];
      await(() -> list.snapshotCount() > before && hasLastMachine(list));
    }
    return (System.nanoTime() - startNanos) / 1e6;
  }

  private boolean hasLastMachine(EtcdMachineList list) {
    String name = machineName(machines - 1);
    return list.latest().entries().stream().anyMatch(entry -> entry.name().equals(name));
  }

  private static String machineName(int machine) {
    return String.format("m%06d", machine);
  }

  private static String machineKey(int machine) {
    return PREFIX + "/machines/" + machineName(machine);
  }

  private static String drainKey(String machineName) {
    return PREFIX + "/drains/" + machineName;
  }

  private static String machineRecord(int machine, int version) {
    return "{\"v\":2,\"address\":\"127.0.0.1:"
        + (1024 + machine % 60000)
        + "\",\"kind\":\"k\",\"zone\":\"z"
        + machine % 3
        + "\",\"cell\":"
        + machine / 8
        + ",\"cores\":28,\"memory\":60,\"free_cores\":"
        + version % 28
        + "}";
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + WAIT_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException(
            "the machine lists did not receive the expected changes within " + WAIT_TIMEOUT);
      }
      Thread.sleep(0, 200_000);
    }
  }

  private static long usedHeapBytes() throws InterruptedException {
    System.gc();
    Thread.sleep(100);
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Returns the CPU time that the threads of the machine lists have used so far. */
  private static long watchCpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      ThreadInfo thread = threads.getThreadInfo(id);
      if (thread != null && thread.getThreadName().equals(WATCH_THREAD_NAME)) {
        sum += Math.max(0, threads.getThreadCpuTime(id));
      }
    }
    return sum;
  }
}
