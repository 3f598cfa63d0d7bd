package fordridge.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.awaitility.Awaitility;

/**
 * One client's connection that says what a test has it say, and acknowledges the ends of its own
 * VMs unless told not to.
 */
final class ScriptedClient implements AutoCloseable {
  private final LineConnection connection;
  private final List<String> words = new ArrayList<>();
  private final Map<String, Integer> causes = new HashMap<>();
  private final Set<String> ownVms = new HashSet<>();
  private volatile boolean acknowledges = true;

  ScriptedClient(InetAddress address, int port) throws IOException {
    connection =
        new LineConnection(
            new Socket(address, port), line -> received(new Message(line)), () -> {});
  }

  private synchronized void received(Message message) {
    boolean isUp = message.type().equals(Message.ACCEPTED);
    boolean isDown = message.type().equals(Message.ENDED);
    if (isUp || isDown) {
      words.add(message.id() + " " + message.type());
    }
    if (isDown) {
      causes.putIfAbsent(message.id(), message.cause());
      if (acknowledges && ownVms.contains(message.id())) {
        acknowledge(message.id());
      }
    }
  }

  /** From now on it is as if nothing were read: no notice counts, and none is acknowledged. */
  void fallSilent() {
    acknowledges = false;
    connection.stopReading(Long.MAX_VALUE / 2_000_000);
  }

  void acknowledge(String vm) {
    connection.send(Message.of(Message.ACKNOWLEDGED, vm, 0));
  }

  /** A VM of the same client that another of its connections has brought. */
  synchronized void own(String vm) {
    ownVms.add(vm);
  }

  void request(String vm, String priorityClass, long leftMillis, int service) {
    own(vm);
    connection.send(Message.request(vm, priorityClass, leftMillis, extras(service)));
  }

  /** Hands over a VM that runs on the machine. */
  void handOver(String vm, String priorityClass, String machine, int service) {
    own(vm);
    connection.send(Message.request(vm, priorityClass, 0, extras(service) + ";at:" + machine));
  }

  private static String extras(int service) {
    return "cores:1;memory:1;service:" + String.format("%016x", service);
  }

  /** Ends a VM or withdraws its request. */
  void terminate(String vm) {
    connection.send(Message.of(Message.ENDED, vm, Message.CAUSE_WITHDRAWN));
  }

  /** What was said of the VM: {@code up}, {@code down}, in the order in which it came. */
  synchronized List<String> wordsOn(String vm) {
    return words.stream()
        .filter(each -> each.startsWith(vm))
        .map(each -> each.substring(vm.length() + 1))
        .toList();
  }

  boolean isTold(String vm) {
    return wordsOn(vm).contains(Message.ENDED);
  }

  /** The cause of the first {@code down} on the VM, which has come. */
  synchronized int causeOfEnd(String vm) {
    return causes.get(vm);
  }

  void awaitAccepted(String vm) {
    Awaitility.await("acceptance of " + vm).until(() -> wordsOn(vm).contains(Message.ACCEPTED));
  }

  @Override
  public void close() {
    connection.close();
  }
}
