package standins;

import java.util.ArrayList;
import java.util.List;

/**
 * A machine has all the connections that it takes and refuses two more. See claim.txt of the case.
 */
final class RefusedConnections {
  private static final int MAX_CONNECTIONS = 6;
  private static final int STANDING_TASKS = 4;

  public static void main(String[] args) throws Exception {
    Bench.main(args, RefusedConnections::run);
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

    List<Bench.Request> standing = new ArrayList<>();
    for (int i = 1; i <= STANDING_TASKS; i++) {
      standing.add(client.ask(ref(i), "race-host", 8000, Integer.toHexString(i)));
    }
    bench.require(
        bench.await(9000, () -> standing.stream().allMatch(Bench.Request::stands)),
        "the first tasks were not placed");
    // Connections that are not used any more are closed meanwhile.
    bench.sleep(2500);
    machine.startMillis = 1500;
    machine.maxConnections = Bench.TROUBLE ? MAX_CONNECTIONS : Integer.MAX_VALUE;
    int number = STANDING_TASKS;
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      number++;
      client.ask(ref(number), "race-host", 8000, Integer.toHexString(number));
    }
    bench.require(
        bench.await(1000, () -> machine.connectionCount() >= MAX_CONNECTIONS),
        "the machine did not get as many connections as it takes");
    bench.sleep(50);
    for (int i = 0; i < 3; i++) {
      number++;
      client.ask(ref(number), "race-host", 8000, Integer.toHexString(number));
    }
    bench.sleep(4000);
    bench.require(bench.isSchedulerAlive(), "the scheduler has ended");
    for (Bench.Request request : standing) {
      if (request.release != null && machine.tasks.containsKey(request.ref)) {
        bench.violation(
            "the client of " + request.ref + " was told cause " + request.release.cause()
                + ", and the task stands");
      }
    }
    bench.log("tasks on the machine: " + machine.tasks.keySet());
  }

  private static String ref(int number) {
    return String.format("00000000000000d%x", number);
  }
}
