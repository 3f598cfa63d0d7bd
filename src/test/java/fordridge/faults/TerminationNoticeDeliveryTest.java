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
 * A real scheduler process notifies a client that its VM has ended, also when the end races with
 * answers, resets, handovers and other events. Each race is forced by a script.
 */
class TerminationNoticeDeliveryTest {
  /** A notice is due this long after the machine's message. */
  private static final Duration NOTICE_TARGET = Duration.ofSeconds(1);

  /** The target, and 400 ms of slack for a busy test host. */
  private static final Duration NOTICE_WITHIN = NOTICE_TARGET.plusMillis(400);

  /** The limit where the machine could not report the end (8 s), and the same slack. */
  private static final Duration NOTICE_WITHIN_UNREPORTED = Duration.ofMillis(8000 + 400);

  /** The protocol allows 500 ms past the deadline; the rest is slack for a busy test host. */
  private static final Duration ANSWERED_WITHIN = Duration.ofMillis(500 + 250);

  private static final long PAUSE_MILLIS = 100;

  /**
   * Longer than the timeout of an attempt that is not repeatable, which is half of its start
   * deadline of 3 s.
   */
  private static final long LATE_ANSWER_MILLIS = 1900;

  private static final long REPEATABLE_TIME_LEFT_MILLIS = 1400;
  private static final long NON_REPEATABLE_TIME_LEFT_MILLIS = 2900;

  /**
   * The number of fast starts after which the timeout of a repeatable VM's attempt is only twice
   * its start objective.
   */
  private static final int STARTS_BEFORE_ESTIMATE = 16;

  private static final String REPEATABLE = HarnessConfiguration.REPEATABLE_CLASS;
  private static final String NON_REPEATABLE = HarnessConfiguration.LIMITED_CLASS;

  private static ScriptedHarness harness;
  private static int service = 1;

  @BeforeContainer
  static void startScheduler() throws Exception {
    harness = new ScriptedHarness();
  }

  @AfterContainer
  static void stopScheduler() throws Exception {
    harness.close();
  }

  @AfterProperty
  void removeMachines() throws Exception {
    harness.removeMachines();
  }

  /** A VM whose request a machine has received and not answered. */
  private record OfferedVm(
      String vm,
      ScriptedClient client,
      ScriptedMachine machine,
      ScriptedMachine.Connection connection) {
    void accept() {
      machine.accept(connection, vm);
      client.awaitAccepted(vm);
    }
  }

  private OfferedVm offer(ScriptedMachine machine, ScriptedClient client) {
    return offer(machine, client, REPEATABLE, REPEATABLE_TIME_LEFT_MILLIS);
  }

  private OfferedVm offer(
      ScriptedMachine machine, ScriptedClient client, String priorityClass, long timeLeftMillis) {
    String vm = harness.newVmId();
    client.request(vm, priorityClass, timeLeftMillis, service++);
    return new OfferedVm(vm, client, machine, machine.awaitRequest(vm));
  }

  /** Two VMs that are offered to the same machine, each on its requester connection. */
  private List<OfferedVm> offerTwo() throws Exception {
    ScriptedMachine machine = harness.addMachine();
    ScriptedClient client = harness.connect();
    OfferedVm first = offer(machine, client);
    OfferedVm second = offer(machine, client);
    assertThat(second.connection).isNotSameAs(first.connection);
    return List.of(first, second);
  }

  private static void awaitEndNotice(Duration within, String vm, ScriptedClient... clients) {
    Awaitility.await("notice of the end of " + vm)
        .pollInterval(Duration.ofMillis(10))
        .atMost(within)
        .until(() -> List.of(clients).stream().anyMatch(client -> client.hasEndNotice(vm)));
  }

  private static void pause() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
  }

  @Example
  void endOnOtherConnectionArrivesBeforeAnswer() throws Exception {
    List<OfferedVm> offers = offerTwo();
    OfferedVm offered = offers.get(0);
    offers.get(1).connection.send(Message.of(Message.ENDED, offered.vm, Message.CAUSE_DONE));
    pause();
    offered.machine.accept(offered.connection, offered.vm);
    awaitEndNotice(NOTICE_WITHIN, offered.vm, offered.client);
  }

  @Example
  void completedBeforeAnswer() throws Exception {
    checkEndBeforeAnswer(Message.CAUSE_DONE, "");
  }

  @Example
  void endedByDrainBeforeAnswer() throws Exception {
    checkEndBeforeAnswer(Message.CAUSE_RESET, "dr");
  }

  private void checkEndBeforeAnswer(int cause, String note) throws Exception {
    OfferedVm offered = offer(harness.addMachine(), harness.connect());
    ScriptedMachine other = harness.addMachine();
    offered.connection.send(Message.ended(offered.vm, cause, note));
    awaitEndNotice(NOTICE_WITHIN, offered.vm, offered.client);
    assertThat(other.hasReceived(Message.REQUEST, offered.vm))
        .as("offered to another machine")
        .isFalse();
  }

  @Example
  void connectionResetAfterReport() throws Exception {
    checkFailureAfterReport(offered -> offered.connection.reset());
  }

  @Example
  void malformedLineAfterReport() throws Exception {
    checkFailureAfterReport(offered -> offered.connection.sendMalformed());
  }

  @Example
  void machineDiesAfterReport() throws Exception {
    checkFailureAfterReport(
        offered -> {
          offered.machine.die();
          harness.removeMachine(offered.machine);
        });
  }

  private interface Failure {
    void inject(OfferedVm offered) throws Exception;
  }

  private void checkFailureAfterReport(Failure failure) throws Exception {
    OfferedVm offered = offer(harness.addMachine(), harness.connect());
    ScriptedMachine other = harness.addMachine();
    offered.connection.send(Message.report(offered.vm));
    pause();
    failure.inject(offered);
    awaitEndNotice(NOTICE_WITHIN, offered.vm, offered.client);
    assertThat(other.hasReceived(Message.REQUEST, offered.vm))
        .as("offered to another machine")
        .isFalse();
  }

  @Example
  void attemptDoesNotTimeOutOnceVmIsReportedRunning() throws Exception {
    OfferedVm late =
        offer(
            harness.addMachine(),
            harness.connect(),
            NON_REPEATABLE,
            NON_REPEATABLE_TIME_LEFT_MILLIS);
    late.connection.send(Message.report(late.vm));
    TimeUnit.MILLISECONDS.sleep(LATE_ANSWER_MILLIS);
    assertThat(late.connection.hasReceived(Message.ENDED, late.vm)).as("withdrawn").isFalse();
    late.accept();
  }

  @Example
  void reportedRunningButNeverAnswered() throws Exception {
    ScriptedMachine machine = harness.addMachine();
    ScriptedClient client = harness.connect();
    for (int i = 0; i < STARTS_BEFORE_ESTIMATE; i++) {
      offer(machine, client).accept();
    }
    OfferedVm offered = offer(machine, client);
    ScriptedMachine other = harness.addMachine();
    offered.connection.send(Message.report(offered.vm));
    awaitEndNotice(
        Duration.ofMillis(REPEATABLE_TIME_LEFT_MILLIS).plus(ANSWERED_WITHIN),
        offered.vm,
        offered.client);
    Awaitility.await("withdrawal of " + offered.vm)
        .until(() -> offered.connection.hasReceived(Message.ENDED, offered.vm));
    assertThat(offered.client.causeOfEnd(offered.vm)).isEqualTo(Message.CAUSE_FAILED);
    assertThat(other.hasReceived(Message.REQUEST, offered.vm))
        .as("offered to another machine")
        .isFalse();
  }

  @Example
  void connectionResetAfterReportOnOtherConnection() throws Exception {
    List<OfferedVm> offers = offerTwo();
    OfferedVm offered = offers.get(0);
    ScriptedMachine other = harness.addMachine();
    offers.get(1).connection.send(Message.report(offered.vm));
    pause();
    offered.connection.reset();
    awaitEndNotice(NOTICE_WITHIN, offered.vm, offered.client);
    assertThat(other.hasReceived(Message.REQUEST, offered.vm))
        .as("offered to another machine")
        .isFalse();
  }

  @Example
  void endOnOtherConnectionAfterOwnConnectionWasReset() throws Exception {
    ScriptedMachine machine = harness.addMachine();
    ScriptedClient client = harness.connect();
    OfferedVm offered = offer(machine, client);
    OfferedVm running = offer(machine, client);
    running.accept();
    ScriptedMachine other = harness.addMachine();
    offered.connection.reset();
    ScriptedMachine.Connection secondAttempt = other.awaitRequest(offered.vm);
    running.connection.send(Message.of(Message.ENDED, offered.vm, Message.CAUSE_DONE));
    // Half the target: the second attempt's timeout, at the target, would answer the request too.
    awaitEndNotice(NOTICE_TARGET.dividedBy(2), offered.vm, offered.client);
    Awaitility.await("withdrawal")
        .until(() -> secondAttempt.hasReceived(Message.ENDED, offered.vm));
    assertThat(offered.client.messageTypes(offered.vm)).containsExactly(Message.ENDED);
  }

  /** Guards against taking a machine for dead that refuses connections beside an open one. */
  @Example
  void vmsOfAMachineThatRefusesFurtherConnectionsAreKept() throws Exception {
    OfferedVm offered = offer(harness.addMachine(), harness.connect());
    offered.accept();
    offered.machine.refuseConnections();
    for (int i = 0; i < 3; i++) {
      // The last use of the open connection is too long ago for a VM that can't be placed again.
      TimeUnit.MILLISECONDS.sleep(4 * PAUSE_MILLIS);
      String vm = harness.newVmId();
      offered.client.request(vm, NON_REPEATABLE, NON_REPEATABLE_TIME_LEFT_MILLIS, service++);
    }
    TimeUnit.MILLISECONDS.sleep(2 * NON_REPEATABLE_TIME_LEFT_MILLIS);
    assertThat(offered.client.hasEndNotice(offered.vm)).as("notice, but the VM runs").isFalse();
    offered.connection.send(Message.of(Message.ENDED, offered.vm, Message.CAUSE_DONE));
    awaitEndNotice(NOTICE_WITHIN, offered.vm, offered.client);
  }

  /**
   * Guards against a notice that is lost with one of two connections and never fetched, as the
   * other connection carried messages.
   */
  @Example
  void endLostWithOneOfTwoConnections() throws Exception {
    List<OfferedVm> offers = offerTwo();
    offers.forEach(OfferedVm::accept);
    checkLostEndIsFetched(offers, () -> offers.get(1).connection.reset());
  }

  /** As above, but the scheduler closes the second connection, which is no longer used. */
  @Example
  void endThatCrossesTheCloseOfAnUnusedConnection() throws Exception {
    List<OfferedVm> offers = offerTwo();
    offers.forEach(OfferedVm::accept);
    checkLostEndIsFetched(offers, () -> {});
  }

  /** The machine loses the end of the second VM, and keeps sending reports on the first one. */
  private static void checkLostEndIsFetched(List<OfferedVm> offers, Runnable lossOfConnection) {
    OfferedVm reported = offers.get(0);
    OfferedVm ended = offers.get(1);
    lossOfConnection.run();
    Awaitility.await("end of one connection")
        .until(() -> !ended.connection.isOpen() || !reported.connection.isOpen());
    OfferedVm disconnected = ended.connection.isOpen() ? reported : ended;
    OfferedVm connected = ended.connection.isOpen() ? ended : reported;
    disconnected.machine.sendOnNextConnection(
        Message.of(Message.ENDED, disconnected.vm, Message.CAUSE_DONE));
    Awaitility.await("notice of the lost end")
        .pollInterval(Duration.ofMillis(PAUSE_MILLIS))
        .atMost(NOTICE_WITHIN_UNREPORTED)
        .until(
            () -> {
              connected.connection.send(Message.report(connected.vm));
              return disconnected.client.hasEndNotice(disconnected.vm);
            });
    assertThat(connected.client.hasEndNotice(connected.vm)).as("the other VM runs").isFalse();
  }

  @Example
  void cancelledByMachineWithoutClientRequest() throws Exception {
    OfferedVm offered = offer(harness.addMachine(), harness.connect());
    offered.accept();
    offered.connection.send(Message.of(Message.ENDED, offered.vm, Message.CAUSE_CANCELLED));
    awaitEndNotice(NOTICE_WITHIN, offered.vm, offered.client);
  }

  @Example
  void handedOverAfterTerminationRequest() throws Exception {
    OfferedVm offered = offer(harness.addMachine(), harness.connect());
    offered.accept();
    offered.client.terminate(offered.vm);
    Awaitility.await().until(() -> offered.machine.hasReceived(Message.ENDED, offered.vm));
    offered.client.handOver(offered.vm, REPEATABLE, offered.machine.id(), 1);
    pause();
    offered.connection.send(Message.of(Message.ENDED, offered.vm, Message.CAUSE_CANCELLED));
    awaitEndNotice(NOTICE_WITHIN, offered.vm, offered.client);
  }

  @Example
  void handedOverAgainOnOtherConnection() throws Exception {
    OfferedVm offered = offer(harness.addMachine(), harness.connect());
    offered.accept();
    offered.client.stopResponding();
    ScriptedClient reconnected = harness.connect();
    reconnected.handOver(offered.vm, REPEATABLE, offered.machine.id(), 1);
    pause();
    offered.connection.send(Message.of(Message.ENDED, offered.vm, Message.CAUSE_DONE));
    awaitEndNotice(NOTICE_WITHIN, offered.vm, reconnected);
  }

  @Example
  void handedOverWhileRequestIsPendingOnDeadConnection() throws Exception {
    ScriptedClient silent = harness.connect();
    String vm = harness.newVmId();
    ScriptedMachine machine = harness.addMachine();
    silent.request(vm, NON_REPEATABLE, NON_REPEATABLE_TIME_LEFT_MILLIS, service++);
    ScriptedMachine.Connection connection = machine.awaitRequest(vm);
    silent.stopResponding();
    ScriptedClient reconnected = harness.connect();
    reconnected.handOver(vm, NON_REPEATABLE, machine.id(), 1);
    pause();
    connection.send(Message.ended(vm, Message.CAUSE_RESET, "dr"));
    awaitEndNotice(NOTICE_WITHIN, vm, reconnected);
  }

  @Example
  void noticeGoesToOtherConnectionWhenOwnIsSilent() throws Exception {
    ScriptedMachine machine = harness.addMachine();
    ScriptedClient other = harness.connect();
    ScriptedClient silent = harness.connect();
    for (ScriptedClient client : List.of(other, silent)) {
      OfferedVm earlier = offer(machine, client);
      earlier.accept();
      earlier.connection.send(Message.of(Message.ENDED, earlier.vm, Message.CAUSE_DONE));
      awaitEndNotice(NOTICE_WITHIN, earlier.vm, client);
    }
    OfferedVm offered = offer(machine, silent);
    offered.accept();
    other.addOwnVm(offered.vm);
    silent.stopResponding();
    offered.connection.send(Message.of(Message.ENDED, offered.vm, Message.CAUSE_DONE));
    awaitEndNotice(NOTICE_WITHIN, offered.vm, other);
  }

  @Example
  void acknowledgementsOfUnknownVmsDoNotDivertNotice() throws Exception {
    ScriptedMachine machine = harness.addMachine();
    ScriptedClient requester = harness.connect();
    OfferedVm offered = offer(machine, requester);
    offered.accept();
    ScriptedClient owner = harness.connect();
    owner.addOwnVm(offered.vm);
    OfferedVm ownersVm = offer(machine, owner);
    ownersVm.accept();
    ScriptedClient stranger = harness.connect();
    OfferedVm strangersVm = offer(machine, stranger);
    strangersVm.accept();
    stranger.stopResponding();
    for (int i = 0; i < 3; i++) {
      stranger.acknowledge(harness.newVmId());
    }
    requester.close();
    pause();
    offered.connection.send(Message.of(Message.ENDED, offered.vm, Message.CAUSE_DONE));
    awaitEndNotice(NOTICE_WITHIN_UNREPORTED, offered.vm, owner);
  }

  @Example
  void endsBeyondPerMachineLimitAreDelivered() throws Exception {
    ScriptedMachine machine = harness.addMachine();
    ScriptedClient client = harness.connect();
    OfferedVm first = offer(machine, client);
    first.accept();
    List<String> vms = new ArrayList<>();
    for (int i = 0; i < 700; i++) {
      vms.add(harness.newVmId());
    }
    vms.forEach(vm -> first.connection.send(Message.of(Message.ENDED, vm, Message.CAUSE_DONE)));
    pause();
    vms.forEach(vm -> client.handOver(vm, REPEATABLE, machine.id(), 1));
    Awaitility.await("notices of all ends")
        .atMost(NOTICE_WITHIN_UNREPORTED)
        .until(() -> vms.stream().allMatch(client::hasEndNotice));
  }

  @Example
  void endIsAcknowledgedToMachineAfterDelivery() throws Exception {
    OfferedVm offered = offer(harness.addMachine(), harness.connect());
    offered.accept();
    offered.client.stopResponding();
    offered.connection.send(Message.of(Message.ENDED, offered.vm, Message.CAUSE_DONE));
    pause();
    assertThat(offered.machine.hasReceived(Message.ACKNOWLEDGED, offered.vm))
        .as("acknowledged before any client received the notice")
        .isFalse();
    offered.client.acknowledge(offered.vm);
    Awaitility.await().until(() -> offered.machine.hasReceived(Message.ACKNOWLEDGED, offered.vm));
  }

  @Example
  void machineDiesAndSuccessorIsListedAtSameAddress() throws Exception {
    OfferedVm offered = offer(harness.addMachine(), harness.connect());
    offered.accept();
    ScriptedMachine successor = harness.replaceAtSameAddress(offered.machine);
    awaitEndNotice(NOTICE_WITHIN, offered.vm, offered.client);
    OfferedVm next = offer(successor, offered.client);
    next.accept();
    next.connection.send(Message.of(Message.ENDED, next.vm, Message.CAUSE_DONE));
    awaitEndNotice(NOTICE_WITHIN, next.vm, next.client);
  }

  /**
   * Guards against taking VMs for lost that a new process accepted at the address of one that had
   * gone, before the list told of either.
   */
  @Example
  void vmsOfANewProcessAreKeptWhenTheListNamesItLate() throws Exception {
    checkLateList(
        (old, successor) -> {
          harness.removeMachine(old);
          pause();
          harness.list(successor);
        });
  }

  /** As above, but the list names the new machine first, and the end of the old one never. */
  @Example
  void vmsOfANewProcessAreKeptWhenTheListReassignsTheAddress() throws Exception {
    checkLateList((old, successor) -> harness.list(successor));
  }

  private interface LateList {
    void publish(ScriptedMachine old, ScriptedMachine successor) throws Exception;
  }

  private void checkLateList(LateList list) throws Exception {
    OfferedVm ofOldProcess = offer(harness.addMachine(), harness.connect());
    ofOldProcess.accept();
    ScriptedMachine successor = harness.startAtSameAddress(ofOldProcess.machine);
    pause();
    OfferedVm ofNewProcess = offer(successor, ofOldProcess.client);
    ofNewProcess.accept();
    list.publish(ofOldProcess.machine, successor);
    awaitEndNotice(NOTICE_WITHIN, ofOldProcess.vm, ofOldProcess.client);
    Awaitility.await("another connection to the successor")
        .until(
            () -> successor.openConnections().stream().anyMatch(c -> c != ofNewProcess.connection));
    assertThat(ofNewProcess.client.hasEndNotice(ofNewProcess.vm))
        .as("notice of an end, but the VM runs")
        .isFalse();
    successor.sendOnAnyConnection(Message.of(Message.ENDED, ofNewProcess.vm, Message.CAUSE_DONE));
    awaitEndNotice(NOTICE_WITHIN, ofNewProcess.vm, ofNewProcess.client);
    assertThat(ofNewProcess.client.causeOfEnd(ofNewProcess.vm)).isEqualTo(Message.CAUSE_DONE);
  }

  @Example
  void machineListedAgainDoesNotReclaimItsAddress() throws Exception {
    OfferedVm offered = offer(harness.addMachine(), harness.connect());
    offered.accept();
    ScriptedMachine successor = harness.replaceAtSameAddress(offered.machine);
    awaitEndNotice(NOTICE_WITHIN, offered.vm, offered.client);
    OfferedVm next = offer(successor, offered.client);
    next.accept();
    harness.drain(offered.machine);
    pause();
    assertThat(next.client.hasEndNotice(next.vm)).as("notice of an end, but the VM runs").isFalse();
    offer(successor, offered.client).accept();
  }
}
