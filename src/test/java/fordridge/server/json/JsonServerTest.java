package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.CLOSED;
import static fordridge.server.json.JsonTestPeers.id;
import static fordridge.server.json.JsonTestPeers.listEvent;
import static fordridge.server.json.JsonTestPeers.machineEntry;
import static fordridge.server.json.JsonTestPeers.message;
import static fordridge.server.json.JsonTestPeers.request;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import fordridge.json.JsonFields;
import fordridge.server.json.JsonTestPeers.LineConnection;
import fordridge.server.json.JsonTestPeers.LineServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** The scheduler on loopback with scripted clients, one machine and a machine list server. */
class JsonServerTest {
  @Example
  void descriptionsAreForwardedUnchangedBothWays() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(message("hb", 0, ",\"c\":0"));
      assertThat(client.receive("hb_ok")).contains("\"c\":1");
      client.send(
          request(
              1,
              "a",
              "1500",
              "cores:1;memory:2;service:00000000b4d65521",
              "x\\r\\nc=\\u00e9 \\\"q\\\"\\u0001"));
      LineConnection machine = peers.machine.await("\"new\"");
      assertThat(JsonFields.parse(machine.matchedLine()))
          .containsEntry("ref", id(1))
          .containsEntry("d", "x\r\nc=é \"q\"\u0001");
      assertThat(fields(machine))
          .containsOnlyKeys("class", "key", "left")
          .containsEntry("key", "7f3a9c21e0b4d655");
      machine.send(message("wait", 1, ""));
      machine.send(message("up", 2, ",\"d\":\"not asked for\""));
      machine.send(message("up", 1, ",\"d\":\"d\\u0007\\r\\n\\u20ac\""));
      machine.send(message("up", 1, ",\"d\":\"a second copy\""));
      String up = client.receive("\"up\"");
      assertThat(JsonFields.parse(up))
          .containsEntry("d", "d\u0007\r\n€")
          .containsEntry("ref", id(1));
      machine.send(message("down", 1, ",\"c\":16"));
      assertThat(client.receive("\"t\":")).contains("\"down\"").contains("\"c\":16");
      assertThat(machine.receive("\"down\"")).as("the VM that was not requested").contains(id(2));
      assertThat(machine.receive("\"hb\"")).isNotNull();
      assertThat(machine.lines).as("no ack before the client's ack").isEmpty();
      client.send(message("ack", 1, ""));
      assertThat(machine.receive("ack")).contains(id(1));
    }
  }

  /** Guards against dropping the key, without which machines can't recognize a repeated request. */
  @Example
  void idempotencyKeyIsForwardedOnlyWhereGiven() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a").replace("\"key\"", "\"idem\":\"T-\\u00e91\",\"key\""));
      LineConnection first = peers.machine.await(id(1));
      first.send(message("up", 1, ",\"d\":\"d\""));
      assertThat(fields(first)).containsEntry("idem", "T-é1");
      client.send(request(2, "a"));
      LineConnection second = peers.machine.await(id(2));
      second.send(message("up", 2, ",\"d\":\"d\""));
      assertThat(fields(second)).doesNotContainKey("idem");
    }
  }

  /** The fields of the request for which the connection was selected. */
  private static Map<String, Object> fields(LineConnection connection) throws IOException {
    return JsonFields.object(JsonFields.parse(connection.matchedLine()).get("f"), "f");
  }

  /** Guards against the loss of a termination that is written while an idle connection closes. */
  @Example
  void terminationWrittenWhileIdleConnectionClosesIsReceived() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      LineConnection first = peers.machine.await("\"new\"");
      client.send(request(2, "a"));
      LineConnection second = peers.machine.await("\"new\"");
      first.send(message("up", 1, ",\"d\":\"d\""));
      second.send(message("up", 2, ",\"d\":\"d\""));
      assertThat(client.receive(id(1))).contains("\"up\"");
      assertThat(client.receive(id(2))).contains("\"up\"");
      // The scheduler keeps one of two idle connections and closes the other; only then the machine
      // writes to it.
      assertThat(second.receive(CLOSED)).isEqualTo(CLOSED);
      second.send(message("down", 2, ",\"c\":16"));
      assertThat(client.receive(id(2))).contains("\"down\"").contains("\"c\":16");
    }
  }

  @Example
  void malformedAnswerFailsNonIdempotentRequest() throws Exception {
    for (String malformed :
        new String[] {
          "{\"t\":\"up\",\"ref\":",
          "x".repeat(20_000),
          message("up", 1, ""),
          "\u0000",
          "{\"t\":\"up\",\"ref\":\"" + id(1) + "\",\"f\":{},\"d\":\"\\ud800\"}"
        }) {
      try (JsonTestPeers peers = new JsonTestPeers()) {
        peers.start();
        LineConnection client = peers.connectClient();
        client.send(request(1, "once"));
        LineConnection machine = peers.machine.await("\"new\"");
        machine.send(malformed);
        assertThat(client.receive("\"t\""))
            .as(malformed.substring(0, 1))
            .contains("\"down\"")
            .contains("\"c\":47");
      }
    }
  }

  @Example
  void refusedConnectionRejectsEvenNonIdempotentRequest() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      int port = peers.machine.port();
      peers.machine.close();
      peers.start(
          peers.configuration(peers.machineList.port(), machineEntry("s-1", port, "SERVING")));
      LineConnection client = peers.connectClient();
      client.send(request(1, "once", "3000", "cores:1;memory:1;service:1", "any"));
      assertThat(client.receive("\"t\""))
          .contains("\"down\"")
          .contains("\"c\":34")
          .contains("\"wait\"");
    }
  }

  @Example
  void extraWhoseNameOnlyEndsInAtIsNoHandover() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a", "4000", "cores:1;memory:1;service:1;format:x", "any"));
      peers.machine.await("\"new\"").send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive("\"up\"")).contains(id(1));
    }
  }

  /** Guards against notifying the client too late of a VM that a draining machine has stopped. */
  @Example
  void vmThatEndsBeforeItsAcceptanceFailsAndIsNotPlacedAgain() throws Exception {
    for (String cause : List.of("16", "41")) {
      try (JsonTestPeers peers = new JsonTestPeers();
          LineServer other = new LineServer(0)) {
        peers.start();
        LineConnection watch = peers.machineList.accept();
        LineConnection client = peers.connectClient();
        client.send(request(1, "a"));
        LineConnection machine = peers.machine.await("\"new\"");
        machine.send(
            "{\"t\":\"tell\",\"ref\":\"" + id(1) + "\",\"f\":{\"note\":\"c\",\"value\":\"0.3\"}}");
        machine.receiveUntilHealthCheck();
        watch.send(
            listEvent(
                4,
                false,
                machineEntry("s-1", peers.machine.port(), "DRAINING"),
                machineEntry("s-2", other.port(), "SERVING")));
        await().until(() -> peers.server.machineListPosition() == 4);
        machine.send(message("down", 1, ",\"c\":" + cause));
        assertThat(client.receive("\"t\""))
            .contains("\"down\"")
            .contains(id(1))
            .contains("\"c\":47");
        machine.send(message("up", 1, ",\"d\":\"late\""));
        machine.receiveUntilHealthCheck();
        assertThat(client.receiveUntilHealthCheck()).isEmpty();
        // The next request goes to the other machine, which got nothing of the first request.
        client.send(request(2, "a"));
        LineConnection next = other.await("\"new\"");
        assertThat(next.matchedLine()).contains(id(2));
        next.send(message("up", 2, ",\"d\":\"d\""));
        assertThat(client.receive("\"up\"")).contains(id(2));
      }
    }
  }

  @Example
  void adoptedVmIsTerminatedByItsMachine() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a", "4294967", "cores:1;memory:1;service:1;at:s-1", "any"));
      LineConnection machine = peers.machine.accept();
      machine.send(message("down", 1, ",\"c\":41"));
      assertThat(client.receive("\"t\"")).contains("\"down\"").contains("\"c\":41");
    }
  }

  @Example
  void vmIsLostWithItsMachineAndAnotherMachineMayGetItsAddress() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection watch = peers.acceptWatch(3);
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      peers.machine.await("\"new\"").send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive("\"up\"")).contains(id(1));
      watch.send(
          listEvent(
              4,
              false,
              machineEntry("s-1", peers.machine.port(), "DELETED"),
              machineEntry("s-2", peers.machine.port(), "SERVING")));
      assertThat(client.receive("\"t\"")).contains("\"down\"").contains(id(1)).contains("\"c\":41");
      client.send(request(2, "a"));
      peers.machine.await(id(2)).send(message("up", 2, ",\"d\":\"d2\""));
      assertThat(client.receive("\"up\"")).contains(id(2));
    }
  }

  @Example
  void clientTerminatesRunningVmAndCancelsPendingRequest() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      LineConnection machine = peers.machine.await("\"new\"");
      machine.send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive("\"up\"")).contains(id(1));
      LineConnection elsewhere = peers.connectClient();
      elsewhere.send(message("down", 1, ",\"c\":16"));
      assertThat(elsewhere.receive("ack")).contains(id(1));
      assertThat(machine.receive("\"down\"")).contains(id(1)).contains("\"c\":31");
      client.send(request(2, "a"));
      LineConnection secondMachine = peers.machine.await(id(2));
      client.send(message("down", 2, ",\"c\":16"));
      assertThat(secondMachine.receive("\"down\"")).contains(id(2)).contains("\"c\":16");
    }
  }

  @Example
  void malformedAndInvalidInputIsAnsweredOrClosed() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      for (String bad :
          new String[] {
            "{\"t\":\"new\"}",
            "x".repeat(17_000),
            "{\"t\":\"dance\",\"ref\":\"" + id(1) + "\"}",
            "{\"t\":\"new\",\"ref\":\"" + id(1) + "\",\"f\":{\"class\":[1]},\"d\":\"x\"}",
            "[1]",
            "{\"t\":\"new\",\"ref\":\"" + id(1) + "\",\"t\":\"new\"}"
          }) {
        LineConnection client = peers.connectClient();
        client.send(bad);
        assertThat(client.receive("\"t\"")).as(bad.substring(0, 3)).isEqualTo(CLOSED);
      }
      for (String bad :
          new String[] {
            request(1, "nothing"),
            request(1, "a", "-5", "cores:1;memory:1", "x"),
            request(1, "a", "x", "cores:1;memory:1", "x"),
            request(1, "a", "900", "cores:1e9;memory:1", "x"),
            request(1, "a", "900", "cores:NaN;memory:1", "x"),
            request(1, "a", "900", "", "x"),
            request(1, "a").replace("acme", "nobody"),
            request(1, "a").replace("\"d\"", "\"e\"")
          }) {
        LineConnection client = peers.connectClient();
        client.send(bad);
        assertThat(client.receive("\"t\"")).as(bad).contains("\"down\"").contains("\"c\":47");
        assertThat(client.receive("\"t\"")).isEqualTo(CLOSED);
      }
      LineConnection silent = peers.connectClient();
      assertThat(silent.receive("\"t\"")).isEqualTo(CLOSED);
    }
  }

  /** Guards against closing one idle connection repeatedly while a flood takes all descriptors. */
  @Example
  void clientConnectionsAreBoundedUnderFlood() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      LineConnection machine = peers.machine.await("\"new\"");
      List<Socket> flood = peers.openIdleConnections(300);
      LineConnection last = peers.connectClient();
      last.send(message("hb", 0, ",\"c\":0"));
      assertThat(last.receive("hb_ok")).isNotNull();
      assertThat(peers.server.connectionCount()).isLessThanOrEqualTo(96);
      machine.send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive("\"up\"")).contains(id(1));
      JsonTestPeers.closeAll(flood);
    }
  }

  @Example
  void machineListIsWatchedAgainFromLastPosition() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection watch = peers.acceptWatch(3);
      String fourth = listEvent(4, false, machineEntry("s-2", peers.machine.port(), "SERVING"));
      watch.send(fourth);
      watch.send(fourth);
      watch.send(
          listEvent(5, false, machineEntry("s-3", peers.machine.port(), "SERVING"))
              .substring(0, 40));
      watch.close();
      peers.acceptWatch(4);
      // A connection that stays open without even a position message is replaced by a new watch.
      peers.acceptWatch(4);
    }
  }

  @Example
  void reloadSwitchesTheWatchAndMalformedFileChangesNothing() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        LineServer other = new LineServer(0)) {
      peers.start();
      peers.acceptWatch(3);
      Files.writeString(peers.file, "{\"name\":");
      peers.server.reload();
      peers.awaitLog("not reloaded");
      Files.writeString(
          peers.file,
          peers.configuration(other.port(), machineEntry("s-1", peers.machine.port(), "SERVING")));
      peers.server.reload();
      JsonTestPeers.acceptWatch(other, 3);
    }
  }

  @Example
  void stopStillServesRequestsThenEnds() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(message("hb", 0, ",\"c\":0"));
      assertThat(client.receive("hb_ok")).isNotNull();
      peers.server.stop();
      client.send(request(1, "a"));
      LineConnection machine = peers.machine.await("\"new\"");
      peers.connectClient().send(request(2, "a"));
      peers.machine.await(id(2)).send(message("up", 2, ",\"d\":\"d2\""));
      assertThat(peers.server.awaitStopped(Duration.ofMillis(900)))
          .as("it still serves before SIGKILL is due")
          .isFalse();
      machine.send(message("up", 1, ",\"d\":\"d\""));
      assertThat(client.receive("\"up\"")).contains(id(1));
      assertThat(peers.server.awaitStopped(Duration.ofSeconds(5))).isTrue();
    }
  }

  /** Guards against a leak per VM: many VMs, each with its own id. */
  @Example
  void nothingIsRetainedOfEndedVms() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      for (int i = 1; i <= 60; i++) {
        client.send(
            request(i, i % 2 == 0 ? "a" : "once", "4000", "cores:0.5;memory:0.5;service:1", "any"));
        LineConnection machine = peers.machine.await(id(i));
        if (i % 3 == 0) {
          client.send(message("down", i, ",\"c\":16"));
          assertThat(machine.receive("\"down\"")).contains(id(i));
        } else {
          machine.send(message("up", i, ",\"d\":\"d\""));
          machine.send(message("down", i, ",\"c\":16"));
          machine.send(message("down", i, ",\"c\":16"));
          assertThat(client.receive("\"up\"")).contains(id(i));
          assertThat(client.receive("\"down\"")).contains(id(i));
        }
      }
      await().until(() -> peers.server.retainedCount() == 0);
    }
  }

  @Example
  void malformedConfigurationIsRejectedWithReason() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      for (String[] bad :
          new String[][] {
            {"\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"x\"", "seed"},
            {"\"sockets\":256", "\"sockets\":8", "sockets"},
            {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"", "address"},
            {"\"lanes\"", "\"lines\"", "priority classes"}
          }) {
        String good = peers.configuration(1, machineEntry("s-1", 1, "SERVING"));
        assertThatThrownBy(() -> peers.start(good.replace(bad[0], bad[1])))
            .hasMessageContaining(bad[2]);
      }
    }
  }
}
