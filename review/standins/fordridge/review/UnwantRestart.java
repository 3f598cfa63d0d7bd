package fordridge.review;

import fordridge.v1.Want;

/** A client withdraws its running VM just after its scheduler has come back. */
final class UnwantRestart extends Case {
  public static void main(String[] args) {
    run(new UnwantRestart(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(4, 300);
    listMachines();
    startPlacers(
        3,
        "kinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
            + "flavours = [{ name = \"web\", effect = \"rebuildable\", build_target = 1s,"
            + " build_timeout = 8s }]\n");
    StandInClient client = new StandInClient("studio", record);
    connect(client, placer.port());
    client.want(
        Want.newBuilder().setVm("web-1").setFlavour("web").setService(7).setCores(2).setMemory(4)
            .setTimeLeftUs(8_000_000));
    if (client.await(m -> m.hasBound(), 8_500) == null) {
      throw new IllegalStateException("not bound");
    }
    Thread.sleep(500);
    if (trouble) {
      placer.kill();
      Thread.sleep(1_500);
      placer.start();
      connect(client, placer.port());
    }
    client.unwant("web-1");
    Thread.sleep(15_000);
    for (StandInMachine machine : machines) {
      if (machine.isRunning("studio/web-1")) {
        return "the withdrawn VM web-1 still runs 15 s later";
      }
    }
    return null;
  }
}
