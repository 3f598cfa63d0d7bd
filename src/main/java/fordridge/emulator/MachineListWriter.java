package fordridge.emulator;

import java.io.IOException;
import java.util.Collection;

/** Writes the machine list to the place from which the schedulers read it. */
interface MachineListWriter {
  /**
   * Writes a machine list.
   *
   * @param beforeVisible called before the schedulers can read the new list
   * @param afterVisible called once the schedulers can read it
   */
  void write(Collection<RegisteredMachine> machines, Runnable beforeVisible, Runnable afterVisible)
      throws IOException;
}
