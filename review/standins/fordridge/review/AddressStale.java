package fordridge.review;

import fordridge.v1.Want;

/** A machine leaves the list; another one of its name joins at another address. */
final class AddressStale extends Case {
  public static void main(String[] args) {
    run(new AddressStale(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(1, 300);
    listMachines();
    startPlacers(
        1,
        "kinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
            + "flavours = [{ name = \"web\", effect = \"rebuildable\", build_target = 1s,"
            + " build_timeout = 5s }]\n");
    StandInClient client = new StandInClient("studio", record);
    connect(client, placer.port());
    client.want(want("web-1"));
    if (client.await(m -> m.hasBound(), 6_000) == null) {
      throw new IllegalStateException("not bound");
    }
    StandInMachine old = machines.get(0);
    StandInMachine next = new StandInMachine("m1", 300, record);
    machines.add(next);
    if (trouble) {
      list.remove("m1");
      record.line("list", "m1 is gone");
      Thread.sleep(1_000);
      list.list("m1", next.port(), 28, 60);
      record.line("list", "m1 is listed at another address");
    }
    Thread.sleep(3_000);
    int before = old.starts();
    client.want(want("web-2"));
    Thread.sleep(6_000);
    return trouble && old.starts() > before ? "the removed machine got new work" : null;
  }

  private static Want.Builder want(String vm) {
    return Want.newBuilder().setVm(vm).setFlavour("web").setService(7).setCores(2).setMemory(4)
        .setTimeLeftUs(5_000_000);
  }
}
