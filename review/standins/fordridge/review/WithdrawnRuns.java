package fordridge.review;

import fordridge.v1.PlacerMessage;
import fordridge.v1.Want;
import java.util.ArrayList;
import java.util.List;

/** A machine resets the idle connection to its scheduler; a client withdraws its VM 10 s later. */
final class WithdrawnRuns extends Case {
  public static void main(String[] args) {
    run(new WithdrawnRuns(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(5, 300);
    List<Proxy> proxies = new ArrayList<>();
    for (StandInMachine machine : machines) {
      Proxy proxy = new Proxy(machine.port());
      proxies.add(proxy);
      list.list(machine.name(), proxy.port(), 28, 60);
    }
    startPlacers(
        3,
        "kinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
            + "flavours = [{ name = \"web\", effect = \"rebuildable\", build_target = 1s,"
            + " build_timeout = 5s }]\n");
    StandInClient client = new StandInClient("studio", record);
    connect(client, placer.port());
    client.want(
        Want.newBuilder()
            .setVm("web-1")
            .setFlavour("web")
            .setService(7)
            .setCores(2)
            .setMemory(4)
            .setTimeLeftUs(5_000_000));
    PlacerMessage bound = client.await(PlacerMessage::hasBound, 6_000);
    if (bound == null) {
      throw new IllegalStateException("not bound");
    }
    int host = Integer.parseInt(bound.getBound().getMachine().substring(1)) - 1;
    StandInMachine machine = machines.get(host);
    Thread.sleep(2_000);
    list.list(machine.name(), proxies.get(host).port(), 26, 56);
    Thread.sleep(18_000);
    if (trouble) {
      record.line("network", "connections to " + machine.name() + " are reset once");
      proxies.get(host).reset(false);
    }
    Thread.sleep(10_000);
    client.unwant("web-1");
    PlacerMessage ended = client.await(PlacerMessage::hasEnded, 20_000);
    boolean running = machine.isRunning("studio/web-1");
    record.line("case", "web-1 " + (running ? "runs" : "does not run"));
    return running && ended == null
        ? "the withdrawn VM web-1 still runs after 20 s, and its client was told nothing"
        : null;
  }
}
