package fordridge.emulator;

import java.time.Duration;
import java.util.Locale;

/**
 * A fault that a scenario injects. The meaning of size, extra and subject depends on the kind; see
 * docs/emulator.md.
 *
 * @param at when the fault begins, from the start of the scenario
 * @param length how long it lasts
 * @param share the share of the machines or clients that it affects
 * @param scope the label that the affected machines have in common
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

  /** The label that the machines affected by a fault have in common. */
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
