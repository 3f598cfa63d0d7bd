package fordridge.review;

import fordridge.v1.Want;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A VM that must not run twice runs while its scheduler restarts; the client's first connection
 * after that breaks before Welcome reaches it.
 */
final class HelloLost extends Case {
  private static final long TIME_LEFT_MILLIS = 20_000;

  public static void main(String[] args) {
    run(new HelloLost(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(4, 1_000);
    String settings =
            "kinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
                + "flavours = [{ name = \"ledger\", effect = \"one-shot\", build_target = 2s,"
                + " build_timeout = 20s, priority = 2 }]\n";
    CountDownLatch offered = new CountDownLatch(1);
    for (StandInMachine machine : machines) {
      machine.onOffer(
          offer -> {
            try {
              // Other schedulers' VMs take the rest of this machine, as its next list entry says.
              list.list(machine.name(), machine.port(), 0, 0);
            } catch (Exception e) {
              throw new IllegalStateException(e);
            }
            offered.countDown();
          });
    }
    listMachines();
    startPlacers(3, settings);
    Proxy proxy = new Proxy(placer.port());
    StandInClient client = new StandInClient("bank", record);
    connect(client, proxy.port());
    long asked = record.millis();
    client.want(want(TIME_LEFT_MILLIS));
    if (!offered.await(5, TimeUnit.SECONDS)) {
      throw new IllegalStateException("no offer");
    }
    Thread.sleep(300);
    placer.kill();
    long killed = record.millis();
    proxy.reset(false);
    Thread.sleep(2_000);
    placer.start();
    if (trouble) {
      proxy.swallowAfter("bank");
      client.connect(proxy.port(), 400);
      record.line("network", "the client's connection is reset before Welcome arrived");
      proxy.reset(false);
      proxy.setSwallowing(false);
    }
    connect(client, proxy.port());
    Thread.sleep(Math.max(0, killed + 3_000 - record.millis()));
    client.want(want(TIME_LEFT_MILLIS - (record.millis() - asked)));
    client.await(StandInClient::isFinal, TIME_LEFT_MILLIS - (record.millis() - asked) + 500);
    Thread.sleep(4_000);
    return starts() > 1 ? "the one-shot VM ledger-17 was started " + starts() + " times" : null;
  }

  private static Want.Builder want(long timeLeftMillis) {
    return Want.newBuilder()
        .setVm("ledger-17")
        .setWorkload("ledger-17")
        .setFlavour("ledger")
        .setService(7)
        .setCores(2)
        .setMemory(4)
        .setTimeLeftUs(timeLeftMillis * 1000)
        .setLastsUs(60_000_000);
  }
}
