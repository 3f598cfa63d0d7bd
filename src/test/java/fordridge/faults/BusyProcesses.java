package fordridge.faults;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Processes that run a busy loop on one processor core, for a minute at the most. */
final class BusyProcesses implements AutoCloseable {
  private static final String MAX_SECONDS = "60";

  private final int core;
  private final List<Process> processes = new ArrayList<>();

  private BusyProcesses(int core) {
    this.core = core;
  }

  /** Starts {@code count} processes on the core. */
  static BusyProcesses start(int core, int count) throws IOException {
    BusyProcesses busy = new BusyProcesses(core);
    for (int i = 0; i < count; i++) {
      List<String> command = new ArrayList<>(onCore(core));
      command.addAll(List.of("timeout", MAX_SECONDS, "sh", "-c", "while :; do :; done"));
      busy.processes.add(new ProcessBuilder(command).start());
    }
    return busy;
  }

  /** A command prefix that makes a process run on this core only. */
  static List<String> onCore(int core) {
    return List.of("taskset", "-c", Integer.toString(core));
  }

  int core() {
    return core;
  }

  @Override
  public void close() {
    for (Process process : processes) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
    }
  }
}
