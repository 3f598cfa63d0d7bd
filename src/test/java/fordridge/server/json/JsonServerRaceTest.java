package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.CLOSED;
import static fordridge.server.json.JsonTestPeers.id;
import static fordridge.server.json.JsonTestPeers.listEvent;
import static fordridge.server.json.JsonTestPeers.machineEntry;
import static fordridge.server.json.JsonTestPeers.message;
import static fordridge.server.json.JsonTestPeers.request;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import fordridge.server.json.JsonTestPeers.LineConnection;
import fordridge.server.json.JsonTestPeers.LineServer;
import fordridge.server.json.JsonTestPeers.StalledServer;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Races between two events on real sockets. The peers delay one event until the other is in
 * progress, so that the race occurs in every run.
 */
class JsonServerRaceTest {
  /** A configuration whose connect timeout allows for a machine that accepts connections late. */
  private static String slowToConnect(JsonTestPeers peers, StalledServer stalled) {
    return peers
        .configuration(peers.machineList.port(), machineEntry("s-1", stalled.port(), "SERVING"))
        .replace("\"connectTimeoutUs\":250000", "\"connectTimeoutUs\":3500000");
  }

  @Example
  void requestCancelledWhileConnectingIsNeverSent() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        StalledServer stalled = new StalledServer()) {
      peers.start(slowToConnect(peers, stalled));
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      // The connect has to be in progress first: a cancelled request would start none.
      peers.awaitMachineConnection();
      client.send(message("down", 1, ",\"c\":16"));
      assertThat(client.receiveUntilHealthCheck()).isEmpty();
      assertThat(stalled.acceptFirst().receiveUntilHealthCheck())
          .as("its client had cancelled before a connection was established")
          .isEmpty();
    }
  }

  @Example
  void requestOfClientThatLeavesWhileConnectingIsNeverSent() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        StalledServer stalled = new StalledServer()) {
      peers.start(slowToConnect(peers, stalled));
      LineConnection client = peers.connectClient();
      client.send(request(1, "once"));
      peers.awaitMachineConnection();
      client.close();
      await().until(() -> peers.server.retainedCount() == 0);
      assertThat(stalled.acceptFirst().receiveUntilHealthCheck())
          .as("its client had left before a connection was established")
          .isEmpty();
    }
  }

  @Example
  void requestToMachineThatDrainsWhileConnectingGoesElsewhere() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        StalledServer stalled = new StalledServer()) {
      peers.start(slowToConnect(peers, stalled));
      LineConnection watch = peers.machineList.accept();
      LineConnection client = peers.connectClient();
      client.send(request(1, "once"));
      // A drain that is read before the decision would prevent the connect.
      peers.awaitMachineConnection();
      assertThat(client.receiveUntilHealthCheck()).isEmpty();
      watch.send(
          listEvent(
              4,
              false,
              machineEntry("s-1", stalled.port(), "DRAINING"),
              machineEntry("s-2", peers.machine.port(), "SERVING")));
      peers.machine.await("\"new\"").send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1)))
          .as("it never ran on the draining machine, so it may go elsewhere")
          .contains("\"up\"");
      assertThat(stalled.acceptFirst().receiveUntilHealthCheck())
          .as("the drain was announced before a connection was established")
          .isEmpty();
    }
  }

  /** The new server starts late; the drain is announced after the old server's watch has ended. */
  @Example
  void drainBetweenOldAndNewMachineListServerIsNotMissed() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection watch = peers.acceptWatch(3);
      int port = JsonTestPeers.unusedPort();
      Files.writeString(
          peers.file,
          peers.configuration(port, machineEntry("s-1", peers.machine.port(), "SERVING")));
      peers.server.reload();
      assertThat(watch.receive(CLOSED)).isEqualTo(CLOSED);
      try (LineServer newServer = new LineServer(port)) {
        LineConnection newWatch = JsonTestPeers.acceptWatch(newServer, 3);
        newWatch.send(listEvent(4, false, machineEntry("s-1", peers.machine.port(), "DRAINING")));
        await().until(() -> peers.server.machineListPosition() == 4);
        LineConnection client = peers.connectClient();
        client.send(request(1, "a", "700", "cores:1;memory:1;service:1", "any"));
        assertThat(client.receive(id(1)))
            .as("no live machine is left")
            .contains("\"down\"")
            .contains("\"c\":34");
      }
    }
  }

  @Example
  void reloadWithSameMachineListServerKeepsItsConnection() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection watch = peers.acceptWatch(3);
      peers.server.reload();
      await()
          .until(
              () -> peers.log.toString(StandardCharsets.UTF_8).contains("configuration reloaded"));
      watch.send(listEvent(4, false, machineEntry("s-2", peers.machine.port(), "SERVING")));
      await().until(() -> peers.server.machineListPosition() == 4);
      assertThat(peers.machineList.newConnections).isEmpty();
    }
  }

  /** Guards against a reload that reads changed limits and ignores them. */
  @Example
  void changedLimitsHoldFromReloadOn() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      Files.writeString(
          peers.file, peers.configuration().replace("\"sockets\":256", "\"sockets\":64"));
      peers.server.reload();
      await()
          .until(
              () -> peers.log.toString(StandardCharsets.UTF_8).contains("configuration reloaded"));
      List<Socket> flood = peers.openIdleConnections(60);
      LineConnection client = peers.connectClient();
      assertThat(client.receiveUntilHealthCheck()).isEmpty();
      assertThat(peers.server.connectionCount())
          .as("three eighths of the descriptors")
          .isLessThanOrEqualTo(24);
      JsonTestPeers.closeAll(flood);
    }
  }

  /** Guards against an unread drain behind a long list that is read over several loop turns. */
  @Example
  void drainBehindLongMachineListEventIsReadBeforeSending() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        LineServer other = new LineServer(0)) {
      peers.start();
      LineConnection watch = peers.acceptWatch(3);
      LineConnection client = peers.connectClient();
      assertThat(client.receiveUntilHealthCheck()).isEmpty();
      peers.blockLoopAtLog("configuration reloaded");
      peers.server.reload();
      peers.loopBlocked.await();
      String[] others = new String[300];
      for (int i = 0; i < others.length; i++) {
        others[i] = machineEntry("s-x" + i, other.port(), "DELETED");
      }
      watch.send(
          listEvent(4, false, others)
              + "\n"
              + listEvent(
                  5,
                  false,
                  machineEntry("s-1", peers.machine.port(), "DRAINING"),
                  machineEntry("s-2", other.port(), "SERVING")));
      client.send(request(1, "a"));
      peers.unblockLoop();
      other.await(id(1)).send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      assertThat(peers.machine.findRequest(id(1)))
          .as("the drain was announced before the loop could send")
          .isNull();
    }
  }

  /** An offer is sent after the other reads of its turn; the drain is announced during these. */
  @Example
  void drainReadWithinOneLoopTurnPreventsOfferOfThatTurn() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        LineServer other = new LineServer(0)) {
      peers.start();
      LineConnection watch = peers.acceptWatch(3);
      LineConnection client = peers.connectClient();
      LineConnection invalidClient = peers.connectClient();
      assertThat(invalidClient.receiveUntilHealthCheck()).isEmpty();
      client.send(request(1, "a"));
      LineConnection machine = peers.machine.await(id(1));
      machine.send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      machine.receiveUntilHealthCheck();
      peers.blockLoopAtLog("configuration reloaded");
      peers.server.reload();
      peers.loopBlocked.await();
      // Both are read in one turn. The invalid one takes long; the drain is announced meanwhile.
      client.send(request(2, "a"));
      invalidClient.send(request(3, "no such flavour"));
      peers.runAtLog(
          "invalid request",
          () -> {
            try {
              watch.send(
                  listEvent(
                      4,
                      false,
                      machineEntry("s-1", peers.machine.port(), "DRAINING"),
                      machineEntry("s-2", other.port(), "SERVING")));
              Thread.sleep(50);
            } catch (java.io.IOException | InterruptedException e) {
              throw new IllegalStateException(e);
            }
          });
      peers.unblockLoop();
      other.await(id(2)).send(message("up", 2, ",\"d\":\"d\""));
      assertThat(client.receive(id(2))).contains("\"up\"");
      assertThat(peers.machine.findRequest(id(2)))
          .as("the drain was announced before the offer was written")
          .isNull();
    }
  }

  @Example
  void missingMachineListEventIsFetchedBeforeLaterOnes() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      String drain = listEvent(4, false, machineEntry("s-1", peers.machine.port(), "DRAINING"));
      String join = listEvent(5, false, machineEntry("s-2", peers.machine.port(), "SERVING"));
      LineConnection watch = peers.acceptWatch(3);
      watch.send(join + "\n" + join);
      LineConnection second = peers.acceptWatch(3);
      second.send(drain.replace("DRAINING", "DRAI") + "\n" + join);
      LineConnection third = peers.acceptWatch(3);
      third.send(drain + "\n" + join);
      await().until(() -> peers.server.machineListPosition() == 5);
      // Earlier positions are ignored; a complete list needs no preceding event.
      third.send(
          "2\n"
              + drain
              + "\n"
              + listEvent(9, true, machineEntry("s-3", peers.machine.port(), "SERVING")));
      await().until(() -> peers.server.machineListPosition() == 9);
    }
  }

  @Example
  void acceptanceAfterTimeoutIsIgnored() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "once", "1000", "cores:1;memory:1;service:1", "any"));
      LineConnection machine = peers.machine.await("\"new\"");
      // The acceptance is delayed until the scheduler has cancelled the request.
      assertThat(machine.receive("\"down\"")).contains(id(1)).contains("\"c\":16");
      machine.send(message("up", 1, ",\"d\":\"late\""));
      assertThat(client.receive(id(1))).contains("\"down\"").contains("\"c\":47");
      assertThat(client.receiveUntilHealthCheck()).as("exactly one response").isEmpty();
    }
  }

  /** The machine's process ends after it has read the request, before it answers. */
  @Example
  void machineResetAfterRequestFailsNonIdempotentRequest() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "once"));
      peers.machine.await("\"new\"").reset();
      assertThat(client.receive(id(1)))
          .as("it may have run")
          .contains("\"down\"")
          .contains("\"c\":47");
      assertThat(client.receiveUntilHealthCheck()).isEmpty();
      assertThat(peers.machine.connections())
          .allSatisfy(peer -> assertThat(peer.lines).noneMatch(line -> line.contains("\"new\"")));
    }
  }

  @Example
  void linesThatArriveByteByByteAreDecoded() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      sendByteByByte(
          client, request(1, "a", "4000", "cores:1;memory:1;service:1", "d\\u00e9") + "\n");
      LineConnection machine = peers.machine.await("\"new\"");
      assertThat(machine.matchedLine()).contains(id(1));
      sendByteByByte(machine, message("up", 1, ",\"d\":\"€\"") + "\n");
      assertThat(client.receive(id(1))).contains("\"up\"").contains("€");
      sendByteByByte(machine, message("down", 1, ",\"c\":16") + "\n");
      assertThat(client.receive(id(1))).contains("\"down\"").contains("\"c\":16");
      // A client sends half a request and closes: the half is discarded.
      LineConnection closingClient = peers.connectClient();
      sendByteByByte(closingClient, request(2, "a").substring(0, 60));
      closingClient.close();
      assertThat(client.receiveUntilHealthCheck()).isEmpty();
    }
  }

  private static void sendByteByByte(LineConnection connection, String text) throws Exception {
    connection.socket.setTcpNoDelay(true);
    OutputStream out = connection.socket.getOutputStream();
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      out.write(b);
      out.flush();
    }
  }

  /** Guards against the loss of a notice written to a connection that its client closes. */
  @Example
  void noticeUnacknowledgedAtCloseIsSentOnAnotherConnection() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      LineConnection machine = peers.machine.await("\"new\"");
      machine.send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      LineConnection other = peers.connectClient();
      other.send(request(2, "a"));
      peers.machine.await(id(2)).send(message("up", 2, ",\"d\":\"d\""));
      assertThat(other.receive(id(2))).contains("\"up\"");
      machine.send(message("down", 1, ",\"c\":16"));
      assertThat(client.receive(id(1))).contains("\"down\"");
      // The notice was written, but the scheduler can't know whether it was received.
      client.close();
      assertThat(other.receive(id(1))).contains("\"down\"").contains("\"c\":16");
      other.send(message("ack", 1, ""));
      other.send(message("down", 2, ",\"c\":16"));
      await().until(() -> peers.server.retainedCount() == 0);
    }
  }

  /** Guards against a full output buffer that also stops reading: the close would go unnoticed. */
  @Example
  void clientThatReadsNothingIsDisconnected() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      // The requests that stay pending have longer than the test takes on a busy machine.
      peers.start(peers.configuration().replace("\"giveUpUs\":4000000", "\"giveUpUs\":600000000"));
      LineConnection other = peers.connectClient();
      other.send(request(0, "once", "600000", "cores:1;memory:1;service:1", "any"));
      LineConnection first = peers.machine.await(id(0));
      LineConnection machine;
      // The test never reads from this socket.
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(4096);
        socket.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), peers.server.port()));
        OutputStream out = socket.getOutputStream();
        String bigDescription = "x".repeat(15_000);
        String pending = request(1, "once", "600000", "cores:1;memory:1;service:1", "any");
        out.write((pending + "\n").getBytes(StandardCharsets.UTF_8));
        machine = peers.machine.await(id(1));
        boolean open = true;
        for (int i = 2; open && i < 900; i++) {
          out.write(
              (request(i, "a", "4000", "cores:0.01;memory:0.01;service:1", "x") + "\n")
                  .getBytes(StandardCharsets.UTF_8));
          LineConnection carrier = peers.awaitRequestOrClose(id(i), 2);
          open = carrier != null;
          if (open) {
            carrier.send(message("up", i, ",\"d\":\"" + bigDescription + "\""));
            carrier.send(message("down", i, ",\"c\":16"));
          }
        }
        assertThat(open).as("its responses fill the buffers").isFalse();
      }
      assertThat(machine.receive("\"down\""))
          .as("cancelled with its client")
          .contains(id(1))
          .contains("\"c\":16");
      first.send(message("up", 0, ",\"d\":\"d\""));
      assertThat(other.receive(id(0))).as("other clients are not affected").contains("\"up\"");
    }
  }

  /** Both requests get one response, and the attempt in flight is cancelled. */
  @Example
  void duplicateIdFailsOnceAndCancelsTheAttempt() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      LineConnection machine = peers.machine.await("\"new\"");
      client.send(request(1, "a", "4000", "cores:1;memory:1;service:2", "another"));
      assertThat(client.receive(id(1))).contains("\"down\"").contains("\"c\":47");
      machine.send(message("up", 1, ",\"d\":\"d\""));
      assertThat(machine.receive("\"down\"")).contains(id(1)).contains("\"c\":16");
      assertThat(client.receive(id(1))).as("no second response").isEqualTo(CLOSED);
    }
  }

  @Example
  void idleClientsUpToTheLimitLeaveTheMachineListItsConnection() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection watch = peers.acceptWatch(3);
      int port = peers.machineList.port();
      peers.machineList.server.close();
      List<Socket> idle = peers.openIdleConnections(250);
      watch.close();
      try (LineServer restarted = new LineServer(port)) {
        LineConnection newWatch = JsonTestPeers.acceptWatch(restarted, 3);
        newWatch.send(listEvent(4, false, machineEntry("s-2", peers.machine.port(), "SERVING")));
        await().until(() -> peers.server.machineListPosition() == 4);
      }
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      peers.machine.await(id(1)).send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      JsonTestPeers.closeAll(idle);
    }
  }

  /** Guards against an exit before the last requests arrive if start deadlines are short. */
  @Example
  void stopWithShortStartDeadlinesStillServesLateRequests() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start(peers.configuration().replace("\"giveUpUs\":4000000", "\"giveUpUs\":500000"));
      LineConnection client = peers.connectClient();
      peers.server.stop();
      peers.server.stop();
      assertThat(peers.server.awaitStopped(Duration.ofMillis(550)))
          .as("clients send requests for 0.6 s after the stop")
          .isFalse();
      client.send(request(1, "a", "500", "cores:1;memory:1;service:1", "any"));
      peers.machine.await(id(1)).send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      assertThat(peers.server.awaitStopped(Duration.ofSeconds(5))).isTrue();
    }
  }

  /** A notice that becomes due in a shutdown is sent, with some time for its acknowledgement. */
  @Example
  void stopWaitsForUndeliveredNotice() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start(peers.configuration().replace("\"giveUpUs\":4000000", "\"giveUpUs\":500000"));
      LineConnection client = peers.connectClient();
      client.send(request(1, "a", "500", "cores:1;memory:1;service:1", "any"));
      LineConnection machine = peers.machine.await(id(1));
      machine.send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      client.close();
      await().until(() -> peers.server.connectionCount() == 0);
      peers.server.stop();
      machine.send(message("down", 1, ",\"c\":16"));
      assertThat(peers.server.awaitStopped(Duration.ofMillis(450))).isFalse();
      LineConnection other = peers.connectClient();
      other.send(request(2, "a", "500", "cores:1;memory:1;service:1", "any"));
      assertThat(other.receive(id(1)))
          .as("deferred until a connection has sent a request")
          .contains("\"down\"")
          .contains("\"c\":16");
      assertThat(machine.lines).as("no ack before a client's ack").isEmpty();
      other.send(message("ack", 1, ""));
      assertThat(machine.receive("ack")).contains(id(1));
      peers.machine.await(id(2)).send(message("up", 2, ",\"d\":\"d\""));
      assertThat(other.receive(id(2))).contains("\"up\"");
      assertThat(peers.server.awaitStopped(Duration.ofSeconds(5))).isTrue();
    }
  }

  @Example
  void stopAndReloadBeforeStartTakeEffect() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        LineServer other = new LineServer(0)) {
      peers.create(peers.configuration());
      Files.writeString(
          peers.file,
          peers.configuration(other.port(), machineEntry("s-1", peers.machine.port(), "SERVING")));
      peers.server.reload();
      peers.server.start();
      JsonTestPeers.acceptWatch(other, 3);
    }
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.create(peers.configuration());
      peers.server.stop();
      assertThat(peers.server.awaitStopped(Duration.ofSeconds(5))).isTrue();
    }
  }
}
