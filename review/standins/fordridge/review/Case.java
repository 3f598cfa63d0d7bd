package fordridge.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The parts that each case starts, and its exit code: 0 held, 1 broken, 2 could not run. */
abstract class Case {
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final List<StandInMachine> machines = new ArrayList<>();
  Record record;
  Path folder;
  MachineList list;

  /** The scheduler that the clients of the case use; the first of all. */
  Placer placer;

  private final List<Placer> placers = new ArrayList<>();
  private final List<Runnable> closeActions = new ArrayList<>();

  /** Plays the case; returns what broke the rule, or null if it held. */
  abstract String play() throws Exception;

  /** Arguments: the folder of the case and a temporary folder. */
  static void run(Case theCase, String[] args) {
    int code = 2;
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep(110_000);
              } catch (InterruptedException e) {
                return;
              }
              System.out.println("could not run: not done within 110 s");
              theCase.close();
              Runtime.getRuntime().halt(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    Runtime.getRuntime().addShutdownHook(new Thread(theCase::close));
    try {
      theCase.folder = Path.of(args[1]);
      theCase.list = new MachineList(theCase.folder);
      theCase.record = new Record(Path.of(args[0], "record.txt"));
      theCase.record.line("case", theCase.trouble ? "with the disruption" : "TROUBLE=0");
      String broken = theCase.play();
      theCase.record.line("case", broken == null ? "RULE HELD" : "RULE BROKEN: " + broken);
      theCase.record.close();
      code = broken == null ? 0 : 1;
    } catch (Throwable e) {
      if (theCase.record != null) {
        theCase.record.line("case", "could not run: " + e);
      }
      e.printStackTrace();
    }
    theCase.close();
    Runtime.getRuntime().halt(code);
  }

  final void addMachines(int count, long startMillis) throws Exception {
    for (int i = 1; i <= count; i++) {
      machines.add(new StandInMachine("m" + i, startMillis, record));
    }
  }

  final void listMachines() throws Exception {
    for (StandInMachine machine : machines) {
      list.list(machine.name(), machine.port(), 28, 60);
    }
  }

  /** Starts the schedulers of the cluster. */
  final void startPlacers(int count, String settings) throws Exception {
    for (int i = 0; i < count; i++) {
      placers.add(new Placer(folder, i, count, settings, record));
    }
    placer = placers.get(0);
    for (Placer each : placers) {
      each.start();
    }
  }

  /** Starts over all machines: the number of times that a VM was started. */
  final int starts() {
    return machines.stream().mapToInt(StandInMachine::starts).sum();
  }

  /** Connects until the scheduler welcomes the client. */
  final void connect(StandInClient client, int port) throws Exception {
    for (int i = 0; i < 100; i++) {
      if (client.connect(port, 2000)) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException("no Welcome");
  }

  /** Runs at the end of the case, however it ends. */
  final void onClose(Runnable action) {
    closeActions.add(action);
  }

  final void close() {
    closeActions.forEach(Runnable::run);
    placers.forEach(Placer::close);
    machines.forEach(StandInMachine::close);
  }
}
