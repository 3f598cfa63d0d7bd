package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;

/**
 * A real scheduler process tells a client once that its VM is over, whatever else the end of the VM
 * crosses. Each crossing is forced by a script.
 */
class EndOfVmToldTest {
  /** A notice is due so long after the machine's word. */
  private static final Duration TARGET = Duration.ofSeconds(1);

  /** The target, and the rest for a busy test machine. */
  private static final Duration TOLD_WITHIN = TARGET.plusMillis(400);

  /** Where the machine could not say so. */
  private static final Duration TOLD_WITHIN_UNSAID = Duration.ofMillis(8000 + 400);

  /** The protocol grants half a second past the deadline; the rest is for a busy test machine. */
  private static final Duration ANSWERED_WITHIN = Duration.ofMillis(500 + 250);

  private static final long CROSSING_MILLIS = 100;

  /** Longer than an attempt waits that is not repeatable, half of its start deadline of 3 s. */
  private static final long LATE_ANSWER_MILLIS = 1900;

  private static final long LEFT_MILLIS = 1400;
  private static final long LEFT_MILLIS_ONCE = 2900;

  /** Quick starts, after which an attempt of a repeatable VM waits for twice its objective only. */
  private static final int STARTS_LEARNED_FROM = 16;

  private static final String REPEATABLE = RigConfiguration.REPEATABLE_CLASS;
  private static final String ONCE = RigConfiguration.LIMITED_CLASS;

  private static ScriptedRig rig;
  private static int service = 1;

  @BeforeContainer
  static void startScheduler() throws Exception {
    rig = new ScriptedRig();
  }

  @AfterContainer
  static void stopScheduler() throws Exception {
    rig.close();
  }

  @AfterProperty
  void removeMachines() throws Exception {
    rig.removeMachines();
  }

  /** A VM whose request a machine has and has not answered. */
  private record Offered(
      String vm,
      ScriptedClient client,
      ScriptedMachine machine,
      ScriptedMachine.Connection connection) {
    void accept() {
      machine.accept(connection, vm);
      client.awaitAccepted(vm);
    }
  }

  private Offered offer(ScriptedMachine machine, ScriptedClient client) {
    return offer(machine, client, REPEATABLE, LEFT_MILLIS);
  }

  private Offered offer(
      ScriptedMachine machine, ScriptedClient client, String priorityClass, long leftMillis) {
    String vm = rig.newVmId();
    client.request(vm, priorityClass, leftMillis, service++);
    return new Offered(vm, client, machine, machine.awaitRequest(vm));
  }

  /** Two requests that the machine has, each on a connection of its own. */
  private List<Offered> offerTwo() throws Exception {
    ScriptedMachine machine = rig.addMachine();
    ScriptedClient client = rig.connect();
    Offered first = offer(machine, client);
    Offered second = offer(machine, client);
    assertThat(second.connection).isNotSameAs(first.connection);
    return List.of(first, second);
  }

  private static void awaitTold(Duration within, String vm, ScriptedClient... clients) {
    Awaitility.await("the end of " + vm + " is told")
        .pollInterval(Duration.ofMillis(10))
        .atMost(within)
        .until(() -> List.of(clients).stream().anyMatch(client -> client.isTold(vm)));
  }

  private static void pause() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(CROSSING_MILLIS);
  }

  @Example
  void endOnAnotherConnectionOvertakesTheAnswer() throws Exception {
    List<Offered> offered = offerTwo();
    Offered over = offered.get(0);
    offered.get(1).connection.send(Message.of(Message.ENDED, over.vm, Message.CAUSE_DONE));
    pause();
    over.machine.accept(over.connection, over.vm);
    awaitTold(TOLD_WITHIN, over.vm, over.client);
  }

  @Example
  void doneBeforeTheAnswer() throws Exception {
    endedBeforeTheAnswer(Message.CAUSE_DONE, "");
  }

  @Example
  void cutByADrainBeforeTheAnswer() throws Exception {
    endedBeforeTheAnswer(Message.CAUSE_RESET, "dr");
  }

  private void endedBeforeTheAnswer(int cause, String note) throws Exception {
    Offered over = offer(rig.addMachine(), rig.connect());
    ScriptedMachine other = rig.addMachine();
    over.connection.send(Message.ended(over.vm, cause, note));
    awaitTold(TOLD_WITHIN, over.vm, over.client);
    assertThat(other.hasReceived(Message.REQUEST, over.vm)).as("placed again").isFalse();
  }

  @Example
  void resetAfterAReport() throws Exception {
    failsAfterAReport(over -> over.connection.reset());
  }

  @Example
  void unreadableLineAfterAReport() throws Exception {
    failsAfterAReport(over -> over.connection.sendUnreadable());
  }

  @Example
  void machineDiesAfterAReport() throws Exception {
    failsAfterAReport(
        over -> {
          over.machine.die();
          rig.removeMachine(over.machine);
        });
  }

  private interface Failure {
    void befall(Offered over) throws Exception;
  }

  private void failsAfterAReport(Failure failure) throws Exception {
    Offered over = offer(rig.addMachine(), rig.connect());
    ScriptedMachine other = rig.addMachine();
    over.connection.send(Message.report(over.vm));
    pause();
    failure.befall(over);
    awaitTold(TOLD_WITHIN, over.vm, over.client);
    assertThat(other.hasReceived(Message.REQUEST, over.vm)).as("placed again").isFalse();
  }

  @Example
  void attemptOfAVmThatIsReportedToRunDoesNotTimeOut() throws Exception {
    Offered late = offer(rig.addMachine(), rig.connect(), ONCE, LEFT_MILLIS_ONCE);
    late.connection.send(Message.report(late.vm));
    TimeUnit.MILLISECONDS.sleep(LATE_ANSWER_MILLIS);
    assertThat(late.connection.hasReceived(Message.ENDED, late.vm)).as("withdrawn").isFalse();
    late.accept();
  }

  @Example
  void reportedToRunAndNeverAnswered() throws Exception {
    ScriptedMachine machine = rig.addMachine();
    ScriptedClient client = rig.connect();
    for (int i = 0; i < STARTS_LEARNED_FROM; i++) {
      offer(machine, client).accept();
    }
    Offered over = offer(machine, client);
    ScriptedMachine other = rig.addMachine();
    over.connection.send(Message.report(over.vm));
    awaitTold(Duration.ofMillis(LEFT_MILLIS).plus(ANSWERED_WITHIN), over.vm, over.client);
    Awaitility.await("withdrawal of " + over.vm)
        .until(() -> over.connection.hasReceived(Message.ENDED, over.vm));
    assertThat(over.client.causeOfEnd(over.vm)).isEqualTo(Message.CAUSE_FAILED);
    assertThat(other.hasReceived(Message.REQUEST, over.vm)).as("placed again").isFalse();
  }

  @Example
  void resetAfterAReportOnAnotherConnection() throws Exception {
    List<Offered> offered = offerTwo();
    Offered over = offered.get(0);
    ScriptedMachine other = rig.addMachine();
    offered.get(1).connection.send(Message.report(over.vm));
    pause();
    over.connection.reset();
    awaitTold(TOLD_WITHIN, over.vm, over.client);
    assertThat(other.hasReceived(Message.REQUEST, over.vm)).as("placed again").isFalse();
  }

  @Example
  void endOnAnotherConnectionAfterTheRequestsOwnWasReset() throws Exception {
    ScriptedMachine machine = rig.addMachine();
    ScriptedClient client = rig.connect();
    Offered over = offer(machine, client);
    Offered running = offer(machine, client);
    running.accept();
    ScriptedMachine other = rig.addMachine();
    over.connection.reset();
    ScriptedMachine.Connection again = other.awaitRequest(over.vm);
    running.connection.send(Message.of(Message.ENDED, over.vm, Message.CAUSE_DONE));
    // Half the target: at its end the second attempt times out, which answers the request too.
    awaitTold(TARGET.dividedBy(2), over.vm, over.client);
    Awaitility.await("withdrawal").until(() -> again.hasReceived(Message.ENDED, over.vm));
    assertThat(over.client.wordsOn(over.vm)).containsExactly(Message.ENDED);
  }

  @Example
  void cancelledByItsMachineThoughNoClientEndedIt() throws Exception {
    Offered over = offer(rig.addMachine(), rig.connect());
    over.accept();
    over.connection.send(Message.of(Message.ENDED, over.vm, Message.CAUSE_CANCELLED));
    awaitTold(TOLD_WITHIN, over.vm, over.client);
  }

  @Example
  void handedOverAfterItsTerminationWasAskedFor() throws Exception {
    Offered over = offer(rig.addMachine(), rig.connect());
    over.accept();
    over.client.terminate(over.vm);
    Awaitility.await().until(() -> over.machine.hasReceived(Message.ENDED, over.vm));
    over.client.handOver(over.vm, REPEATABLE, over.machine.id(), 1);
    pause();
    over.connection.send(Message.of(Message.ENDED, over.vm, Message.CAUSE_CANCELLED));
    awaitTold(TOLD_WITHIN, over.vm, over.client);
  }

  @Example
  void handedOverOnceMoreOnAnotherConnection() throws Exception {
    Offered over = offer(rig.addMachine(), rig.connect());
    over.accept();
    over.client.fallSilent();
    ScriptedClient again = rig.connect();
    again.handOver(over.vm, REPEATABLE, over.machine.id(), 1);
    pause();
    over.connection.send(Message.of(Message.ENDED, over.vm, Message.CAUSE_DONE));
    awaitTold(TOLD_WITHIN, over.vm, again);
  }

  @Example
  void handedOverWhileItsRequestIsPendingOnADeadConnection() throws Exception {
    ScriptedClient silent = rig.connect();
    String vm = rig.newVmId();
    ScriptedMachine machine = rig.addMachine();
    silent.request(vm, ONCE, LEFT_MILLIS_ONCE, service++);
    ScriptedMachine.Connection connection = machine.awaitRequest(vm);
    silent.fallSilent();
    ScriptedClient again = rig.connect();
    again.handOver(vm, ONCE, machine.id(), 1);
    pause();
    connection.send(Message.ended(vm, Message.CAUSE_RESET, "dr"));
    awaitTold(TOLD_WITHIN, vm, again);
  }

  @Example
  void ownConnectionIsSilentAndOthersAcknowledge() throws Exception {
    ScriptedMachine machine = rig.addMachine();
    ScriptedClient other = rig.connect();
    ScriptedClient silent = rig.connect();
    for (ScriptedClient client : List.of(other, silent)) {
      Offered earlier = offer(machine, client);
      earlier.accept();
      earlier.connection.send(Message.of(Message.ENDED, earlier.vm, Message.CAUSE_DONE));
      awaitTold(TOLD_WITHIN, earlier.vm, client);
    }
    Offered over = offer(machine, silent);
    over.accept();
    other.own(over.vm);
    silent.fallSilent();
    over.connection.send(Message.of(Message.ENDED, over.vm, Message.CAUSE_DONE));
    awaitTold(TOLD_WITHIN, over.vm, other);
  }

  @Example
  void strangerAcknowledgesWhatNobodyKnows() throws Exception {
    ScriptedMachine machine = rig.addMachine();
    ScriptedClient own = rig.connect();
    Offered over = offer(machine, own);
    over.accept();
    ScriptedClient owner = rig.connect();
    owner.own(over.vm);
    Offered others = offer(machine, owner);
    others.accept();
    ScriptedClient stranger = rig.connect();
    Offered strangers = offer(machine, stranger);
    strangers.accept();
    stranger.fallSilent();
    for (int i = 0; i < 3; i++) {
      stranger.acknowledge(rig.newVmId());
    }
    own.close();
    pause();
    over.connection.send(Message.of(Message.ENDED, over.vm, Message.CAUSE_DONE));
    awaitTold(TOLD_WITHIN_UNSAID, over.vm, owner);
  }

  @Example
  void moreEndsThanOneMachineHasRoomFor() throws Exception {
    ScriptedMachine machine = rig.addMachine();
    ScriptedClient client = rig.connect();
    Offered first = offer(machine, client);
    first.accept();
    List<String> vms = new ArrayList<>();
    for (int i = 0; i < 700; i++) {
      vms.add(rig.newVmId());
    }
    vms.forEach(vm -> first.connection.send(Message.of(Message.ENDED, vm, Message.CAUSE_DONE)));
    pause();
    vms.forEach(vm -> client.handOver(vm, REPEATABLE, machine.id(), 1));
    Awaitility.await("all ends are told")
        .atMost(TOLD_WITHIN_UNSAID)
        .until(() -> vms.stream().allMatch(client::isTold));
  }

  @Example
  void machineHearsThatItsWordIsDelivered() throws Exception {
    Offered over = offer(rig.addMachine(), rig.connect());
    over.accept();
    over.client.fallSilent();
    over.connection.send(Message.of(Message.ENDED, over.vm, Message.CAUSE_DONE));
    pause();
    assertThat(over.machine.hasReceived(Message.ACKNOWLEDGED, over.vm))
        .as("acknowledged before any client has heard it")
        .isFalse();
    over.client.acknowledge(over.vm);
    Awaitility.await().until(() -> over.machine.hasReceived(Message.ACKNOWLEDGED, over.vm));
  }

  @Example
  void machineDiesAndAnotherIsListedAtItsAddressFirst() throws Exception {
    Offered over = offer(rig.addMachine(), rig.connect());
    over.accept();
    ScriptedMachine successor = rig.replaceAtItsAddress(over.machine);
    awaitTold(TOLD_WITHIN, over.vm, over.client);
    Offered next = offer(successor, over.client);
    next.accept();
    next.connection.send(Message.of(Message.ENDED, next.vm, Message.CAUSE_DONE));
    awaitTold(TOLD_WITHIN, next.vm, next.client);
  }

  @Example
  void machineThatLostItsAddressIsListedOnceMore() throws Exception {
    Offered over = offer(rig.addMachine(), rig.connect());
    over.accept();
    ScriptedMachine successor = rig.replaceAtItsAddress(over.machine);
    awaitTold(TOLD_WITHIN, over.vm, over.client);
    Offered next = offer(successor, over.client);
    next.accept();
    rig.drain(over.machine);
    pause();
    assertThat(next.client.isTold(next.vm)).as("told to be over, and runs").isFalse();
    offer(successor, over.client).accept();
  }
}
