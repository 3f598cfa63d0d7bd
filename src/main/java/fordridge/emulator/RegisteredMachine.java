package fordridge.emulator;

import java.time.Instant;
import java.util.Locale;
import java.util.Optional;

/**
 * A machine's entry in the emulated registry. Immutable.
 *
 * @param startedAt when the machine started, if the registry publishes that
 */
record RegisteredMachine(
    EmulatedMachine machine,
    State state,
    Optional<Instant> startedAt,
    double freeCores,
    double freeMemory) {

  /** A machine's state in the machine list. */
  enum State {
    LIVE,
    DRAINING,
    GONE;

    /** The state's name in the machine list. */
    String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  boolean isIn(State other) {
    return state == other;
  }

  RegisteredMachine withFreeCapacity(double cores, double memory) {
    return new RegisteredMachine(machine, state, startedAt, cores, memory);
  }
}
