package fordridge.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A machine on a real socket that accepts VMs, runs each for a random time and reports its end. */
final class FakeMachine implements MachineEndpoint, AutoCloseable {
  private static final int ACCEPT_BACKLOG = 256;

  private static final long ACCEPTOR_WAIT_MILLIS = 20;
  private static final long ANSWER_ELSEWHERE_DELAY_MILLIS = 30;

  /**
   * While the accept queue is full, a connection may be established on its client's side only. What
   * the client sends arrives with the handshake's first or second retransmission, after one or
   * three seconds.
   */
  private static final long HANDSHAKE_RETRY_MILLIS = 3200;

  /** The queue holds one connection more than its length, and some may be accepted meanwhile. */
  private static final int QUEUE_FILLERS = ACCEPT_BACKLOG + 4;

  private final String id;
  private final String kind;
  private final ServerSocket server;
  private final ScheduledExecutorService timers;
  private final ProtocolChecker checker;
  private final PlacementChecker placementChecker;
  private final SplittableRandom random;
  private final int capacity;
  private final ExecutorService connectionExecutor = Executors.newSingleThreadExecutor();
  private final List<PeerConnection> connections = new ArrayList<>();

  /** Unanswered requests, and the connection that each came on. */
  private final Map<String, PeerConnection> pendingRequests = new HashMap<>();

  /** Running VMs, and the connection of their request if it is known. */
  private final Map<String, Optional<PeerConnection>> runningVms = new HashMap<>();

  /**
   * Ends of VMs that are not acknowledged yet, with their cause; sent again on each new connection.
   */
  private final Map<String, Integer> unacknowledgedEnds = new HashMap<>();

  /** Running VMs whose answers are delayed. */
  private final Set<String> delayedAnswers = new HashSet<>();

  /** The client addresses of the connections that fill the accept queue. */
  private final Set<SocketAddress> fillerAddresses = ConcurrentHashMap.newKeySet();

  /** Connections whose handshake a full accept queue may have delayed. */
  private final Set<PeerConnection> delayedConnections = ConcurrentHashMap.newKeySet();

  private volatile boolean isQueueFilled;

  /**
   * When the last connection that filled the queue was accepted; until it is, the earliest time at
   * which that can happen.
   */
  private volatile long queueFullAtNanos;

  private volatile long answerDelayMillis;
  private int answersLost;
  private int answersElsewhere;
  private volatile long hungUntilNanos;
  private volatile long acceptsFromNanos = System.nanoTime();
  private boolean isDead;

  /** A machine that listens at that address, or at any port if its port is zero. */
  FakeMachine(
      String id,
      String kind,
      InetSocketAddress address,
      int capacity,
      ScheduledExecutorService timers,
      ProtocolChecker checker,
      PlacementChecker placementChecker,
      long seed)
      throws IOException {
    this.id = id;
    this.kind = kind;
    this.capacity = capacity;
    this.timers = timers;
    this.checker = checker;
    this.placementChecker = placementChecker;
    placementChecker.machineAdded(id, kind);
    random = new SplittableRandom(seed);
    server = ListeningSocket.open(address, ACCEPT_BACKLOG);
    Thread acceptor = new Thread(this::accept, "machine-" + id);
    acceptor.setDaemon(true);
    acceptor.start();
  }

  @Override
  public String id() {
    return id;
  }

  @Override
  public String kind() {
    return kind;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  @Override
  public String hostAndPort() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  /** Does nothing but accept connections, as a slow acceptor would delay a burst of connections. */
  private void accept() {
    try {
      while (true) {
        awaitAccepting();
        Socket socket = server.accept();
        if (fillerAddresses.remove(socket.getRemoteSocketAddress())) {
          socket.close();
          queueFullAtNanos = System.nanoTime();
        } else {
          boolean mayBeDelayed = mayHaveDelayedHandshake();
          connectionExecutor.execute(() -> startReading(socket, mayBeDelayed));
        }
      }
    } catch (IOException | InterruptedException | RejectedExecutionException e) {
      // The machine was closed.
    }
  }

  /** Starts to read from the connection without waiting for the machine's monitor. */
  private void startReading(Socket socket, boolean mayBeDelayed) {
    PeerConnection[] self = new PeerConnection[1];
    try {
      synchronized (self) {
        self[0] =
            new PeerConnection(
                socket,
                line -> messageReceived(self, new Message(line), checker.now()),
                () -> connectionEnded(self));
        if (mayBeDelayed) {
          delayedConnections.add(self[0]);
        }
      }
    } catch (IOException e) {
      return;
    }
    connectionOpened(self[0]);
  }

  private synchronized void connectionOpened(PeerConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    connections.add(connection);
    unacknowledgedEnds.forEach(
        (vm, cause) -> connection.send(Message.of(Message.ENDED, vm, cause)));
  }

  /** Whether the handshake of a connection may have been retransmitted, as the queue was full. */
  private boolean mayHaveDelayedHandshake() {
    long sinceFull = System.nanoTime() - queueFullAtNanos;
    return isQueueFilled && sinceFull < HANDSHAKE_RETRY_MILLIS * 1_000_000;
  }

  private void awaitAccepting() throws InterruptedException {
    for (long nanos = acceptsFromNanos - System.nanoTime();
        nanos > 0;
        nanos = acceptsFromNanos - System.nanoTime()) {
      Thread.sleep(1 + nanos / 1_000_000);
    }
  }

  /** Fills the accept queue for this time: new connections are established only some time after. */
  void acceptLate(long millis) throws IOException, InterruptedException {
    acceptsFromNanos = System.nanoTime() + millis * 1_000_000;
    queueFullAtNanos = acceptsFromNanos;
    isQueueFilled = true;
    List<SocketChannel> fillers = new ArrayList<>();
    fillQueue(fillers, QUEUE_FILLERS);
    // A blocked acceptor may have taken one connection from the queue: its place is filled too.
    Thread.sleep(ACCEPTOR_WAIT_MILLIS);
    fillQueue(fillers, QUEUE_FILLERS - ACCEPT_BACKLOG);
    schedule(millis, () -> fillers.forEach(FakeMachine::closeQuietly));
  }

  private void fillQueue(List<SocketChannel> fillers, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      SocketChannel filler = SocketChannel.open();
      filler.configureBlocking(false);
      filler.bind(new InetSocketAddress(server.getInetAddress(), 0));
      fillerAddresses.add(filler.getLocalAddress());
      filler.connect(server.getLocalSocketAddress());
      fillers.add(filler);
    }
  }

  private static void closeQuietly(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // Already closed.
    }
  }

  /** Adds a VM that was placed before the harness started, and runs it for a long time. */
  synchronized void addExistingVm(String vm) {
    runningVms.put(vm, Optional.empty());
    checker.vmStarted(vm, id);
    schedule(longLifetimeMillis(), () -> completeVm(vm));
  }

  private long longLifetimeMillis() {
    return random.nextInt(15_000, 30_000);
  }

  private synchronized void connectionEnded(PeerConnection[] self) {
    PeerConnection connection = connectionOf(self);
    connections.remove(connection);
    delayedConnections.remove(connection);
    List.copyOf(pendingRequests.entrySet()).stream()
        .filter(request -> request.getValue() == connection)
        .forEach(request -> loseOffer(request.getKey(), connection));
  }

  private void loseOffer(String vm, PeerConnection connection) {
    answerLost(vm, connection);
    withdraw(vm);
  }

  /** An answer that is lost because the scheduler closed the connection excuses nothing. */
  private void answerLost(String vm, PeerConnection connection) {
    if (connection.wasReset()) {
      checker.answerLost(vm);
    }
  }

  /** The connection, also if its reader calls back before its creator has stored it. */
  private static PeerConnection connectionOf(PeerConnection[] self) {
    synchronized (self) {
      return self[0];
    }
  }

  private synchronized void messageReceived(PeerConnection[] self, Message message, long readAt) {
    PeerConnection connection = connectionOf(self);
    switch (message.type()) {
      case Message.REQUEST -> requestReceived(connection, message, readAt);
      case Message.ENDED -> endReceived(connection, message.id());
      case Message.HEALTH_CHECK ->
          schedule(1, () -> connection.send(Message.of(Message.HEALTHY, message.id(), 1)));
      case Message.ACKNOWLEDGED -> unacknowledgedEnds.remove(message.id());
      default -> {}
    }
  }

  private void requestReceived(PeerConnection connection, Message message, long readAt) {
    String vm = message.id();
    boolean mayBeDelayed = delayedConnections.contains(connection) && mayHaveDelayedHandshake();
    checker.attemptReceived(vm, id, message.timeLeftMillis(), readAt, mayBeDelayed);
    placementChecker.attemptReceived(vm, id, readAt);
    pendingRequests.put(vm, connection);
    boolean isFull = runningVms.size() >= capacity;
    schedule(random.nextInt(2, 25), () -> answer(vm, connection, isFull));
  }

  private synchronized void answer(String vm, PeerConnection connection, boolean isFull) {
    if (isDead || !pendingRequests.remove(vm, connection)) {
      return;
    }
    if (isFull) {
      placementChecker.ended(vm, id);
      connection.send(Message.of(Message.ENDED, vm, Message.CAUSE_FULL));
      return;
    }
    runningVms.put(vm, Optional.of(connection));
    checker.vmStarted(vm, id);
    if (answersLost > 0 || answersElsewhere > 0) {
      loseAnswer(vm, connection);
      scheduleEnd(vm);
      return;
    }
    if (answerDelayMillis == 0) {
      sendAcceptance(vm, connection);
    } else {
      sendReport(vm, connection);
      delayedAnswers.add(vm);
      schedule(answerDelayMillis, () -> answerLate(vm, connection));
    }
    scheduleEnd(vm);
  }

  private void sendAcceptance(String vm, PeerConnection connection) {
    if (connection.send(Message.accepted(vm, id + "/" + vm))) {
      checker.vmReported(vm, id);
    } else {
      answerLost(vm, connection);
    }
  }

  private void sendReport(String vm, PeerConnection connection) {
    if (connection.send(Message.report(vm))) {
      checker.vmReported(vm, id);
    }
  }

  private void scheduleEnd(String vm) {
    boolean isLong = random.nextInt(8) == 0;
    schedule(isLong ? longLifetimeMillis() : random.nextInt(100, 1500), () -> completeVm(vm));
  }

  /** Runs the VM without an answer, or with an answer on another connection a little later. */
  private void loseAnswer(String vm, PeerConnection connection) {
    checker.answerLost(vm);
    boolean isElsewhere = answersLost == 0;
    if (isElsewhere) {
      answersElsewhere--;
      schedule(ANSWER_ELSEWHERE_DELAY_MILLIS, () -> answerElsewhere(vm));
    } else {
      answersLost--;
    }
    connection.reset();
  }

  private synchronized void answerElsewhere(String vm) {
    PeerConnection other = anyOpen();
    if (other != null && runningVms.containsKey(vm)) {
      other.send(Message.accepted(vm, id + "/" + vm));
    }
  }

  /** The next {@code count} answers are lost, and their connections reset. */
  synchronized void loseAnswers(int count) {
    answersLost += count;
  }

  /**
   * The next {@code count} answers are sent on another connection, as that of their request is
   * reset.
   */
  synchronized void answerElsewhere(int count) {
    answersElsewhere += count;
  }

  private synchronized void answerLate(String vm, PeerConnection connection) {
    delayedAnswers.remove(vm);
    sendAcceptance(vm, connection);
  }

  private synchronized void completeVm(String vm) {
    if (isDead || !runningVms.containsKey(vm)) {
      return;
    }
    endAndReport(vm, Message.CAUSE_DONE, "");
  }

  private void endAndReport(String vm, int cause, String note) {
    Optional<PeerConnection> requestConnection = runningVms.remove(vm);
    placementChecker.ended(vm, id);
    unacknowledgedEnds.put(vm, cause);
    // If the answer is delayed, the end is sent on any connection, which may be another.
    PeerConnection carrier =
        requestConnection
            .filter(connection -> connection.isOpen() && !delayedAnswers.contains(vm))
            .orElseGet(this::anyOpen);
    checker.vmEnded(vm, id, carrier != null);
    if (carrier != null) {
      carrier.send(Message.ended(vm, cause, note));
    }
  }

  /** Ends all VMs, with a message for each, as at the end of a drain. */
  synchronized void endAllVms() {
    List.copyOf(runningVms.keySet()).forEach(vm -> endAndReport(vm, Message.CAUSE_RESET, "dr"));
  }

  /** From now on the machine reports on each VM at once, and sends its answer this much later. */
  void answerLate(long millis) {
    answerDelayMillis = millis;
  }

  private PeerConnection anyOpen() {
    for (PeerConnection connection : connections) {
      if (connection.isOpen()) {
        return connection;
      }
    }
    return null;
  }

  private void endReceived(PeerConnection connection, String vm) {
    if (pendingRequests.containsKey(vm)) {
      withdraw(vm);
      return;
    }
    if (runningVms.containsKey(vm)) {
      runningVms.remove(vm);
      placementChecker.ended(vm, id);
      checker.vmEndedByScheduler(vm, id);
      connection.send(Message.of(Message.ENDED, vm, Message.CAUSE_CANCELLED));
    }
  }

  private void withdraw(String vm) {
    pendingRequests.remove(vm);
    placementChecker.ended(vm, id);
  }

  /**
   * Hangs for this time: what the machine schedules meanwhile is done later by the remaining time.
   */
  void hang(long millis) {
    hungUntilNanos = System.nanoTime() + millis * 1_000_000;
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  private void schedule(long millis, Runnable task) {
    long remainingHangMillis = Math.max(0, (hungUntilNanos - System.nanoTime()) / 1_000_000);
    timers.schedule(task, millis + remainingHangMillis, TimeUnit.MILLISECONDS);
  }

  /** Resets all connections; the machine and its VMs keep running. */
  void resetConnections() {
    for (PeerConnection connection : openConnections()) {
      connection.awaitInputRead();
    }
    resetNow();
  }

  private synchronized List<PeerConnection> openConnections() {
    return List.copyOf(connections);
  }

  private synchronized void resetNow() {
    checker.messagesLost(id);
    List.copyOf(connections).forEach(PeerConnection::reset);
  }

  /**
   * The machine dies: stops listening, resets all connections and loses its VMs without a message.
   */
  synchronized void die() throws IOException {
    isDead = true;
    server.close();
    resetNow();
    for (String vm : runningVms.keySet()) {
      placementChecker.ended(vm, id);
      checker.vmEnded(vm, id, false);
    }
    runningVms.clear();
    unacknowledgedEnds.clear();
  }

  @Override
  public void close() throws IOException {
    server.close();
    connectionExecutor.shutdownNow();
    synchronized (this) {
      List.copyOf(connections).forEach(PeerConnection::close);
    }
  }
}
