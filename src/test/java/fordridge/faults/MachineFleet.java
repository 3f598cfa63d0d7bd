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

/**
 * The fake machines of a harness: adds, drains, replaces and kills them, and publishes the changes
 * in the machine list.
 */
final class MachineFleet {
  private static final int MACHINES_AT_START = 6;

  /** Machines are drained or killed only while at least this many are live. */
  private static final int MIN_LIVE_MACHINES = 3;

  /** Every third machine is of the kind that the limited class does not run on. */
  private static final int PLAIN_KIND_EVERY = 3;

  private static final int MACHINE_CAPACITY = 40;

  /** The delay between the ends of a machine's VMs and its own death. */
  private static final long DEATH_DELAY_MILLIS = 80;

  /** When a drain is known at the latest, if the server of the list has stopped sending. */
  private static final long SILENT_LIST_DELAY_MILLIS = 4000;

  private final InetAddress address;
  private final ScheduledExecutorService timers;
  private final ProtocolChecker checker;
  private final PlacementChecker placementChecker;
  private final long seed;
  private final SplittableRandom random;
  private final List<FakeMachine> machines = new ArrayList<>();
  private final List<FakeMachine> liveMachines = new ArrayList<>();
  private MachineListServer machineList;
  private long listSilentUntil;
  private int machineNumber;

  MachineFleet(
      InetAddress address,
      ScheduledExecutorService timers,
      ProtocolChecker checker,
      PlacementChecker placementChecker,
      long seed)
      throws IOException {
    this.address = address;
    this.timers = timers;
    this.checker = checker;
    this.placementChecker = placementChecker;
    this.seed = seed;
    random = new SplittableRandom(seed);
    for (int i = 0; i < MACHINES_AT_START; i++) {
      boolean isPlain = i % PLAIN_KIND_EVERY == PLAIN_KIND_EVERY - 1;
      add(
          isPlain ? HarnessConfiguration.PLAIN_KIND : PlacementChecker.LIMITED_CLASS_KIND,
          new InetSocketAddress(address, 0));
    }
  }

  /** Sets the machine list that changes are published in; called once, before any change. */
  void setMachineList(MachineListServer server) {
    machineList = server;
  }

  /** All machines of this fleet, dead ones included. */
  List<FakeMachine> allMachines() {
    return List.copyOf(machines);
  }

  List<FakeMachine> liveMachines() {
    return List.copyOf(liveMachines);
  }

  FakeMachine randomMachine() {
    return liveMachines.get(random.nextInt(liveMachines.size()));
  }

  /** The server of the machine list sends nothing for this time. */
  void machineListSilentFor(long millis) {
    listSilentUntil = checker.now() + millis;
  }

  private FakeMachine add(String kind, InetSocketAddress at) throws IOException {
    String id = "s-" + machineNumber++;
    FakeMachine machine =
        new FakeMachine(
            id,
            kind,
            at,
            MACHINE_CAPACITY,
            timers,
            checker,
            placementChecker,
            seed + machineNumber);
    machines.add(machine);
    liveMachines.add(machine);
    return machine;
  }

  private void addAndList(String kind, InetSocketAddress at) throws IOException {
    machineList.publish(add(kind, at), "SERVING", System.currentTimeMillis());
  }

  /** Drains a machine and adds another; empty if too few are live. */
  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  Optional<FakeMachine> drain() throws IOException {
    if (liveMachines.size() < MIN_LIVE_MACHINES) {
      return Optional.empty();
    }
    FakeMachine drained = randomMachine();
    liveMachines.remove(drained);
    machineList.publish(drained, "DRAINING", 0);
    long announcedAfterMillis = checker.now() < listSilentUntil ? SILENT_LIST_DELAY_MILLIS : 0;
    timers.schedule(
        () -> checker.drainAnnounced(drained.id()), announcedAfterMillis, TimeUnit.MILLISECONDS);
    addAndList(drained.kind(), new InetSocketAddress(address, 0));
    return Optional.of(drained);
  }

  /** Drains a machine, which ends its VMs after that time, dies and is listed as deleted. */
  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  void replace(int endVmsAfterMillis) throws IOException {
    Optional<FakeMachine> replaced = drain();
    if (replaced.isPresent()) {
      FakeMachine machine = replaced.get();
      timers.schedule(machine::endAllVms, endVmsAfterMillis, TimeUnit.MILLISECONDS);
      timers.schedule(
          () -> {
            machine.die();
            machineList.publish(machine, "DELETED", 0);
            return null;
          },
          endVmsAfterMillis + DEATH_DELAY_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** A machine dies, and is listed as deleted after that time. */
  void kill(int listedAfterMillis) throws IOException {
    if (liveMachines.size() >= MIN_LIVE_MACHINES) {
      die(randomMachine(), listedAfterMillis);
    }
  }

  /** As {@link #kill}, and another machine is listed at its address at once. */
  void killAndReuseAddress(int listedAfterMillis) throws IOException {
    FakeMachine deadMachine = randomMachine();
    InetSocketAddress at = deadMachine.address();
    die(deadMachine, listedAfterMillis);
    addAndList(deadMachine.kind(), at);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  private void die(FakeMachine machine, int listedAfterMillis) throws IOException {
    liveMachines.remove(machine);
    machine.die();
    timers.schedule(
        () -> machineList.publish(machine, "DELETED", 0), listedAfterMillis, TimeUnit.MILLISECONDS);
  }
}
