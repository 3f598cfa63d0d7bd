package fordridge.review;

import fordridge.v1.Want;

/**
 * A request over the client's limit is denied on a connection that breaks before the answer
 * arrives; the client resumes its session and repeats what has no response.
 */
final class SecondAnswer extends Case {
  private static final int LIMIT = 8;
  private static final String LAST = "ledger-" + (LIMIT + 1);

  public static void main(String[] args) {
    run(new SecondAnswer(), args);
  }

  @Override
  String play() throws Exception {
    addMachines(2, 1_500);
    listMachines();
    startPlacers(
        1,
        "sessions.open = "
            + LIMIT
            + "\nkinds = [{ name = \"std\", cores = 28, memory = 60 }]\n"
            + "flavours = [{ name = \"ledger\", effect = \"one-shot\", build_target = 3s,"
            + " build_timeout = 12s, priority = 2 }]\n");
    Proxy proxy = new Proxy(placer.port());
    StandInClient client = new StandInClient("bank", record);
    connect(client, proxy.port());
    // The stream is used once before, as the first requests of a process take longer.
    client.want(want("ledger-0", record.millis()));
    client.await(StandInClient::isFinal, 8_000);
    long asked = record.millis();
    for (int i = 1; i <= LIMIT; i++) {
      client.want(want("ledger-" + i, asked));
    }
    Thread.sleep(200);
    if (trouble) {
      record.line("network", "answers to the client are lost from now on");
      proxy.setSwallowing(true);
    }
    client.want(want(LAST, asked));
    if (trouble) {
      Thread.sleep(2_500);
      record.line("network", "the client's connection is reset");
      proxy.reset(false);
      proxy.setSwallowing(false);
      // As it is welcomed: under the same names, the requests that have no response.
      if (!client.connect(proxy.port(), 3_000, () -> repeatUnanswered(client, asked))) {
        throw new IllegalStateException("no Welcome");
      }
    }
    Thread.sleep(8_000);
    long answers =
        client.responses().stream()
            .filter(m -> StandInClient.isFinal(m) && StandInClient.vm(m).equals(LAST))
            .count();
    record.line("case", LAST + " got " + answers + " final responses");
    return answers > 1 ? "the one-shot VM " + LAST + " got " + answers + " final responses" : null;
  }

  private void repeatUnanswered(StandInClient client, long asked) {
    for (int i = 1; i <= LIMIT + 1; i++) {
      String vm = "ledger-" + i;
      if (client.responses().stream().noneMatch(m -> StandInClient.vm(m).equals(vm))) {
        client.want(want(vm, asked));
      }
    }
  }

  private Want.Builder want(String vm, long asked) {
    return Want.newBuilder()
        .setVm(vm)
        .setWorkload(vm)
        .setFlavour("ledger")
        .setService(7)
        .setCores(1)
        .setMemory(2)
        .setLastsUs(30_000_000)
        .setTimeLeftUs((12_000 - (record.millis() - asked)) * 1000);
  }
}
