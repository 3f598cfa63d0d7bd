package fordridge.review;

import fordridge.v1.Want;

/** The scheduler is killed and restarted while one of a group's two VMs runs. */
final class GroupHalf extends Case {
  private static final long TIME_LEFT_MILLIS = 24_000;

  public static void main(String[] args) {
    run(new GroupHalf(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(2, 300);
    for (StandInMachine machine : machines) {
      // The machine starts one VM at a time here, and the larger program takes longer to load.
      machine.setStartMillis(offer -> offer.getCores() > 3 ? 9_000 : 300);
    }
    String settings =
            "kinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
                + "flavours = [{ name = \"web\", effect = \"rebuildable\", build_target = 12s,"
                + " build_timeout = 24s }]\n";
    listMachines();
    startPlacers(3, settings);
    StandInClient client = new StandInClient("studio", record);
    connect(client, placer.port());
    long asked = record.millis();
    want(client, asked);
    if (trouble) {
      Thread.sleep(1_500);
      placer.kill();
      Thread.sleep(1_300);
      placer.start();
      connect(client, placer.port());
      // An owner comes again after 1 to 3 s and more.
      Thread.sleep(3_300);
      want(client, asked);
    }
    client.await(m -> StandInClient.isFinal(m) && StandInClient.vm(m).equals("race-a"), 30_000);
    client.await(m -> StandInClient.isFinal(m) && StandInClient.vm(m).equals("race-b"), 30_000);
    long bound = client.responses().stream().filter(m -> m.hasBound()).count();
    return bound == 1 ? "one of the group's two VMs was answered with Bound, the other was not" : null;
  }

  private void want(StandInClient client, long asked) {
    long left = TIME_LEFT_MILLIS - (record.millis() - asked);
    client.want(want("race-a", 2, left));
    client.want(want("race-b", 4, left));
  }

  private static Want.Builder want(String vm, double cores, long leftMillis) {
    return Want.newBuilder()
        .setVm(vm)
        .setFlavour("web")
        .setService(7)
        .setCores(cores)
        .setMemory(4)
        .setTimeLeftUs(leftMillis * 1000)
        .setGroup("race")
        .setGroupSize(2);
  }
}
