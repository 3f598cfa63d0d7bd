package fordridge.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;

/**
 * Clients of one scheduler, which send requests on several connections and report the responses to
 * the checkers.
 */
final class FakeClients implements AutoCloseable {
  /**
   * A request sent this shortly before its connection closes may not have reached the scheduler.
   */
  private static final long CLOSE_RACE_MILLIS = 50 + 50;

  /** The number of connections opened right after a start; requests are sent on one of them. */
  private static final int CONNECTIONS_AT_START = 4;

  private static final int SERVICES = 40;

  /** Fewer services than of the other class, so that the limit is reached. */
  private static final int LIMITED_SERVICES = 16;

  /** How long a listening scheduler may take to answer a health check. */
  private static final long READY_TIMEOUT_MILLIS = 5000;

  private static final long REPEATABLE_TIME_LEFT_MILLIS = 1400;
  private static final long LIMITED_TIME_LEFT_MILLIS = 2900;

  /** The service and class of a requested VM. */
  private static final class Request {
    final long service;
    final boolean isRepeatable;

    Request(long service, boolean isRepeatable) {
      this.service = service;
      this.isRepeatable = isRepeatable;
    }

    String priorityClass() {
      return isRepeatable
          ? HarnessConfiguration.REPEATABLE_CLASS
          : HarnessConfiguration.LIMITED_CLASS;
    }

    String extras() {
      return "cores:1;memory:1;service:" + String.format("%016x", service);
    }
  }

  /** One connection and its open requests, with the times at which they were sent. */
  private final class Client {
    final Socket socket;
    final PeerConnection connection;
    final Map<String, Long> openRequests = new HashMap<>();
    boolean isCutByFault;
    boolean isHealthy;

    Client(int port) throws IOException {
      socket = new Socket(address, port);
      connection =
          new PeerConnection(socket, line -> messageReceived(this, new Message(line)), this::onEnd);
    }

    private void onEnd() {
      connectionEnded(this);
    }
  }

  private final InetAddress address;
  private final int proxyPort;
  private final int connectionCount;
  private final IntSupplier schedulerPort;
  private final ProtocolChecker checker;
  private final PlacementChecker placementChecker;
  private final SplittableRandom random;
  private final List<Client> clients = new ArrayList<>();

  /** Connections that bypass the proxy; they carry requests only right after a start. */
  private final List<Client> directClients = new ArrayList<>();

  private final List<Socket> idleSockets = new ArrayList<>();

  /** The service and class of each VM, by its id. */
  private final Map<String, Request> requests = new HashMap<>();

  /** The machine of each running VM, by its id. */
  private final Map<String, String> runningVms = new HashMap<>();

  private final Set<String> endedVms = new HashSet<>();
  private final Set<String> withdrawnRequests = new HashSet<>();
  private long requestNumber;

  /**
   * Clients that open connections on demand.
   *
   * @param proxyPort where the proxy before the scheduler listens
   * @param schedulerPort where the scheduler itself listens
   */
  FakeClients(
      InetAddress address,
      int proxyPort,
      IntSupplier schedulerPort,
      int connectionCount,
      ProtocolChecker checker,
      PlacementChecker placementChecker,
      long seed) {
    this.address = address;
    this.proxyPort = proxyPort;
    this.schedulerPort = schedulerPort;
    this.connectionCount = connectionCount;
    this.checker = checker;
    this.placementChecker = placementChecker;
    random = new SplittableRandom(seed);
    requestNumber = seed << 24;
  }

  /** Sends one request on a random connection; missing connections are opened first. */
  synchronized void sendRequest() {
    Client client = randomClient();
    if (client != null) {
      sendRequest(client);
    }
  }

  /** As {@link #sendRequest()}, on a connection that is already open unless {@code mayOpen}. */
  synchronized void sendRequestOnOpen(boolean mayOpen) {
    clients.removeIf(client -> !client.connection.isOpen());
    if (mayOpen) {
      sendRequest();
    } else if (!clients.isEmpty()) {
      sendRequest(clients.get(random.nextInt(clients.size())));
    }
  }

  synchronized boolean hasOpenConnection() {
    return clients.stream().anyMatch(client -> client.connection.isOpen());
  }

  private void sendRequest(Client client) {
    boolean isRepeatable = random.nextInt(4) > 0;
    int service = 1 + random.nextInt(isRepeatable ? SERVICES : LIMITED_SERVICES);
    sendRequest(client, new Request(service, isRepeatable));
  }

  /** Sends a request, which {@link #withdraw} may withdraw; empty if none could be sent. */
  synchronized Optional<String> sendRequestToWithdraw() {
    Client client = randomClient();
    if (client == null) {
      return Optional.empty();
    }
    return Optional.of(sendRequest(client, new Request(1 + random.nextInt(SERVICES), true)));
  }

  /** Withdraws the request on its connection, if that is open and no response has arrived. */
  synchronized void withdraw(String id) {
    for (Client client : clients) {
      if (client.openRequests.containsKey(id)
          && client.connection.send(Message.of(Message.ENDED, id, Message.CAUSE_WITHDRAWN))) {
        client.openRequests.remove(id);
        withdrawnRequests.add(id);
        checker.requestWithdrawn(id);
      }
    }
  }

  private String sendRequest(Client client, Request request) {
    String id = newId();
    requests.put(id, request);
    client.openRequests.put(id, checker.now());
    long timeLeftMillis =
        request.isRepeatable ? REPEATABLE_TIME_LEFT_MILLIS : LIMITED_TIME_LEFT_MILLIS;
    checker.requestSent(id, timeLeftMillis, request.isRepeatable);
    placementChecker.requested(id, request.service, !request.isRepeatable);
    String line = Message.request(id, request.priorityClass(), timeLeftMillis, request.extras());
    if (!client.connection.send(line)) {
      client.openRequests.remove(id);
      checker.requestNotDelivered(id);
    }
    return id;
  }

  private String newId() {
    return String.format("%016x", ++requestNumber & 0xffffffffffffL);
  }

  private List<Client> allClients() {
    List<Client> all = new ArrayList<>(clients);
    all.addAll(directClients);
    return all;
  }

  private Client randomClient() {
    clients.removeIf(client -> !client.connection.isOpen());
    while (clients.size() < connectionCount) {
      try {
        clients.add(new Client(proxyPort));
      } catch (IOException e) {
        break;
      }
    }
    return clients.isEmpty() ? null : clients.get(random.nextInt(clients.size()));
  }

  private synchronized void messageReceived(Client client, Message message) {
    String id = message.id();
    if (withdrawnRequests.contains(id)) {
      // The scheduler sent this before it read the withdrawal: ignored.
      if (message.type().equals(Message.ENDED)) {
        client.connection.send(Message.of(Message.ACKNOWLEDGED, id, 0));
      }
      return;
    }
    switch (message.type()) {
      case Message.ACCEPTED -> {
        client.openRequests.remove(id);
        String machine = message.description().split("/", 2)[0];
        checker.responseReceived(id, true, machine);
        runningVms.put(id, machine);
      }
      case Message.ENDED -> {
        if (runningVms.remove(id) != null) {
          endedVms.add(id);
          checker.noticeReceived(id);
          client.connection.send(Message.of(Message.ACKNOWLEDGED, id, 0));
        } else if (endedVms.contains(id) || checker.mayHaveMissedResponse(id)) {
          client.connection.send(Message.of(Message.ACKNOWLEDGED, id, 0));
        } else {
          client.openRequests.remove(id);
          checker.responseReceived(id, false, null);
        }
      }
      case Message.MIGRATED -> {
        runningVms.remove(id);
        endedVms.add(id);
        checker.noticeReceived(id);
      }
      case Message.HEALTHY -> client.isHealthy = message.cause() == 1;
      default -> {}
    }
  }

  private synchronized void connectionEnded(Client client) {
    long at = checker.now();
    client.openRequests.forEach(
        (id, sentAt) -> {
          if (client.isCutByFault) {
            checker.clientLeft(id);
          } else if (at - sentAt <= CLOSE_RACE_MILLIS) {
            checker.requestNotDelivered(id);
          } else {
            checker.connectionClosedUnanswered(id);
          }
        });
    client.openRequests.clear();
  }

  /** The open connections are reset by a fault next: their end is not counted as a violation. */
  synchronized void connectionsCutByFault() {
    for (Client client : clients) {
      client.isCutByFault = true;
      client.openRequests.keySet().forEach(checker::clientLeft);
    }
    checker.noticesObstructed();
  }

  /** Closes one connection while requests are pending on it. */
  synchronized void closeOne(boolean withReset) {
    Client client = randomClient();
    if (client != null) {
      client.isCutByFault = true;
      client.openRequests.keySet().forEach(checker::clientLeft);
      checker.noticesObstructed();
      if (withReset) {
        client.connection.reset();
      } else {
        client.connection.close();
      }
    }
  }

  /** Gives up one connection without closing it; its client uses others. Returns its local port. */
  synchronized int loseOneSilently() {
    Client client = randomClient();
    if (client == null) {
      return -1;
    }
    client.isCutByFault = true;
    client.openRequests.keySet().forEach(checker::clientLostSilently);
    checker.noticesObstructed();
    clients.remove(client);
    return client.socket.getLocalPort();
  }

  /** Sends a malformed line on a new connection. */
  synchronized void sendMalformed() throws IOException {
    new Client(proxyPort).connection.sendRaw("{\"t\":\"new\",\"ref\":\"zz\"\nhalf a li");
  }

  /** The scheduler is killed next: no response is required for the open requests. */
  synchronized void schedulerWillBeKilled() {
    for (Client client : allClients()) {
      client.isCutByFault = true;
      client.openRequests.keySet().forEach(checker::clientLostSilently);
    }
  }

  /** The scheduler process has ended: closes all connections. */
  synchronized void schedulerEnded() {
    for (Client client : allClients()) {
      client.isCutByFault = true;
      client.openRequests.keySet().forEach(checker::schedulerKilledUnanswered);
      client.connection.close();
    }
    clients.clear();
    directClients.clear();
    placementChecker.schedulerEnded();
    checker.schedulerEnded();
    checker.noticesObstructed();
  }

  /** The ids of open requests that were sent longer ago than this. */
  synchronized List<String> requestsOpenLongerThan(long millis) {
    List<String> openRequestIds = new ArrayList<>();
    for (Client client : allClients()) {
      client.openRequests.forEach(
          (id, sentAt) -> {
            if (!client.isCutByFault && checker.now() - sentAt > millis) {
              openRequestIds.add(id);
            }
          });
    }
    return openRequestIds;
  }

  /**
   * Connects to a restarted scheduler, and waits until a health check reports it ready. The next
   * requests and the handover use these connections.
   */
  void awaitReady() throws IOException, InterruptedException {
    List<Client> connected = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS_AT_START; i++) {
      connected.add(new Client(schedulerPort.getAsInt()));
    }
    Client first = connected.get(0);
    long until = checker.now() + READY_TIMEOUT_MILLIS;
    while (!isHealthy(first) && checker.now() < until) {
      first.connection.send(Message.of(Message.HEALTH_CHECK, "00000000000000aa", 0));
      Thread.sleep(10);
    }
    if (!isHealthy(first)) {
      checker.addViolation(
          "no answer to a health check within " + READY_TIMEOUT_MILLIS + " ms of listening");
    }
    synchronized (this) {
      directClients.addAll(connected);
    }
  }

  /** Sends requests of services that already have VMs, on the first of the new connections. */
  synchronized void sendRequestsAtStart(int count) {
    for (int i = 0; i < count; i++) {
      int service = 1 + random.nextInt(LIMITED_SERVICES);
      sendRequest(directClients.get(0), new Request(service, random.nextInt(4) == 0));
    }
  }

  /**
   * Hands the running VMs over: on the first of the new connections (behind its requests), on the
   * others, and on one that is opened now and may have to wait until it is accepted.
   */
  synchronized void handOver() throws IOException {
    directClients.add(new Client(schedulerPort.getAsInt()));
    int next = 0;
    for (Map.Entry<String, String> vm : runningVms.entrySet()) {
      Request request = requests.get(vm.getKey());
      Client client = directClients.get(next++ % directClients.size());
      boolean isSent =
          client.connection.send(
              Message.request(
                  vm.getKey(),
                  request.priorityClass(),
                  0,
                  request.extras() + ";at:" + vm.getValue()));
      if (isSent) {
        placementChecker.handedOver(vm.getKey(), vm.getValue());
      }
    }
  }

  /** The number of VMs of the service that run on the machine, as far as the clients know. */
  synchronized int countRunning(long service, String machine) {
    int count = 0;
    for (Map.Entry<String, String> vm : runningVms.entrySet()) {
      boolean isSame = requests.get(vm.getKey()).service == service;
      count += isSame && vm.getValue().equals(machine) ? 1 : 0;
    }
    return count;
  }

  /** Adds a VM of the service that was placed on the machine before the start; returns its id. */
  synchronized String addExistingVm(long service, String machine) {
    String id = newId();
    Request request = new Request(service, random.nextInt(4) == 0);
    requests.put(id, request);
    checker.existingVmAdded(id, machine, request.isRepeatable);
    placementChecker.requested(id, service, !request.isRepeatable);
    runningVms.put(id, machine);
    return id;
  }

  /** Opens {@code count} connections on which nothing is sent. */
  synchronized void connectIdleClients(int count) {
    for (int i = 0; i < count; i++) {
      try {
        idleSockets.add(new Socket(address, schedulerPort.getAsInt()));
      } catch (IOException e) {
        return;
      }
    }
  }

  private synchronized boolean isHealthy(Client client) {
    return client.isHealthy;
  }

  @Override
  public synchronized void close() throws IOException {
    for (Client client : allClients()) {
      client.isCutByFault = true;
      client.connection.close();
    }
    for (Socket socket : idleSockets) {
      socket.close();
    }
  }
}
