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
 * A real scheduler process has given an attempt up, and its machine may run the VM all the same:
 * the VM is released there, as nobody owns it. Each way of giving up is forced by a script.
 */
class UnsettledAttemptTest {
  /** The protocol's time for a word on a VM, and the rest for a busy test machine. */
  private static final Duration RELEASED_WITHIN = Duration.ofMillis(1000 + 400);

  /** Where the scheduler waits for a machine to close its side, for one second, first. */
  private static final Duration RELEASED_WITHIN_UNCLOSED = RELEASED_WITHIN.plusMillis(1000);

  private static final long CROSSING_MILLIS = 100;
  private static final long LEFT_MILLIS = 1400;
  private static final long LEFT_MILLIS_ONCE = 2900;
  private static final String REPEATABLE = RigConfiguration.REPEATABLE_CLASS;
  private static final String ONCE = RigConfiguration.LIMITED_CLASS;

  private static ScriptedRig rig;
  private static int service = 1;

  private ScriptedMachine machine;
  private ScriptedClient client;

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

  /** The connection on which the only machine gets the request of a VM. */
  private ScriptedMachine.Connection offer(String vm, String priorityClass) throws Exception {
    if (machine == null) {
      machine = rig.addMachine();
      client = rig.connect();
    }
    client.request(
        vm, priorityClass, priorityClass.equals(ONCE) ? LEFT_MILLIS_ONCE : LEFT_MILLIS, service++);
    return machine.awaitRequest(vm);
  }

  /** A connection of the machine that stays open, on which a VM was accepted. */
  private ScriptedMachine.Connection openConnection() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection connection = offer(vm, REPEATABLE);
    machine.accept(connection, vm);
    client.awaitAccepted(vm);
    return connection;
  }

  private static void awaitReleased(ScriptedMachine at, String vm, Duration within) {
    Awaitility.await("release of " + vm + " at " + at.id())
        .pollInterval(Duration.ofMillis(10))
        .atMost(within)
        .until(() -> at.hasReceived(Message.ENDED, vm));
  }

  private static void pause() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(CROSSING_MILLIS);
  }

  @Example
  void resetBeforeTheAnswerOfAClassThatIsNotRepeated() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection own = offer(vm, ONCE);
    openConnection();
    own.reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
    Awaitility.await().until(() -> client.isTold(vm));
    assertThat(client.wordsOn(vm)).containsExactly(Message.ENDED);
  }

  @Example
  void resetOfTheOnlyConnection() throws Exception {
    String vm = rig.newVmId();
    offer(vm, ONCE).reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void unreadableAnswer() throws Exception {
    String vm = rig.newVmId();
    offer(vm, ONCE).sendUnreadable();
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void resetBeforeTheAnswerAndAcceptedElsewhere() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection own = offer(vm, REPEATABLE);
    openConnection();
    ScriptedMachine other = rig.addMachine();
    own.reset();
    ScriptedMachine.Connection again = other.awaitRequest(vm);
    other.accept(again, vm);
    client.awaitAccepted(vm);
    awaitReleased(machine, vm, RELEASED_WITHIN);
    pause();
    assertThat(other.hasReceived(Message.ENDED, vm)).as("released where it is owned").isFalse();
    again.send(Message.of(Message.ENDED, vm, Message.CAUSE_DONE));
    Awaitility.await().until(() -> client.isTold(vm));
  }

  @Example
  void withdrawnByItsClientAndResetBeforeThatIsRead() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection own = offer(vm, REPEATABLE);
    openConnection();
    own.stopReading();
    client.terminate(vm);
    pause();
    own.reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void clientClosesAndTheWithdrawalIsNeverRead() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection own = offer(vm, REPEATABLE);
    openConnection();
    own.stopReading();
    client.close();
    awaitReleased(machine, vm, RELEASED_WITHIN_UNCLOSED);
  }

  @Example
  void timedOutAndTheWithdrawalIsNeverRead() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection own = offer(vm, ONCE);
    openConnection();
    own.stopReading();
    awaitReleased(machine, vm, Duration.ofMillis(LEFT_MILLIS_ONCE).plus(RELEASED_WITHIN_UNCLOSED));
  }

  @Example
  void answerOnAnotherConnectionAfterTheRequestsOwnWasReset() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection own = offer(vm, ONCE);
    ScriptedMachine.Connection open = openConnection();
    own.reset();
    pause();
    int before = open.count(Message.ENDED, vm);
    machine.accept(open, vm);
    Awaitility.await("release of " + vm + " behind its answer")
        .atMost(RELEASED_WITHIN)
        .until(() -> open.count(Message.ENDED, vm) > before);
    Awaitility.await().until(() -> client.isTold(vm));
    assertThat(client.wordsOn(vm)).containsExactly(Message.ENDED);
  }

  @Example
  void answerOfAVmThatNobodyRequested() throws Exception {
    String vm = rig.newVmId();
    machine = rig.addMachine();
    client = rig.connect();
    machine.accept(openConnection(), vm);
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void terminationThatIsNeverReadIsRepeated() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection own = offer(vm, REPEATABLE);
    machine.accept(own, vm);
    client.awaitAccepted(vm);
    own.stopReading();
    client.terminate(vm);
    pause();
    own.reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
  }

  @Example
  void handedOverAfterItWasGivenUpIsNotReleased() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection own = offer(vm, REPEATABLE);
    ScriptedMachine.Connection open = openConnection();
    open.stopAnsweringHealthChecks();
    own.reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
    ScriptedClient again = rig.connect();
    again.handOver(vm, REPEATABLE, machine.id(), 1);
    pause();
    int before = machine.count(Message.ENDED, vm);
    openConnection();
    TimeUnit.MILLISECONDS.sleep(RELEASED_WITHIN.toMillis());
    assertThat(machine.count(Message.ENDED, vm)).as("releases of an owned VM").isEqualTo(before);
  }
}
