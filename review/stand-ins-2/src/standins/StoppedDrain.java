package standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The scheduler stands still for a while, and a drain is told meanwhile. See claim.txt of the case.
 */
final class StoppedDrain {
  /** The page lets a scheduler stand still for 300 to 2,000 ms, every 2 to 4 s. */
  private static final long STOP_MILLIS = 1_900;

  private static final long BETWEEN_STOPS_MILLIS = 2_500;

  /** The grace of the settings and the slack of the page. */
  private static final long GRACE_MILLIS = 500 + 50;

  private static final int ROUNDS = 6;
  private static final long REQUEST_INTERVAL_MILLIS = 80;

  public static void main(String[] args) throws Exception {
    Bench.main(args, StoppedDrain::run);
  }

  private static void run(Bench bench) throws Exception {
    Bench.Journal journal = bench.new Journal();
    Map<String, Long> drainedAt = new ConcurrentHashMap<>();
    Bench.Machine[] machines = new Bench.Machine[2];
    String[] entries = new String[machines.length];
    for (int i = 0; i < machines.length; i++) {
      machines[i] =
          bench.new Machine("s-0000000" + (i + 1), 0) {
            @Override
            int refusalOf(Message message) {
              long since = bench.millis() - drainedAt.getOrDefault(id, Long.MAX_VALUE);
              if (since > GRACE_MILLIS) {
                bench.violation(
                    "set-up " + message.ref() + " sent to " + id + " " + since
                        + " ms after the journal service had its drain");
              }
              return super.refusalOf(message);
            }
          };
      machines[i].lifeMillis = 800;
      entries[i] = Bench.entry(machines[i].id, machines[i].address(), i, "SERVING", 0);
    }
    journal.add(true, entries);
    String settings = Bench.settings().replace("\"nInstances\":1", "\"nInstances\":3");
    int port =
        bench.startScheduler(
            journal.address(), journal.allEvents(), journal.position(), settings);
    // Two of three schedulers stand still; the third and the second get no requests.
    Process second =
        bench.startOther(
            "n2", journal.address(), journal.allEvents(), journal.position(), settings);
    bench.startOther("n3", journal.address(), journal.allEvents(), journal.position(), settings);
    Bench.Client client = bench.new Client(port);
    client.connectWhenReady();
    int number = 0;
    for (int round = 0; round < ROUNDS; round++) {
      number = ask(bench, client, number, BETWEEN_STOPS_MILLIS / 2);
      if (Bench.TROUBLE) {
        bench.signal("STOP");
        bench.signal("STOP", second);
      }
      long stoppedAt = bench.millis();
      // The machine that holds more tasks is drained.
      int drained = machines[0].tasks.size() >= machines[1].tasks.size() ? 0 : 1;
      Bench.Machine machine = machines[drained];
      machine.isDraining = true;
      journal.add(false, Bench.entry(machine.id, machine.address(), drained, "DRAINING", 0));
      drainedAt.put(machine.id, bench.millis());
      number = ask(bench, client, number, stoppedAt + STOP_MILLIS - bench.millis());
      if (Bench.TROUBLE) {
        bench.signal("CONT");
        bench.signal("CONT", second);
      }
      number = ask(bench, client, number, BETWEEN_STOPS_MILLIS / 2);
      drainedAt.remove(machine.id);
      machine.isDraining = false;
      journal.add(false, Bench.entry(machine.id, machine.address(), drained, "SERVING", 0));
    }
    bench.sleep(1000);
    bench.require(bench.isSchedulerAlive(), "the scheduler has ended");
    long placed = client.requests.values().stream().filter(Bench.Request::stands).count();
    bench.log("requests " + number + ", placed " + placed);
    bench.require(placed > number / 3, "too few requests were placed to judge");
  }

  /** Asks for VMs of four services in turn for so long; returns the number of the last one. */
  private static int ask(Bench bench, Bench.Client client, int lastNumber, long millis)
      throws Exception {
    long until = bench.millis() + millis;
    int number = lastNumber;
    while (bench.millis() < until) {
      number++;
      client.ask(
          String.format("%016x", 0xf0000 + number), "lobby", 5000, Integer.toHexString(number % 4));
      bench.sleep(Math.min(REQUEST_INTERVAL_MILLIS, until - bench.millis()));
    }
    return number;
  }
}
