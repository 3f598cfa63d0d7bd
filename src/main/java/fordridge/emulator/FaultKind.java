package fordridge.emulator;

import java.util.Arrays;

/** The kinds of faults that a scenario can inject; docs/emulator.md says what each does. */
enum FaultKind {
  SLOW("slow", Target.MACHINE),
  VANISH("vanish", Target.FLEET),
  HANG("hang", Target.MACHINE),
  CRASH("crash", Target.FLEET),
  FAST_ERRORS("fast_errors", Target.MACHINE),
  PAUSES("pauses", Target.MACHINE),
  NEIGHBOUR("neighbour", Target.MACHINE),
  ANSWER_LOST("answer_lost", Target.MACHINE),
  THROTTLE("throttle", Target.MACHINE),
  DRAIN("drain", Target.FLEET),
  DEPLOY("deploy", Target.FLEET),
  MASS_RESTART("mass_restart", Target.FLEET),
  PREEMPT("preempt", Target.FLEET),
  ZONE_LOSS("zone_loss", Target.FLEET),
  GROW("grow", Target.FLEET),
  BURST("burst", Target.CLIENTS),
  HOT_KEY("hot_key", Target.MACHINE),
  FLUSH("flush", Target.MACHINE),
  RECONNECT("reconnect", Target.CLIENTS),
  CUT_CLIENTS("cut_clients", Target.CLIENTS),
  CUT_MACHINES("cut_machines", Target.MACHINE),
  CUT_OFFERS("cut_offers", Target.MACHINE),
  CUT_BEFORE_ANSWER("cut_before_answer", Target.MACHINE),
  CUT_AFTER_ANSWER("cut_after_answer", Target.MACHINE),
  CUT_GREETINGS("cut_greetings", Target.MACHINE),
  CUT_BINDS("cut_binds", Target.CLIENTS),
  MUTE("mute", Target.MACHINE),
  ETCD_COMPACT("etcd_compact", Target.STORE),
  ETCD_SILENCE("etcd_silence", Target.STORE),
  ETCD_CUT("etcd_cut", Target.STORE),
  ETCD_DELAY("etcd_delay", Target.STORE),
  ETCD_RESTORE("etcd_restore", Target.STORE),
  ETCD_LEASES("etcd_leases", Target.STORE);

  /** The part of the emulator into which a fault is injected. */
  enum Target {
    /** Individual machines, which stay in the fleet. */
    MACHINE,
    /** The fleet: machines leave or join it. */
    FLEET,
    CLIENTS,
    STORE
  }

  private final String text;
  private final Target target;

  FaultKind(String text, Target target) {
    this.text = text;
    this.target = target;
  }

  /** The kind's name in scenario files and recordings. */
  String text() {
    return text;
  }

  Target target() {
    return target;
  }

  static String[] texts() {
    return Arrays.stream(values()).map(FaultKind::text).toArray(String[]::new);
  }

  static FaultKind of(String text) {
    for (FaultKind kind : values()) {
      if (kind.text.equals(text)) {
        return kind;
      }
    }
    throw new IllegalArgumentException(
        "unknown fault kind '" + text + "'; docs/emulator.md lists the valid kinds");
  }
}
