package fordridge.review;

import fordridge.v1.Want;

/** Two clients whose names and VMs' names join to the same text. */
final class NameClash extends Case {
  public static void main(String[] args) {
    run(new NameClash(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(3, 300);
    listMachines();
    startPlacers(
        1,
        "kinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
            + "flavours = [{ name = \"race-host\", effect = \"one-shot\", build_target = 1s,"
            + " build_timeout = 8s }]\n");
    StandInClient one = new StandInClient("studio", record);
    StandInClient two = new StandInClient(trouble ? "studio/eu" : "studio-eu", record);
    connect(one, placer.port());
    connect(two, placer.port());
    one.want(want("eu/race-1"));
    if (one.await(m -> m.hasBound(), 8_500) == null) {
      throw new IllegalStateException("not bound");
    }
    Thread.sleep(1_000);
    two.want(want("race-1"));
    if (two.await(m -> m.hasBound(), 8_500) == null) {
      throw new IllegalStateException("not bound");
    }
    Thread.sleep(1_000);
    two.unwant("race-1");
    Thread.sleep(5_000);
    boolean runs = false;
    for (StandInMachine machine : machines) {
      runs |= machine.isRunning("studio/eu/race-1");
    }
    return runs
        ? null
        : "the VM eu/race-1 of client studio, which wants it on, was stopped as client studio/eu"
            + " withdrew its own race-1";
  }

  private static Want.Builder want(String vm) {
    return Want.newBuilder()
        .setVm(vm)
        .setFlavour("race-host")
        .setService(7)
        .setCores(1)
        .setMemory(2)
        .setTimeLeftUs(8_000_000);
  }
}
