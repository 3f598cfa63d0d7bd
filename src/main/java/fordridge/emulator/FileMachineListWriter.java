package fordridge.emulator;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.util.Collection;
import java.util.Locale;

/** Writes the machine list to a file, which is replaced atomically by a rename. */
final class FileMachineListWriter implements MachineListWriter {
  private final File file;

  FileMachineListWriter(File file) {
    this.file = file;
  }

  @Override
  public void write(
      Collection<RegisteredMachine> machines, Runnable beforeVisible, Runnable afterVisible)
      throws IOException {
    StringBuilder content = new StringBuilder("version = 1\nmachines = [\n");
    machines.forEach(machine -> content.append(entry(machine)));
    content.append("]\n");
    File temporaryFile = new File(file.getPath() + ".next");
    Files.writeString(temporaryFile.toPath(), content.toString());
    beforeVisible.run();
    Files.move(
        temporaryFile.toPath(),
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
