package fordridge.review;

import fordridge.v1.Ended;
import fordridge.v1.PlacerMessage;
import fordridge.v1.Want;
import java.util.ArrayList;
import java.util.List;

/** A machine resets the idle connection to its scheduler, and evicts that one's VM 10 s later. */
final class EvictedAsDone extends Case {
  public static void main(String[] args) {
    run(new EvictedAsDone(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(5, 300);
    List<Proxy> proxies = new ArrayList<>();
    for (StandInMachine machine : machines) {
      if (!"0".equals(System.getenv("REPEAT"))) {
        machine.repeatEnds();
      }
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
    client.want(want("web-1"));
    PlacerMessage bound = client.await(PlacerMessage::hasBound, 6_000);
    if (bound == null) {
      throw new IllegalStateException("not bound");
    }
    int host = Integer.parseInt(bound.getBound().getMachine().substring(1)) - 1;
    StandInMachine machine = machines.get(host);
    Thread.sleep(2_000);
    listFree(machine, proxies.get(host), 26, 56);
    Thread.sleep(18_000);
    if (trouble) {
      record.line("network", "connections to " + machine.name() + " are reset once");
      proxies.get(host).reset(false);
    }
    Thread.sleep(10_000);
    machine.evict("studio/web-1");
    PlacerMessage ended = client.await(PlacerMessage::hasEnded, 2_000);
    listFree(machine, proxies.get(host), 28, 60);
    if (ended == null) {
      ended = client.await(PlacerMessage::hasEnded, 20_000);
    }
    Ended.How how = ended == null ? null : ended.getEnded().getHow();
    if (how != null && how != Ended.How.DONE) {
      // An owner whose VM was evicted or lost waits, and then asks again.
      Thread.sleep(1_500);
      client.want(want("web-2").setAgain(true));
      client.await(m -> m.hasBound() && m.getBound().getVm().equals("web-2"), 6_000);
    }
    record.line("case", "started in all: " + starts());
    if (how == null) {
      return "the client was not told in 22 s that web-1 was evicted";
    }
    return how == Ended.How.DONE
        ? "the client was told that web-1 ran to completion; its machine had evicted it"
        : null;
  }

  /** The machine list tells, some time later, what of a machine is free. */
  private void listFree(StandInMachine machine, Proxy proxy, int cores, int memory)
      throws Exception {
    list.list(machine.name(), proxy.port(), cores, memory);
    record.line("list", machine.name() + " has " + cores + " cores free");
  }

  private static Want.Builder want(String name) {
    return Want.newBuilder()
        .setVm(name)
        .setWorkload("web")
        .setFlavour("web")
        .setService(7)
        .setCores(2)
        .setMemory(4)
        .setTimeLeftUs(5_000_000)
        .setLastsUs(600_000_000);
  }
}
