package standins;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One of two connections to a machine is reset while it rests; the machine learns of it when it next
 * writes there, which is the release of a task. See claim.txt of the case.
 */
final class LostRelease {
  /** The page's limit from the end of a task to the release towards its client, with its slack. */
  private static final long LIMIT_MILLIS = 8_050;

  /** A network between the scheduler and a machine, which can reset one connection. */
  private static final class Network {
    private final class Link {
      final Wire toScheduler;
      final Wire toMachine;
      volatile String lastSetUp;
      volatile boolean isForgotten;

      Link(Wire toScheduler, Wire toMachine) {
        this.toScheduler = toScheduler;
        this.toMachine = toMachine;
      }
    }

    private final Bench bench;
    private final ServerSocket server = Bench.listen(0, 50);
    private final int machinePort;
    private final List<Link> links = new CopyOnWriteArrayList<>();

    Network(Bench bench, int machinePort) throws IOException {
      this.bench = bench;
      this.machinePort = machinePort;
      Thread acceptor = new Thread(this::accept);
      acceptor.setDaemon(true);
      acceptor.start();
    }

    String address() {
      return Bench.HOST + ":" + server.getLocalPort();
    }

    private void accept() {
      try {
        while (true) {
          Wire toScheduler = new Wire(server.accept(), "network");
          Wire toMachine = new Wire(new Socket(Bench.HOST, machinePort), "network");
          Link link = new Link(toScheduler, toMachine);
          links.add(link);
          toScheduler.read(
              line -> {
                if (!link.isForgotten) {
                  Message message = Message.read(line);
                  link.lastSetUp = message.type().equals("new") ? message.ref() : link.lastSetUp;
                  toMachine.write(line);
                }
              },
              () -> {
                if (!link.isForgotten) {
                  toMachine.close();
                }
              });
          toMachine.read(
              line -> {
                if (link.isForgotten) {
                  bench.log("network: reset towards the machine, lost: " + line);
                  toMachine.reset();
                } else {
                  toScheduler.write(line);
                }
              },
              toScheduler::close);
        }
      } catch (IOException e) {
        bench.log("network: " + e);
      }
    }

    String linkOf(String ref) {
      for (Link link : links) {
        if (ref.equals(link.lastSetUp)) {
          return link.toString();
        }
      }
      return "none";
    }

    /** Resets the connection of this set-up; its other end learns of it when it next writes. */
    boolean reset(String ref) {
      for (Link link : links) {
        if (ref.equals(link.lastSetUp) && link.toScheduler.isOpen()) {
          bench.log("network: reset of the connection of " + ref + " towards the scheduler");
          link.isForgotten = true;
          link.toScheduler.reset();
          return true;
        }
      }
      return false;
    }
  }

  public static void main(String[] args) throws Exception {
    Bench.main(args, LostRelease::run);
  }

  private static void run(Bench bench) throws Exception {
    Bench.Machine machine = bench.new Machine("s-00000001", 0);
    // The tasks start slowly enough that both set-ups are open at once.
    machine.startMillis = 200;
    Network network = new Network(bench, machine.port);
    Bench.Journal journal = bench.new Journal();
    journal.add(true, Bench.entry(machine.id, network.address(), 0, "SERVING", 0));
    int port =
        bench.startScheduler(
            journal.address(), journal.allEvents(), journal.position(), Bench.settings());
    Bench.Client client = bench.new Client(port);
    client.connectWhenReady();

    Bench.Request first = client.ask("00000000000000b1", "lobby", 4000, "11");
    Bench.Request second = client.ask("00000000000000b2", "lobby", 4000, "12");
    bench.require(
        bench.await(6000, () -> first.stands() && second.stands()), "the tasks were not placed");
    bench.require(
        !network.linkOf(first.ref).equals(network.linkOf(second.ref)),
        "both set-ups went on one connection");
    bench.sleep(700);
    if (Bench.TROUBLE) {
      bench.require(network.reset(second.ref), "the connection of the second task has ended");
    }
    bench.sleep(600);
    long endedAt = bench.millis();
    machine.finish(second.ref);
    bench.await(LIMIT_MILLIS + 4000, () -> second.release != null);
    bench.require(bench.isSchedulerAlive(), "the scheduler has ended");
    if (first.release != null) {
      bench.violation("the first task, which stands, was released");
    }
    if (second.release == null) {
      bench.violation(
          "task " + second.ref + " has ended, and its client was not told within "
              + (bench.millis() - endedAt) + " ms");
    } else if (second.releasedAt - endedAt > LIMIT_MILLIS) {
      bench.violation("release of " + second.ref + " after " + (second.releasedAt - endedAt) + " ms");
    } else {
      bench.log("release after " + (second.releasedAt - endedAt) + " ms");
    }
  }
}
