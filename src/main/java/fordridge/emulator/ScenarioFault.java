package fordridge.emulator;

import java.time.Duration;
import java.util.Locale;

/**
 * A fault of a scenario. What size, extra and subject mean depends on the kind: see
 * docs/emulator.md.
 *
 * @param at when it begins, from the start of the scenario
 * @param share the share of the machines or clients that it hits
 * @param scope what the machines that it hits have in common
 */
record ScenarioFault(
    FaultKind kind,
    Duration at,
    Duration length,
    double share,
    double size,
    double extra,
    String subject,
    Scope scope) {

  /** What the machines that a fault hits have in common. */
  enum Scope {
    ANY,
    ZONE,
    CELL,
    KIND;

    String text() {
      return name().toLowerCase(Locale.ROOT);
    }

    static Scope of(String text) {
      return valueOf(text.toUpperCase(Locale.ROOT));
    }
  }

  int sizeAtLeastOne() {
    return (int) Math.max(1, size);
  }

  Duration sizeMillis() {
    return Duration.ofMillis((long) size);
  }

  Duration extraMillis() {
    return Duration.ofMillis((long) extra);
  }
}
