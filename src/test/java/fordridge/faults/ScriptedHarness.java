package fordridge.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** One real {@code serve} process with clients and machines that follow a test's script. */
final class ScriptedHarness implements AutoCloseable {
  private static final int LISTEN_PORT = 21_000;
  private static final long CONNECT_TIMEOUT_MILLIS = 250;

  private final InetAddress address;
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final MachineListServer machineList;
  private final Path configuration = Files.createTempFile("scripted-harness", ".json");
  private final List<ScriptedMachine> machines = new ArrayList<>();
  private final List<ScriptedClient> clients = new ArrayList<>();
  private final List<ScriptedMachine> listedMachines = new ArrayList<>();
  private final ServeProcess process;
  private int machineNumber;
  private int vmNumber;

  /**
   * Starts the process. A JVM can run one such harness at a time, beside any {@link FaultHarness}.
   */
  ScriptedHarness() throws IOException, InterruptedException {
    byte part = (byte) (64 + ProcessHandle.current().pid() % 128);
    address = InetAddress.getByAddress(new byte[] {127, part, (byte) 200, 1});
    machineList = new MachineListServer(address, timers, List.of());
    writeConfiguration();
    process = new ServeProcess(configuration, Optional.empty(), List.of());
    process.awaitListening();
  }

  private void writeConfiguration() throws IOException {
    String text =
        new HarnessConfiguration(
                address.getHostAddress(),
                LISTEN_PORT,
                machineList.port(),
                machineList.knownEvents(),
                CONNECT_TIMEOUT_MILLIS)
            .text();
    Files.writeString(configuration, text);
  }

  /** The server of the machine list. */
  MachineListServer machineList() {
    return machineList;
  }

  /** The machine list moves to another address, which a new configuration names. */
  void changeMachineListAddress() throws IOException, InterruptedException {
    machineList.changeAddress();
    writeConfiguration();
    process.signal("HUP");
  }

  /** The process stands still until {@link #continueProcess}. */
  void stopProcess() throws IOException, InterruptedException {
    process.signal("STOP");
  }

  void continueProcess() throws IOException, InterruptedException {
    process.signal("CONT");
  }

  /** Adds a machine and lists it as serving. */
  ScriptedMachine addMachine() throws IOException {
    ScriptedMachine machine = new ScriptedMachine("m-" + machineNumber++, address);
    machines.add(machine);
    listedMachines.add(machine);
    machineList.publish(machine, "SERVING", 0);
    return machine;
  }

  /**
   * Kills the machine and lists another one at its address; the list publishes no change of the
   * first one.
   */
  ScriptedMachine replaceAtSameAddress(ScriptedMachine machine) throws IOException {
    int port = machine.port();
    machine.die();
    ScriptedMachine successor = new ScriptedMachine("m-" + machineNumber++, address, port);
    machines.add(successor);
    listedMachines.add(successor);
    machineList.publish(successor, "SERVING", 0);
    return successor;
  }

  /** The machine list server sends its position that many times at once. */
  void repeatListPosition(int times) {
    machineList.repeatPosition(times);
  }

  /** Kills the machine and starts another one at its address, which is not listed yet. */
  ScriptedMachine startAtSameAddress(ScriptedMachine machine) throws IOException {
    int port = machine.port();
    machine.die();
    ScriptedMachine successor = new ScriptedMachine("m-" + machineNumber++, address, port);
    machines.add(successor);
    return successor;
  }

  /** Lists a machine that was started unlisted as serving, from now on. */
  void list(ScriptedMachine machine) {
    listedMachines.add(machine);
    machineList.publish(machine, "SERVING", System.currentTimeMillis());
  }

  /** Lists the machine as draining: no new VM may be placed there. */
  void drain(ScriptedMachine machine) {
    machineList.publish(machine, "DRAINING", 0);
  }

  /** Lists the machine as serving again. */
  void endDrain(ScriptedMachine machine) {
    machineList.publish(machine, "SERVING", 0);
  }

  /** Lists the machine as deleted, unless that was done before. */
  void removeMachine(ScriptedMachine machine) {
    if (listedMachines.remove(machine)) {
      machineList.publish(machine, "DELETED", 0);
    }
  }

  /** Removes and kills all listed machines, so that the next test starts without any. */
  void removeMachines() throws IOException {
    for (ScriptedMachine machine : List.copyOf(listedMachines)) {
      removeMachine(machine);
      machine.die();
    }
  }

  ScriptedClient connect() throws IOException {
    ScriptedClient client = new ScriptedClient(address, LISTEN_PORT);
    clients.add(client);
    return client;
  }

  /** Opens a client's connection that the test reads and writes itself. */
  Socket connectSocket() throws IOException {
    return new Socket(address, LISTEN_PORT);
  }

  /** As {@link #connect}, without a checked exception, for use in lambdas. */
  ScriptedClient connectUnchecked() {
    try {
      return connect();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A VM id that was not used before. */
  synchronized String newVmId() {
    return String.format("%016x", 0xfa0000 + vmNumber++);
  }

  List<String> log() {
    return process.log();
  }

  @Override
  public void close() throws IOException {
    clients.forEach(ScriptedClient::close);
    for (ScriptedMachine machine : machines) {
      machine.close();
    }
    process.close();
    machineList.close();
    timers.shutdownNow();
    Files.delete(configuration);
  }
}
