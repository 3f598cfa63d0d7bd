package fordridge.emulator.record;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The kinds of events in a wire recording, with the text that stands for each in the file. */
public enum RecordKind {
  /** The deployment settings that the invariants depend on. */
  SETTINGS("terms"),
  /** One priority class of the deployment. */
  PRIORITY_CLASS("flavour"),
  /** The emulator's own process was kept waiting for a processor. */
  EMULATOR_STALLED("stalled"),
  /** A set of tenant constraints was published. */
  CONSTRAINTS_PUBLISHED("rules"),
  /** A machine of the fleet with its topology labels. */
  MACHINE("machine"),
  /** The registry published another state of a machine. */
  MACHINE_LISTED("listed"),
  /** The store sent a scheduler a full snapshot of the machine list. */
  SNAPSHOT_SENT("told-all"),
  /** The store sent a scheduler a change of whether a machine may be used. */
  CHANGE_SENT("told"),
  /** A machine came up and is warming up. */
  MACHINE_STARTED("born"),
  /** A warming machine went down under too many offers. */
  MACHINE_OVERLOADED("fell"),
  /** A machine could not come up again. */
  MACHINE_START_FAILED("rise-failed"),
  /** A machine's process died. */
  CRASH("crash"),
  /** A machine stopped reading and writing without closing its connections. */
  VANISH("vanish"),
  /** A machine began to drain. */
  DRAIN("drain"),
  /** A scheduler opened its stream to a machine. */
  GREETING("greeting"),
  /** A machine reported what it holds for a scheduler. */
  HOLDING("holding"),
  /** A scheduler offered a VM to a machine. */
  OFFER("offer"),
  /** A scheduler withdrew an offer. */
  CANCEL("cancel"),
  /** A scheduler asked a machine to stop a VM. */
  STOP("stop"),
  /** A scheduler asked a machine for its load. */
  PROBE("probe"),
  /** A message of an unknown kind arrived. */
  UNKNOWN_MESSAGE("unknown"),
  /** A machine accepted an offer. */
  ACCEPTED("accepted"),
  /** A machine refused an offer. */
  REFUSED("refused"),
  /** A VM started. */
  STARTED("started"),
  /** A VM ended, or an offer was given up. */
  FINISHED("finished"),
  /** A machine reported the usage of a VM. */
  USAGE_NOTE("note"),
  /** A machine reported its load. */
  LOAD_REPORT("report"),
  /** A fault broke a stream. */
  CUT("cut"),
  /** A scheduler closed its stream to a machine. */
  STREAM_CLOSED("stream-closed"),
  /** A client saw its stream to a scheduler break. */
  STREAM_BROKEN("stream-broken"),
  /** A client opened its stream to a scheduler. */
  HELLO("hello"),
  /** A scheduler took up a client's session. */
  WELCOME("welcome"),
  /** A client requested a VM. */
  PLACEMENT_REQUESTED("want"),
  /** A client withdrew its request for a VM. */
  REQUEST_WITHDRAWN("unwant"),
  /** A client heard that its VM runs. */
  BOUND("bound"),
  /** A client heard that its VM was rejected. */
  DENIED("denied"),
  /** A client heard that its request failed. */
  ERRORED("errored"),
  /** A client heard that its VM ended. */
  ENDED("ended"),
  /** A client heard that its VM was stopped to be migrated. */
  MOVED("moved"),
  /** A client heard a sequence number twice. */
  REPEATED("repeated"),
  /** A scripted fault begins. */
  FAULT_BEGINS("begins"),
  /** A scripted fault could not be injected. */
  FAULT_FAILED("failed"),
  /** The scenario is over. */
  SCENARIO_ENDS("ends");

  private static final Map<String, RecordKind> BY_TEXT =
      Arrays.stream(values()).collect(Collectors.toMap(RecordKind::text, Function.identity()));

  private final String text;

  RecordKind(String text) {
    this.text = text;
  }

  /** The value of the field {@code what} in the file. */
  public String text() {
    return text;
  }

  /** The kind with this text, if there is one. */
  public static Optional<RecordKind> of(String text) {
    return Optional.ofNullable(BY_TEXT.get(text));
  }
}
