package standins;

import java.util.concurrent.TimeUnit;

/**
 * The connection of a client with a standing task is reset. The client connects again and asks for
 * nothing new. See claim.txt of the case.
 */
final class QuietClient {
  /** The page's limit from the machine's release to the one towards the client, with its slack. */
  private static final long LIMIT_MILLIS = 1_050;

  public static void main(String[] args) throws Exception {
    Bench.main(args, QuietClient::run);
  }

  private static void run(Bench bench) throws Exception {
    Bench.Journal journal = bench.new Journal();
    Bench.Machine machine = bench.new Machine("s-00000001", 0);
    journal.add(true, Bench.entry(machine.id, machine.address(), 0, "SERVING", 0));
    int port =
        bench.startScheduler(
            journal.address(), journal.allEvents(), journal.position(), Bench.settings());
    Bench.Client client = bench.new Client(port);
    client.connectWhenReady();
    Bench.Request request = client.ask("00000000000000e1", "lobby", 4000, "e");
    bench.require(bench.await(5000, request::stands), "the task was not placed");
    bench.sleep(1000);
    if (Bench.TROUBLE) {
      client.reset();
      bench.sleep(100);
      client.connect();
    }
    // The client tests the scheduler twice a second, and connects again whenever its connection ends.
    bench.timer.scheduleAtFixedRate(client::test, 100, 500, TimeUnit.MILLISECONDS);
    bench.sleep(1500);
    long endedAt = bench.millis();
    machine.finish(request.ref);
    bench.await(12_000, () -> request.release != null);
    bench.require(bench.isSchedulerAlive(), "the scheduler has ended");
    if (request.release == null) {
      bench.violation(
          "task " + request.ref + " has ended, and its client, which is connected, was not told within "
              + (bench.millis() - endedAt) + " ms");
    } else if (request.releasedAt - endedAt > LIMIT_MILLIS) {
      bench.violation("released after " + (request.releasedAt - endedAt) + " ms");
    }
  }
}
