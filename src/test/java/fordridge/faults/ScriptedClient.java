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
 * One client's connection that sends what a test tells it to, and acknowledges the ends of its own
 * VMs until {@link #stopResponding} is called.
 */
final class ScriptedClient implements AutoCloseable {
  private final PeerConnection connection;
  private final List<String> messages = new ArrayList<>();
  private final Map<String, Integer> causes = new HashMap<>();
  private final Set<String> ownVms = new HashSet<>();
  private volatile boolean acknowledgesEnds = true;

  ScriptedClient(InetAddress address, int port) throws IOException {
    connection =
        new PeerConnection(
            new Socket(address, port), line -> messageReceived(new Message(line)), () -> {});
  }

  private synchronized void messageReceived(Message message) {
    boolean isAcceptance = message.type().equals(Message.ACCEPTED);
    boolean isEnd = message.type().equals(Message.ENDED);
    if (isAcceptance || isEnd) {
      messages.add(message.id() + " " + message.type());
    }
    if (isEnd) {
      causes.putIfAbsent(message.id(), message.cause());
      if (acknowledgesEnds && ownVms.contains(message.id())) {
        acknowledge(message.id());
      }
    }
  }

  /** From now on no message is read and no notice acknowledged. */
  void stopResponding() {
    acknowledgesEnds = false;
    connection.stopReading(Long.MAX_VALUE / 2_000_000);
  }

  void acknowledge(String vm) {
    connection.send(Message.of(Message.ACKNOWLEDGED, vm, 0));
  }

  /** Adds a VM of the same client that was requested on another connection. */
  synchronized void addOwnVm(String vm) {
    ownVms.add(vm);
  }

  void request(String vm, String priorityClass, long timeLeftMillis, int service) {
    addOwnVm(vm);
    connection.send(Message.request(vm, priorityClass, timeLeftMillis, extras(service)));
  }

  /** Hands over a VM that is running on the machine. */
  void handOver(String vm, String priorityClass, String machine, int service) {
    addOwnVm(vm);
    connection.send(Message.request(vm, priorityClass, 0, extras(service) + ";at:" + machine));
  }

  private static String extras(int service) {
    return "cores:1;memory:1;service:" + String.format("%016x", service);
  }

  /** Ends a VM or withdraws its request. */
  void terminate(String vm) {
    connection.send(Message.of(Message.ENDED, vm, Message.CAUSE_WITHDRAWN));
  }

  /**
   * The types of the received messages on the VM, {@code up} or {@code down}, in order of arrival.
   */
  synchronized List<String> messageTypes(String vm) {
    return messages.stream()
        .filter(each -> each.startsWith(vm))
        .map(each -> each.substring(vm.length() + 1))
        .toList();
  }

  boolean hasEndNotice(String vm) {
    return messageTypes(vm).contains(Message.ENDED);
  }

  /** The cause of the first {@code down} on the VM, which must have arrived. */
  synchronized int causeOfEnd(String vm) {
    return causes.get(vm);
  }

  void awaitAccepted(String vm) {
    Awaitility.await("acceptance of " + vm)
        .until(() -> messageTypes(vm).contains(Message.ACCEPTED));
  }

  @Override
  public void close() {
    connection.close();
  }
}
