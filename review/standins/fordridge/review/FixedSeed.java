package fordridge.review;

import fordridge.v1.Want;

/** A scheduler with a configured seed restarts; its client resumes its session, as it is told. */
final class FixedSeed extends Case {
  public static void main(String[] args) {
    run(new FixedSeed(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(4, 300);
    listMachines();
    startPlacers(
        3,
        "placer.seed = 42\nkinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
            + "flavours = [{ name = \"web\", effect = \"rebuildable\", build_target = 1s,"
            + " build_timeout = 8s }]\n");
    StandInClient client = new StandInClient("studio", record);
    connect(client, placer.port());
    client.want(
        Want.newBuilder().setVm("web-1").setFlavour("web").setService(7).setCores(2).setMemory(4)
            .setTimeLeftUs(8_000_000).setLastsUs(12_000_000));
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
    boolean told = client.await(m -> m.hasEnded(), 30_000) != null;
    return told ? null : "the client was told that its session is resumed, and nothing of web-1's end";
  }
}
