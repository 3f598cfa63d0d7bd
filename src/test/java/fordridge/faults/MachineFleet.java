package fordridge.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The emulated machines of a rig: which are live, how they come and go, and what the list says. */
final class MachineFleet {
  private static final int MACHINES_AT_START = 6;

  /** Fewer live machines than this are left alone. */
  private static final int MIN_LIVE_MACHINES = 3;

  /** Every third machine is of the kind that the limited class does not run on. */
  private static final int PLAIN_KIND_EVERY = 3;

  private static final int MACHINE_ROOM = 40;

  /** Between the words on a machine's VMs and its end. */
  private static final long DEATH_AFTER_CUT_MILLIS = 80;

  /** Told at the latest after the list's server fell silent. */
  private static final long SILENT_LIST_TOLD_MILLIS = 4000;

  private final InetAddress address;
  private final ScheduledExecutorService timers;
  private final ObligationLedger ledger;
  private final PlacementLedger placements;
  private final long seed;
  private final SplittableRandom random;
  private final List<EmulatedMachine> machines = new ArrayList<>();
  private final List<EmulatedMachine> liveMachines = new ArrayList<>();
  private MachineListServer machineList;
  private long listSilentUntil;
  private int machineNumber;

  MachineFleet(
      InetAddress address,
      ScheduledExecutorService timers,
      ObligationLedger ledger,
      PlacementLedger placements,
      long seed)
      throws IOException {
    this.address = address;
    this.timers = timers;
    this.ledger = ledger;
    this.placements = placements;
    this.seed = seed;
    random = new SplittableRandom(seed);
    for (int i = 0; i < MACHINES_AT_START; i++) {
      boolean isPlain = i % PLAIN_KIND_EVERY == PLAIN_KIND_EVERY - 1;
      add(
          isPlain ? RigConfiguration.PLAIN_KIND : PlacementLedger.LIMITED_CLASS_KIND,
          new InetSocketAddress(address, 0));
    }
  }

  /** Where changes are listed; to be called once, before any. */
  void listedBy(MachineListServer server) {
    machineList = server;
  }

  /** All that there ever were. */
  List<EmulatedMachine> all() {
    return List.copyOf(machines);
  }

  List<EmulatedMachine> live() {
    return List.copyOf(liveMachines);
  }

  EmulatedMachine any() {
    return liveMachines.get(random.nextInt(liveMachines.size()));
  }

  /** The server of the list says nothing for this long. */
  void listSilentFor(long millis) {
    listSilentUntil = ledger.now() + millis;
  }

  private EmulatedMachine add(String kind, InetSocketAddress at) throws IOException {
    String id = "s-" + machineNumber++;
    EmulatedMachine machine =
        new EmulatedMachine(
            id, kind, at, MACHINE_ROOM, timers, ledger, placements, seed + machineNumber);
    machines.add(machine);
    liveMachines.add(machine);
    return machine;
  }

  private void addAndList(String kind, InetSocketAddress at) throws IOException {
    machineList.list(add(kind, at), "SERVING", System.currentTimeMillis());
  }

  /** The machine that drains from now on, with another in its place; empty if few are left. */
  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  Optional<EmulatedMachine> drain() throws IOException {
    if (liveMachines.size() < MIN_LIVE_MACHINES) {
      return Optional.empty();
    }
    EmulatedMachine drained = any();
    liveMachines.remove(drained);
    machineList.list(drained, "DRAINING", 0);
    long toldIn = ledger.now() < listSilentUntil ? SILENT_LIST_TOLD_MILLIS : 0;
    timers.schedule(() -> ledger.machineDrains(drained.id()), toldIn, TimeUnit.MILLISECONDS);
    addAndList(drained.kind(), new InetSocketAddress(address, 0));
    return Optional.of(drained);
  }

  /** A machine drains, cuts its VMs after that time, and is gone. */
  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  void replace(int cutAfterMillis) throws IOException {
    Optional<EmulatedMachine> replaced = drain();
    if (replaced.isPresent()) {
      EmulatedMachine machine = replaced.get();
      timers.schedule(machine::cutVms, cutAfterMillis, TimeUnit.MILLISECONDS);
      timers.schedule(
          () -> {
            machine.die();
            machineList.list(machine, "DELETED", 0);
            return null;
          },
          cutAfterMillis + DEATH_AFTER_CUT_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** A machine dies, and is listed as gone after that time. */
  void kill(int listedAfterMillis) throws IOException {
    if (liveMachines.size() >= MIN_LIVE_MACHINES) {
      die(any(), listedAfterMillis);
    }
  }

  /** As {@link #kill}, and another machine is listed at its address at once. */
  void takeAddress(int listedAfterMillis) throws IOException {
    EmulatedMachine former = any();
    InetSocketAddress at = former.address();
    die(former, listedAfterMillis);
    addAndList(former.kind(), at);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  private void die(EmulatedMachine machine, int listedAfterMillis) throws IOException {
    liveMachines.remove(machine);
    machine.die();
    timers.schedule(
        () -> machineList.list(machine, "DELETED", 0), listedAfterMillis, TimeUnit.MILLISECONDS);
  }
}
