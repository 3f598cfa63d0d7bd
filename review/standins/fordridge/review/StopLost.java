package fordridge.review;

import fordridge.v1.Want;
import java.util.ArrayList;
import java.util.List;

/** A client withdraws its running VM while the machine is cut off from the scheduler for 6 s. */
final class StopLost extends Case {
  public static void main(String[] args) {
    run(new StopLost(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(5, 300);
    String settings =
            "kinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
                + "flavours = [{ name = \"web\", effect = \"rebuildable\", build_target = 1s,"
                + " build_timeout = 5s }]\n";
    List<Proxy> proxies = new ArrayList<>();
    for (StandInMachine machine : machines) {
      Proxy proxy = new Proxy(machine.port());
      proxies.add(proxy);
      list.list(machine.name(), proxy.port(), 28, 60);
    }
    startPlacers(1, settings);
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
    var bound = client.await(m -> m.hasBound(), 6_000);
    if (bound == null) {
      throw new IllegalStateException("not bound");
    }
    int host = Integer.parseInt(bound.getBound().getMachine().substring(1)) - 1;
    Thread.sleep(1_000);
    if (trouble) {
      record.line("network", machines.get(host).name() + " is cut off from the scheduler for 6 s");
      proxies.get(host).reset(true);
      Thread.sleep(2_000);
    }
    client.unwant("web-1");
    if (trouble) {
      Thread.sleep(4_000);
      proxies.get(host).up();
      record.line("network", machines.get(host).name() + " can be reached again");
    }
    var ended = client.await(m -> m.hasEnded(), 20_000);
    boolean running = machines.get(host).isRunning("studio/web-1");
    record.line("case", "20 s later at the latest: web-1 " + (running ? "runs" : "does not run"));
    return running && ended == null
        ? "the withdrawn VM web-1 still runs 20 s after its machine can be reached again, and its"
            + " client was told nothing"
        : null;
  }
}
