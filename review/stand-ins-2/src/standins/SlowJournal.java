package standins;

/**
 * The journal service takes some seconds to answer each request for its events. See claim.txt of the
 * case.
 */
final class SlowJournal {
  /** Less than the page's 4 s, after which what a silent service would tell counts as told. */
  private static final long ANSWER_DELAY_MILLIS = 2_500;

  private static final long TOLD_AFTER_MILLIS = 4_000;

  /** The grace of the settings and the slack of the page. */
  private static final long GRACE_MILLIS = 500 + 50;

  private static final long RUN_MILLIS = 15_000;

  public static void main(String[] args) throws Exception {
    Bench.main(args, SlowJournal::run);
  }

  private static void run(Bench bench) throws Exception {
    Bench.Journal journal = bench.new Journal();
    journal.answerDelayMillis = Bench.TROUBLE ? ANSWER_DELAY_MILLIS : 0;
    long[] drainedAt = {Long.MAX_VALUE};
    Bench.Machine[] machines = new Bench.Machine[3];
    String[] entries = new String[machines.length];
    for (int i = 0; i < machines.length; i++) {
      boolean isDrained = i == 0;
      machines[i] =
          bench.new Machine("s-0000000" + (i + 1), 0) {
            @Override
            int refusalOf(Message message) {
              long since = bench.millis() - drainedAt[0];
              if (isDrained && since > TOLD_AFTER_MILLIS + GRACE_MILLIS) {
                bench.violation(
                    "set-up " + message.ref() + " sent to " + id + " " + since
                        + " ms after the journal service had its drain");
              }
              return super.refusalOf(message);
            }
          };
      machines[i].lifeMillis = 4_000;
      entries[i] = Bench.entry(machines[i].id, machines[i].address(), i, "SERVING", 0);
    }
    journal.add(true, entries);
    int port =
        bench.startScheduler(
            journal.address(), journal.allEvents(), journal.position(), Bench.settings());
    Bench.Client client = bench.new Client(port);
    client.connectWhenReady();
    // Five requests a second, for four services in turn: some five tasks of each at a time, of which a
    // machine may hold two.
    long number = 0;
    long startedAt = bench.millis();
    while (bench.millis() - startedAt < RUN_MILLIS) {
      if (number == 25) {
        machines[0].isDraining = true;
        journal.add(false, Bench.entry(machines[0].id, machines[0].address(), 0, "DRAINING", 0));
        drainedAt[0] = bench.millis();
      }
      number++;
      client.ask(
          String.format("%016x", 0xb00 + number), "race-host", 8000,
          Long.toHexString(1 + number % 4));
      bench.sleep(200);
    }
    bench.sleep(500);
    bench.require(bench.isSchedulerAlive(), "the scheduler has ended");
    long placed = client.requests.values().stream().filter(Bench.Request::stands).count();
    bench.log("requests " + number + ", placed " + placed);
    bench.require(placed > number / 3, "too few requests were placed to judge");
  }
}
