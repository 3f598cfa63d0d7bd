package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine is replaced by a new one at its address, and the machine list tells it some seconds
 * late. See claim.txt of the case.
 */
final class TakenAddress {
  private static final int MOST_OF_SERVICE = 2;
  private static final int SERVICES = 8;
  private static final long LIST_DELAY_MILLIS = 2_500;

  /** A machine that counts the tasks of each service that it was sent and that have not ended. */
  private static final class Counting extends Bench.Machine {
    private final Bench bench;

    Counting(Bench bench, String id, int port) throws IOException {
      bench.super(id, port);
      this.bench = bench;
    }

    @Override
    synchronized void setUpTaken(Bench.Task task) {
      String service = serviceOf(task.ref);
      List<String> held = new ArrayList<>();
      for (String ref : tasks.keySet()) {
        if (serviceOf(ref).equals(service)) {
          held.add(ref);
        }
      }
      if (held.size() > MOST_OF_SERVICE) {
        bench.violation(
            "set-up " + task.ref + " is number " + held.size() + " of service " + service + " on "
                + id + ", which holds " + held);
      }
    }
  }

  /** The ids of the case's tasks name the service in their last digit but one. */
  private static String ref(int service, int number) {
    return String.format("00000000000c0%x0%x", service, number);
  }

  private static String serviceOf(String ref) {
    return ref.substring(13, 14);
  }

  public static void main(String[] args) throws Exception {
    Bench.main(args, TakenAddress::run);
  }

  private static void run(Bench bench) throws Exception {
    Bench.Journal journal = bench.new Journal();
    Counting old = new Counting(bench, "s-00000001", 0);
    Counting other = new Counting(bench, "s-00000002", 0);
    int machinePort = old.port;
    String address = old.address();
    journal.add(
        true,
        Bench.entry(old.id, address, 0, "SERVING", 0),
        Bench.entry(other.id, other.address(), 1, "SERVING", 0));
    int port =
        bench.startScheduler(
            journal.address(), journal.allEvents(), journal.position(), Bench.settings());
    Bench.Client client = bench.new Client(port);
    client.connectWhenReady();
    bench.sleep(500);

    old.die();
    bench.sleep(100);
    Counting replacement = new Counting(bench, "s-00000003", machinePort);
    long upSince = System.currentTimeMillis();
    long replacedAt = bench.millis();
    String[] change = {
      Bench.entry(old.id, address, 0, "DELETED", 0),
      Bench.entry(replacement.id, address, 0, "SERVING", upSince)
    };
    if (!Bench.TROUBLE) {
      journal.add(false, change);
    }
    bench.sleep(600);
    List<Bench.Request> early = ask(bench, client, 1);
    bench.require(
        bench.await(9000, () -> early.stream().allMatch(Bench.Request::stands)),
        "the first tasks were not placed");
    bench.sleep(replacedAt + LIST_DELAY_MILLIS - bench.millis());
    if (Bench.TROUBLE) {
      journal.add(false, change);
    }
    bench.sleep(700);
    for (Bench.Request request : early) {
      if (request.release != null && replacement.tasks.containsKey(request.ref)) {
        bench.log(
            "the client of " + request.ref + " was told cause " + request.release.cause()
                + ", and the task stands on " + replacement.id);
      }
    }
    // Two more tasks of each service, within what its spread leaves room for on two machines.
    List<Bench.Request> late = ask(bench, client, 3);
    bench.await(1500, () -> late.stream().allMatch(request -> request.answer != null));
    bench.require(bench.isSchedulerAlive(), "the scheduler has ended");
    for (Counting machine : List.of(other, replacement)) {
      bench.log("tasks on " + machine.id + ": " + machine.tasks.keySet());
    }
    bench.require(
        Bench.TROUBLE || late.stream().allMatch(Bench.Request::stands),
        "the further tasks were not placed");
  }

  /** Asks for two tasks of each service, with these numbers and the next. */
  private static List<Bench.Request> ask(Bench bench, Bench.Client client, int firstNumber)
      throws IOException, InterruptedException {
    List<Bench.Request> requests = new ArrayList<>();
    for (int service = 1; service <= SERVICES; service++) {
      for (int number = firstNumber; number < firstNumber + 2; number++) {
        requests.add(
            client.ask(ref(service, number), "race-host", 8000, Integer.toHexString(service)));
      }
      bench.sleep(60);
    }
    return requests;
  }
}
