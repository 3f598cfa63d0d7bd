package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
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

  @Example
  void resetBeforeTheAnswerOfAClassThatIsNotRepeated() throws Exception {
    String vm = rig.newVmId();
    ScriptedMachine.Connection own = offer(vm, ONCE);
    openConnection();
    own.reset();
    awaitReleased(machine, vm, RELEASED_WITHIN);
    assertThat(client.wordsOn(vm)).containsExactly(Message.ENDED);
  }
}
