package fordridge.emulator;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.util.Collection;
import java.util.Locale;

/** Publishes the machine list to a file, by renaming a new one over it. */
final class FilePublisher implements MachineListPublisher {
  private final File file;

  FilePublisher(File file) {
    this.file = file;
  }

  @Override
  public void publish(
      Collection<RegisteredMachine> machines, Runnable beforeVisible, Runnable afterVisible)
      throws IOException {
    StringBuilder text = new StringBuilder("version = 1\nmachines = [\n");
    machines.forEach(machine -> text.append(entry(machine)));
    text.append("]\n");
    File next = new File(file.getPath() + ".next");
    Files.writeString(next.toPath(), text.toString());
    beforeVisible.run();
    Files.move(
        next.toPath(),
        file.toPath(),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
    afterVisible.run();
  }

  private static String entry(RegisteredMachine registered) {
    EmulatedMachine machine = registered.machine();
    return String.format(
        Locale.ROOT,
        "  { name = \"%s\", address = \"127.0.0.1:%d\", kind = \"%s\","
            + " zone = \"%s\", cell = %d, state = %s, free_cores = %.2f, free_memory = %.2f%s }%n",
        machine.name(),
        machine.port(),
        machine.spec().labels().kind(),
        machine.spec().labels().zone(),
        machine.spec().labels().cell(),
        registered.state().text(),
        registered.freeCores(),
        registered.freeMemory(),
        registered.startedAt().map(at -> ", started = \"" + at + "\"").orElse(""));
  }
}
