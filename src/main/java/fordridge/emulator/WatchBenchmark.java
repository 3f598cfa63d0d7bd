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
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * What following the stand-in for etcd costs, by the number of machines: news, catching up, resync,
 * memory.
 */
public final class WatchBenchmark {
  private static final String PREFIX = "/fordridge";

  private WatchBenchmark() {}

  private static String record(int i, int n) {
    return "{\"v\":2,\"address\":\"127.0.0.1:"
        + (1024 + i % 60000)
        + "\",\"kind\":\"k\",\"zone\":\"z"
        + i % 3
        + "\",\"cell\":"
        + i / 8
        + ",\"cores\":28,\"memory\":60,\"free_cores\":"
        + n % 28
        + "}";
  }

  private static String key(int i) {
    return String.format("%s/machines/m%06d", PREFIX, i);
  }

  /** One row for each size; {@code lists} followers share the process. */
  public static void run(int[] sizes, int lists, PrintStream out)
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
    for (int n : sizes) {
      try (EmulatedEtcd etcd = new EmulatedEtcd(0, 200)) {
        row(etcd, n, lists, out);
      }
    }
  }

  private static void row(EmulatedEtcd etcd, int n, int lists, PrintStream out)
      throws IOException, InvalidSettingsException, InterruptedException {
    Map<String, String> all = new LinkedHashMap<>();
    for (int i = 0; i < n; i++) {
      all.put(key(i), record(i, 0));
    }
    etcd.putAll(all);
    DeploymentSettings d =
        DeploymentSettings.read(
            ConfigFactory.parseString(
                "kinds = [{ name = k, cores = 28, memory = 60 }]\n"
                    + "flavours = [{ name = f }]\nmachines.source = etcd\netcd { endpoints = [\"127.0.0.1:"
                    + etcd.port()
                    + "\"], prefix = \""
                    + PREFIX
                    + "\", register = false, silence = 5s, start_within = 60s, call = 30s }"),
            new File("."));
    long before = heap();
    List<EtcdMachineList> some = new ArrayList<>();
    try {
      ConcurrentHistogram known = new ConcurrentHistogram(60_000_000L, 3);
      Map<String, Long> sentAt = new ConcurrentHashMap<>();
      AtomicInteger drained = new AtomicInteger();
      AtomicInteger changes = new AtomicInteger();
      for (int i = 0; i < lists; i++) {
        EtcdMachineList l = new EtcdMachineList(d, "p" + i, i + 1);
        some.add(l);
        l.watch(u -> heard(u, sentAt, known, drained, changes));
      }
      double heapOfOne = (heap() - before) / 1e6 / lists;
      int puts = 200;
      for (int i = 0; i < puts; i++) {
        String name = String.format("m%06d", i % n);
        boolean on = i / n % 2 == 0;
        sentAt.put(name, System.nanoTime());
        if (on) {
          etcd.put(PREFIX + "/drains/" + name, "{\"v\":2}");
        } else {
          etcd.delete(PREFIX + "/drains/" + name);
        }
        int due = (i + 1) * lists;
        await(() -> drained.get() >= due);
      }
      sentAt.clear();
      long cpu = cpu(some.size());
      changes.set(0);
      long from = System.nanoTime();
      for (int k = 0; k < 10_000; k += 100) {
        Map<String, String> batch = new LinkedHashMap<>();
        for (int i = 0; i < 100; i++) {
          batch.put(key((k + i) % n), record((k + i) % n, k / 100 + 1));
        }
        etcd.putAll(batch);
      }
      long last = etcd.put(PREFIX + "/drains/m000000", "{\"v\":2,\"reason\":\"last\"}");
      String marker = String.format("m%06d", n - 1);
      etcd.delete(PREFIX + "/machines/" + marker);
      for (EtcdMachineList l : some) {
        await(() -> l.latest().entries().stream().noneMatch(e -> e.name().equals(marker)));
      }
      double caught = (System.nanoTime() - from) / 1e6;
      double cpuOfChange = (cpu(some.size()) - cpu) / 1e3 / 10_000 / lists;
      long[] resyncs = some.stream().mapToLong(EtcdMachineList::snapshotCount).toArray();
      etcd.leaderless(true);
      etcd.put(PREFIX + "/machines/" + marker, record(n - 1, 3));
      etcd.compactNow();
      from = System.nanoTime();
      etcd.leaderless(false);
      for (int i = 0; i < lists; i++) {
        EtcdMachineList l = some.get(i);
        long was = resyncs[i];
        await(
            () ->
                l.snapshotCount() > was
                    && l.latest().entries().stream().anyMatch(e -> e.name().equals(marker)));
      }
      out.printf(
          Locale.ROOT,
          "%9d %6d %8.2f ms %8.2f ms %9.0f ms %8.0f ms %10.1f us %9.2f MB%n",
          n,
          lists,
          known.getValueAtPercentile(50) / 1000.0,
          known.getValueAtPercentile(99) / 1000.0,
          caught,
          (System.nanoTime() - from) / 1e6,
          cpuOfChange,
          heapOfOne);
    } finally {
      some.forEach(EtcdMachineList::close);
    }
  }

  private static void heard(
      MachineListSource.Update u,
      Map<String, Long> sentAt,
      ConcurrentHistogram known,
      AtomicInteger drained,
      AtomicInteger changes) {
    long now = System.nanoTime();
    changes.addAndGet(u.entries().size());
    if (u.isSnapshot()) {
      return;
    }
    for (MachineListSource.Entry e : u.entries()) {
      Long at = sentAt.get(e.name());
      if (at != null && (e.lifecycle() == Lifecycle.DRAINING || e.lifecycle() == Lifecycle.LIVE)) {
        known.recordValue(Math.min((now - at) / 1000, 60_000_000L));
        drained.incrementAndGet();
      }
    }
  }

  private interface Condition {
    boolean now();
  }

  private static void await(Condition what) throws InterruptedException {
    long until = System.nanoTime() + 120_000_000_000L;
    while (!what.now()) {
      if (System.nanoTime() > until) {
        throw new IllegalStateException("waited two minutes in vain");
      }
      Thread.sleep(0, 200_000);
    }
  }

  private static long heap() throws InterruptedException {
    System.gc();
    Thread.sleep(100);
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Nanoseconds that the lists' own threads have used. */
  private static long cpu(int lists) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      var info = threads.getThreadInfo(id);
      if (info != null && info.getThreadName().equals("etcd")) {
        sum += Math.max(0, threads.getThreadCpuTime(id));
      }
    }
    return sum;
  }
}
