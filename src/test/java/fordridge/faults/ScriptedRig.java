package fordridge.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** One real {@code serve} process between clients and machines that follow a test's script. */
final class ScriptedRig implements AutoCloseable {
  private static final int LISTEN_PORT = 21_000;
  private static final long CONNECT_TIMEOUT_MILLIS = 250;

  private final InetAddress address;
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final MachineListServer machineList;
  private final Path configuration = Files.createTempFile("scripted-rig", ".json");
  private final List<ScriptedMachine> machines = new ArrayList<>();
  private final List<ScriptedClient> clients = new ArrayList<>();
  private final List<ScriptedMachine> listed = new ArrayList<>();
  private final ServeProcess process;
  private int machineNumber;
  private int vmNumber;

  /** Starts the process. One such rig may run at a time, beside others. */
  ScriptedRig() throws IOException, InterruptedException {
    byte part = (byte) (64 + ProcessHandle.current().pid() % 128);
    address = InetAddress.getByAddress(new byte[] {127, part, (byte) 200, 1});
    machineList = new MachineListServer(address, timers, List.of());
    String text =
        new RigConfiguration(
                address.getHostAddress(),
                LISTEN_PORT,
                machineList.port(),
                machineList.known(),
                CONNECT_TIMEOUT_MILLIS)
            .text();
    Files.writeString(configuration, text);
    process = new ServeProcess(configuration, Optional.empty(), List.of());
    process.awaitListening();
  }

  /** A machine that is listed from now on. */
  ScriptedMachine addMachine() throws IOException {
    ScriptedMachine machine = new ScriptedMachine("m-" + machineNumber++, address);
    machines.add(machine);
    listed.add(machine);
    machineList.list(machine, "SERVING", 0);
    return machine;
  }

  /**
   * The machine dies, and another one listens at its address; the list names that one and says
   * nothing of the first.
   */
  ScriptedMachine replaceAtItsAddress(ScriptedMachine machine) throws IOException {
    int port = machine.port();
    machine.die();
    ScriptedMachine successor = new ScriptedMachine("m-" + machineNumber++, address, port);
    machines.add(successor);
    listed.add(successor);
    machineList.list(successor, "SERVING", 0);
    return successor;
  }

  /** The list says that the machine drains: nothing new is placed there. */
  void drain(ScriptedMachine machine) {
    machineList.list(machine, "DRAINING", 0);
  }

  /** The list says that the machine is gone. */
  void removeMachine(ScriptedMachine machine) {
    if (listed.remove(machine)) {
      machineList.list(machine, "DELETED", 0);
    }
  }

  /** All machines of an earlier script are gone. */
  void removeMachines() throws IOException {
    for (ScriptedMachine machine : List.copyOf(listed)) {
      removeMachine(machine);
      machine.die();
    }
  }

  ScriptedClient connect() throws IOException {
    ScriptedClient client = new ScriptedClient(address, LISTEN_PORT);
    clients.add(client);
    return client;
  }

  /** As {@link #connect}, for other threads of a test. */
  ScriptedClient connectUnchecked() {
    try {
      return connect();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** An id that no VM had before. */
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
