package fordridge.emulator.record;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The kinds of events in a wire recording, with their values in the file. */
public enum RecordedEventKind {
  /** The deployment settings on which the invariants depend. */
  SETTINGS("terms"),
  /** One priority class of the deployment. */
  PRIORITY_CLASS("flavour"),
  /** The emulator's process stalled, waiting for a processor. */
  EMULATOR_STALLED("stalled"),
  /** A set of tenant constraints was published. */
  CONSTRAINTS_PUBLISHED("rules"),
  /** A machine of the fleet with its topology labels. */
  MACHINE("machine"),
  /** The registry published a changed state of a machine. */
  MACHINE_LISTED("listed"),
  /** The store sent a scheduler a full snapshot of the machine list. */
  SNAPSHOT_SENT("told-all"),
  /** The store sent a scheduler a change of whether a machine may be used. */
  CHANGE_SENT("told"),
  /** A machine started and begins to warm up. */
  MACHINE_STARTED("born"),
  /** A machine crashed from too many offers while it was warming up. */
  MACHINE_OVERLOADED("fell"),
  /** A machine could not listen at its address again after a restart. */
  MACHINE_START_FAILED("rise-failed"),
  /** A machine's process died. */
  CRASH("crash"),
  /** A machine stopped reading and writing without closing its connections. */
  VANISH("vanish"),
  /** A machine began to drain. */
  DRAIN("drain"),
  /** A scheduler opened its stream to a machine. */
  MACHINE_STREAM_OPENED("greeting"),
  /** A machine sent a scheduler the inventory of that scheduler's VMs. */
  INVENTORY_REPORTED("holding"),
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
  /** A VM ended, or its offer failed or was cancelled before it ran. */
  FINISHED("finished"),
  /** A machine reported the usage of a VM. */
  USAGE_NOTE("note"),
  /** A machine reported its load. */
  LOAD_REPORT("report"),
  /** An injected fault broke a stream. */
  STREAM_CUT("cut"),
  /** A scheduler closed its stream to a machine. */
  STREAM_CLOSED("stream-closed"),
  /** A client detected that its stream to a scheduler broke. */
  CLIENT_STREAM_BROKEN("stream-broken"),
  /** A client opened its stream to a scheduler. */
  CLIENT_STREAM_OPENED("hello"),
  /** A scheduler opened or resumed a client's session. */
  SESSION_OPENED("welcome"),
  /** A client requested a VM. */
  PLACEMENT_REQUESTED("want"),
  /** A client withdrew its request for a VM. */
  REQUEST_WITHDRAWN("unwant"),
  /** A client was notified that its request was accepted. */
  REQUEST_ACCEPTED("bound"),
  /** A client was notified that its request was rejected. */
  REQUEST_REJECTED("denied"),
  /** A client was notified that its request failed. */
  REQUEST_FAILED("errored"),
  /** A client was notified that its VM ended. */
  ENDED("ended"),
  /** A client was notified that its VM was stopped for migration. */
  VM_MIGRATED("moved"),
  /** A client received a message with a sequence number that it had already received. */
  SEQUENCE_REPEATED("repeated"),
  /** A scripted fault begins. */
  FAULT_BEGINS("begins"),
  /** A scripted fault could not be injected. */
  FAULT_FAILED("failed"),
  /** The scenario is over. */
  SCENARIO_ENDS("ends");

  private static final Map<String, RecordedEventKind> BY_TEXT =
      Arrays.stream(values())
          .collect(Collectors.toMap(RecordedEventKind::text, Function.identity()));

  private final String text;

  RecordedEventKind(String text) {
    this.text = text;
  }

  /** The value of the field {@code what} in the file. */
  public String text() {
    return text;
  }

  /** The kind with this value in the file; empty if there is none. */
  public static Optional<RecordedEventKind> of(String text) {
    return Optional.ofNullable(BY_TEXT.get(text));
  }
}
