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
 * Races between two events on real sockets: the peers hold one of them back and let it go once the
 * other is under way, so that the race happens every time.
 */
class JsonServerRaceTest {
  /** The machine's connections come up only once they are accepted, and may take that long. */
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
      // Cancelled before the connection is begun, none would be.
      peers.awaitMachineConnection();
      client.send(message("down", 1, ",\"c\":16"));
      assertThat(client.receiveUntilHealthCheck()).isEmpty();
      assertThat(stalled.acceptFirst().receiveUntilHealthCheck())
          .as("its client had cancelled before a connection came up")
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
          .as("its client had left before a connection came up")
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
      // Had the drain been read before the decision, no connection would be begun.
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
          .as("the drain was announced before a connection came up")
          .isEmpty();
    }
  }

  /** The new server comes up late, and the drain is announced after the old one was left. */
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
      try (LineServer late = new LineServer(port)) {
        LineConnection there = JsonTestPeers.acceptWatch(late, 3);
        there.send(listEvent(4, false, machineEntry("s-1", peers.machine.port(), "DRAINING")));
        await().until(() -> peers.server.machineListPosition() == 4);
        LineConnection client = peers.connectClient();
        client.send(request(1, "a", "700", "cores:1;memory:1;service:1", "any"));
        assertThat(client.receive(id(1)))
            .as("nothing is left to place on")
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

  /** Limits used to be read by a reload and ignored. */
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

  /** A drain used to wait behind a long list, some of which was read in each turn of the loop. */
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

  /** An offer waits behind the other reads of a turn in which the drain is announced. */
  @Example
  void drainReadWithinOneLoopTurnPreventsOfferOfThatTurn() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        LineServer other = new LineServer(0)) {
      peers.start();
      LineConnection watch = peers.acceptWatch(3);
      LineConnection client = peers.connectClient();
      LineConnection bad = peers.connectClient();
      assertThat(bad.receiveUntilHealthCheck()).isEmpty();
      client.send(request(1, "a"));
      LineConnection open = peers.machine.await(id(1));
      open.send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      open.receiveUntilHealthCheck();
      peers.blockLoopAtLog("configuration reloaded");
      peers.server.reload();
      peers.loopBlocked.await();
      // Both are read in one turn; one of them takes long, and the drain is announced meanwhile.
      client.send(request(2, "a"));
      bad.send(request(3, "no such flavour"));
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
      String drains = listEvent(4, false, machineEntry("s-1", peers.machine.port(), "DRAINING"));
      String joins = listEvent(5, false, machineEntry("s-2", peers.machine.port(), "SERVING"));
      LineConnection watch = peers.acceptWatch(3);
      watch.send(joins + "\n" + joins);
      LineConnection second = peers.acceptWatch(3);
      second.send(drains.replace("DRAINING", "DRAI") + "\n" + joins);
      LineConnection third = peers.acceptWatch(3);
      third.send(drains + "\n" + joins);
      await().until(() -> peers.server.machineListPosition() == 5);
      // Earlier positions are ignored; a complete list needs no event before it.
      third.send(
          "2\n"
              + drains
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
      // The acceptance is held back until the scheduler has cancelled the request.
      assertThat(machine.receive("\"down\"")).contains(id(1)).contains("\"c\":16");
      machine.send(message("up", 1, ",\"d\":\"late\""));
      assertThat(client.receive(id(1))).contains("\"down\"").contains("\"c\":47");
      assertThat(client.receiveUntilHealthCheck()).as("one answer").isEmpty();
    }
  }

  /** The machine has read the request, and its process ends before it answers. */
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
          .allSatisfy(w -> assertThat(w.lines).noneMatch(l -> l.contains("\"new\"")));
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
      assertThat(machine.foundBy()).contains(id(1));
      sendByteByByte(machine, message("up", 1, ",\"d\":\"€\"") + "\n");
      assertThat(client.receive(id(1))).contains("\"up\"").contains("€");
      sendByteByByte(machine, message("down", 1, ",\"c\":16") + "\n");
      assertThat(client.receive(id(1))).contains("\"down\"").contains("\"c\":16");
      // Half a request, and the client is gone: nothing of it is taken.
      LineConnection half = peers.connectClient();
      sendByteByByte(half, request(2, "a").substring(0, 60));
      half.close();
      assertThat(client.receiveUntilHealthCheck()).isEmpty();
    }
  }

  private static void sendByteByByte(LineConnection to, String text) throws Exception {
    to.socket.setTcpNoDelay(true);
    OutputStream out = to.socket.getOutputStream();
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      out.write(b);
      out.flush();
    }
  }

  /** A notice used to be lost that was written into a connection which its client was closing. */
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
      // Written, and as far as the scheduler can know not received.
      client.close();
      assertThat(other.receive(id(1))).contains("\"down\"").contains("\"c\":16");
      other.send(message("ack", 1, ""));
      other.send(message("down", 2, ",\"c\":16"));
      await().until(() -> peers.server.retainedCount() == 0);
    }
  }

  /** Such a client used not to be read from either, and could not be seen to leave. */
  @Example
  void clientThatReadsNothingIsDisconnected() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection other = peers.connectClient();
      other.send(request(0, "a"));
      LineConnection first = peers.machine.await(id(0));
      LineConnection machine;
      // Nothing is read from this socket.
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(4096);
        socket.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), peers.server.port()));
        OutputStream out = socket.getOutputStream();
        String bigDescription = "x".repeat(15_000);
        out.write((request(1, "once") + "\n").getBytes(StandardCharsets.UTF_8));
        machine = peers.machine.await(id(1));
        boolean open = true;
        for (int i = 2; open && i < 900; i++) {
          out.write(
              (request(i, "a", "4000", "cores:0.01;memory:0.01;service:1", "x") + "\n")
                  .getBytes(StandardCharsets.UTF_8));
          LineConnection carrier = null;
          for (int n = 0; open && carrier == null; n++) {
            carrier = peers.machine.findRequest(id(i));
            Thread.onSpinWait();
            // Neither admitted nor closed would mean that it is read no more.
            open = peers.server.connectionCount() == 2 && n < 2000;
          }
          if (carrier != null) {
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

  /** One response for both, and the attempt that was in flight is cancelled. */
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
      assertThat(client.receive(id(1))).as("no second answer").isEqualTo(CLOSED);
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
      try (LineServer back = new LineServer(port)) {
        LineConnection again = JsonTestPeers.acceptWatch(back, 3);
        again.send(listEvent(4, false, machineEntry("s-2", peers.machine.port(), "SERVING")));
        await().until(() -> peers.server.machineListPosition() == 4);
      }
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      peers.machine.await(id(1)).send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      JsonTestPeers.closeAll(idle);
    }
  }

  /** With a short start deadline the scheduler used to end before the last requests came. */
  @Example
  void stopWithShortStartDeadlinesStillServesLateRequests() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start(peers.configuration().replace("\"giveUpUs\":4000000", "\"giveUpUs\":500000"));
      LineConnection client = peers.connectClient();
      peers.server.stop();
      peers.server.stop();
      assertThat(peers.server.awaitStopped(Duration.ofMillis(550)))
          .as("requests come for 0.6 s")
          .isFalse();
      client.send(request(1, "a", "500", "cores:1;memory:1;service:1", "any"));
      peers.machine.await(id(1)).send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      assertThat(peers.server.awaitStopped(Duration.ofSeconds(5))).isTrue();
    }
  }

  /** A notice that falls on the end is sent before it, with some time to be acknowledged. */
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
      assertThat(machine.lines).as("before any client has heard it").isEmpty();
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
