package fordridge.emulator;

import java.io.IOException;
import java.util.Collection;

/** Publishes the machine list where the schedulers read it. */
interface MachineListWriter {
  /**
   * Publishes a list.
   *
   * @param beforeVisible to be called before the schedulers can see it
   * @param afterVisible to be called once they can
   */
  void write(
      Collection<RegisteredMachine> machines, Runnable beforeVisible, Runnable afterVisible)
      throws IOException;
}
