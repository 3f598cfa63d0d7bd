package fordridge.review;

import fordridge.v1.Want;

/** A scheduler restarts while a VM that it reported as accepted waits for its start. */
final class QueuedLost extends Case {
  public static void main(String[] args) {
    run(new QueuedLost(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(4, 9_000);
    listMachines();
    startPlacers(
        3,
        "cluster.yes = \"accepted\"\nkinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
            + "flavours = [{ name = \"allocation\", effect = \"one-shot\", build_target = 5500ms,"
            + " build_timeout = 10s, priority = 1 }]\n");
    StandInClient client = new StandInClient("portal", record);
    connect(client, placer.port());
    client.want(
        Want.newBuilder()
            .setVm("alloc-1")
            .setFlavour("allocation")
            .setService(7)
            .setCores(4)
            .setMemory(8)
            .setTimeLeftUs(9_500_000)
            .setLastsUs(30_000_000));
    if (client.await(m -> m.hasBound(), 9_500) == null) {
      throw new IllegalStateException("not bound");
    }
    Thread.sleep(300);
    if (trouble) {
      placer.kill();
      Thread.sleep(3_000);
      placer.start();
      connect(client, placer.port());
    }
    boolean told = client.await(m -> m.hasEnded(), 20_000) != null;
    return starts() == 0 && !told
        ? "alloc-1, which was answered with Bound, never ran, and its client was told nothing"
        : null;
  }
}
