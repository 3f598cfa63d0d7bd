package fordridge.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.Map;

/** The machine list file, which is replaced by renaming. Thread-safe. */
final class MachineList {
  private final Path folder;
  private final Map<String, String> machines = new LinkedHashMap<>();

  MachineList(Path folder) {
    this.folder = folder;
  }

  /** Lists a live machine, or changes its entry. */
  synchronized void list(String machine, int port, double freeCores, double freeMemory)
      throws IOException {
    machines.put(
        machine,
        "  { name = \"" + machine + "\", address = \"127.0.0.1:" + port
            + "\", kind = \"std\", zone = \"a\", cell = 0, state = live, free_cores = "
            + freeCores + ", free_memory = " + freeMemory + " }\n");
    write();
  }

  /** Removes a machine from the list. */
  synchronized void remove(String machine) throws IOException {
    machines.remove(machine);
    write();
  }

  private void write() throws IOException {
    Path next = folder.resolve("machines.next");
    Files.writeString(
        next, "version = 1\nmachines = [\n" + String.join("", machines.values()) + "]\n");
    Files.move(
        next,
        folder.resolve("machines.conf"),
        StandardCopyOption.REPLACE_EXISTING,
        StandardCopyOption.ATOMIC_MOVE);
  }
}
