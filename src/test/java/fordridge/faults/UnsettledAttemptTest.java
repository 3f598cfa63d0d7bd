package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;

/**
 * A real scheduler process gives up an attempt whose VM the machine may run all the same. It has to
 * release the VM there, as no client owns it. Each way to give up an attempt is forced by a script.
 */
class UnsettledAttemptTest {
  /**
   * The protocol's limit of 1 s for a message on a VM, and 400 ms of slack for a busy test host.
   */
  private static final Duration RELEASED_WITHIN = Duration.ofMillis(1000 + 400);

  /** The limit where the scheduler first waits up to 1 s for the machine to close its side. */
  private static final Duration RELEASED_WITHIN_AFTER_CLOSE_TIMEOUT =
      RELEASED_WITHIN.plusMillis(1000);

  private static final long PAUSE_MILLIS = 100;
  private static final long REPEATABLE_TIME_LEFT_MILLIS = 1400;
  private static final long NON_REPEATABLE_TIME_LEFT_MILLIS = 2900;
  private static final String REPEATABLE = HarnessConfiguration.REPEATABLE_CLASS;
  private static final String NON_REPEATABLE = HarnessConfiguration.LIMITED_CLASS;

  private static ScriptedHarness harness;
  private static int service = 1;

  private ScriptedMachine machine;
  private ScriptedClient client;

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

  /** Requests a VM; returns the connection on which the only machine receives the request. */
  private ScriptedMachine.Connection offer(String vm, String priorityClass) throws Exception {
    if (machine == null) {
      machine = harness.addMachine();
      client = harness.connect();
    }
    client.request(
        vm,
        priorityClass,
        priorityClass.equals(NON_REPEATABLE)
            ? NON_REPEATABLE_TIME_LEFT_MILLIS
            : REPEATABLE_TIME_LEFT_MILLIS,
        service++);
    return machine.awaitRequest(vm);
  }

  /** A connection of the machine that stays open as it has accepted a VM on it. */
  private ScriptedMachine.Connection openConnection() throws Exception {
    String vm = harness.newVmId();
    ScriptedMachine.Connection connection = offer(vm, REPEATABLE);
    machine.accept(connection, vm);
    client.awaitAccepted(vm);
    return connection;
  }

  private static void awaitReleased(ScriptedMachine target, String vm, Duration within) {
    Awaitility.await("release of " + vm + " at " + target.id())
        .pollInterval(Duration.ofMillis(10))
        .atMost(within)
        .until(() -> target.hasReceived(Message.ENDED, vm));
  }

  private static void pause() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
  }

  @Example
  void connectionResetBeforeAnswerOfNonRepeatableClass() throws Exception {
    String vm = harness.newVmId();
    ScriptedMachine.Connection requestConnection = offer(vm, NON_REPEATABLE);
    openConnection();
    requestConnection.reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
    Awaitility.await().until(() -> client.hasEndNotice(vm));
    assertThat(client.messageTypes(vm)).containsExactly(Message.ENDED);
  }

  @Example
  void resetOfOnlyConnection() throws Exception {
    String vm = harness.newVmId();
    offer(vm, NON_REPEATABLE).reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void malformedAnswer() throws Exception {
    String vm = harness.newVmId();
    offer(vm, NON_REPEATABLE).sendMalformed();
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void connectionResetBeforeAnswerAndAcceptedElsewhere() throws Exception {
    String vm = harness.newVmId();
    ScriptedMachine.Connection requestConnection = offer(vm, REPEATABLE);
    openConnection();
    ScriptedMachine other = harness.addMachine();
    requestConnection.reset();
    ScriptedMachine.Connection secondAttempt = other.awaitRequest(vm);
    other.accept(secondAttempt, vm);
    client.awaitAccepted(vm);
    awaitReleased(machine, vm, RELEASED_WITHIN);
    pause();
    assertThat(other.hasReceived(Message.ENDED, vm)).as("released where it is owned").isFalse();
    secondAttempt.send(Message.of(Message.ENDED, vm, Message.CAUSE_DONE));
    Awaitility.await().until(() -> client.hasEndNotice(vm));
  }

  @Example
  void withdrawnByClientAndResetBeforeWithdrawalIsRead() throws Exception {
    String vm = harness.newVmId();
    ScriptedMachine.Connection requestConnection = offer(vm, REPEATABLE);
    openConnection();
    requestConnection.stopReading();
    client.terminate(vm);
    pause();
    requestConnection.reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void clientClosesAndWithdrawalIsNeverRead() throws Exception {
    String vm = harness.newVmId();
    ScriptedMachine.Connection requestConnection = offer(vm, REPEATABLE);
    openConnection();
    requestConnection.stopReading();
    client.close();
    awaitReleased(machine, vm, RELEASED_WITHIN_AFTER_CLOSE_TIMEOUT);
  }

  @Example
  void timedOutAndWithdrawalIsNeverRead() throws Exception {
    String vm = harness.newVmId();
    ScriptedMachine.Connection requestConnection = offer(vm, NON_REPEATABLE);
    openConnection();
    requestConnection.stopReading();
    awaitReleased(
        machine,
        vm,
        Duration.ofMillis(NON_REPEATABLE_TIME_LEFT_MILLIS)
            .plus(RELEASED_WITHIN_AFTER_CLOSE_TIMEOUT));
  }

  @Example
  void answerOnOtherConnectionAfterOwnConnectionWasReset() throws Exception {
    String vm = harness.newVmId();
    ScriptedMachine.Connection requestConnection = offer(vm, NON_REPEATABLE);
    ScriptedMachine.Connection otherConnection = openConnection();
    requestConnection.reset();
    pause();
    int releasesBefore = otherConnection.count(Message.ENDED, vm);
    machine.accept(otherConnection, vm);
    Awaitility.await("release of " + vm + " after its answer")
        .atMost(RELEASED_WITHIN)
        .until(() -> otherConnection.count(Message.ENDED, vm) > releasesBefore);
    Awaitility.await().until(() -> client.hasEndNotice(vm));
    assertThat(client.messageTypes(vm)).containsExactly(Message.ENDED);
  }

  @Example
  void answerForUnrequestedVm() throws Exception {
    String vm = harness.newVmId();
    machine = harness.addMachine();
    client = harness.connect();
    machine.accept(openConnection(), vm);
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void terminationThatIsNeverReadIsRepeated() throws Exception {
    String vm = harness.newVmId();
    ScriptedMachine.Connection requestConnection = offer(vm, REPEATABLE);
    machine.accept(requestConnection, vm);
    client.awaitAccepted(vm);
    requestConnection.stopReading();
    client.terminate(vm);
    pause();
    requestConnection.reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void vmHandedOverAfterAbandonedAttemptIsNotReleased() throws Exception {
    String vm = harness.newVmId();
    ScriptedMachine.Connection requestConnection = offer(vm, REPEATABLE);
    ScriptedMachine.Connection otherConnection = openConnection();
    otherConnection.stopAnsweringHealthChecks();
    requestConnection.reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
    ScriptedClient reconnected = harness.connect();
    reconnected.handOver(vm, REPEATABLE, machine.id(), 1);
    pause();
    int releasesBefore = machine.count(Message.ENDED, vm);
    openConnection();
    TimeUnit.MILLISECONDS.sleep(RELEASED_WITHIN.toMillis());
    assertThat(machine.count(Message.ENDED, vm))
        .as("releases of an owned VM")
        .isEqualTo(releasesBefore);
  }
}
