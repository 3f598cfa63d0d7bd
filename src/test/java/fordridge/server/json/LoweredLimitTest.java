package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.CLOSED;
import static fordridge.server.json.JsonTestPeers.request;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.server.json.JsonTestPeers.LineConnection;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** A reload lowers the connection limit below the number of clients with pending requests. */
class LoweredLimitTest {
  private static final int CLIENTS = 40;

  @Example
  void newConnectionOverTheLimitIsClosedAndOthersStayOpen() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      List<LineConnection> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        LineConnection client = peers.connectClient();
        client.send(request(i, "a"));
        clients.add(client);
        assertThat(client.receiveUntilHealthCheck()).isEmpty();
      }

      Files.writeString(
          peers.file, peers.configuration().replace("\"sockets\":256", "\"sockets\":64"));
      peers.server.reload();
      peers.awaitLog("configuration reloaded");
      LineConnection newClient = peers.connectClient();

      assertThat(newClient.receive(CLOSED)).isEqualTo(CLOSED);
      assertThat(clients.get(0).receiveUntilHealthCheck())
          .allSatisfy(line -> assertThat(line).contains("\"t\":"));
      assertThat(peers.server.connectionCount()).isEqualTo(CLIENTS);
    }
  }

  /**
   * A request that is read has to be answered, so a new connection over the limit is closed unread.
   */
  @Example
  void requestOnAConnectionOverTheLimitIsNotRead() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      for (int i = 0; i < CLIENTS; i++) {
        LineConnection client = peers.connectClient();
        client.send(request(i, "a"));
        assertThat(client.receiveUntilHealthCheck()).isEmpty();
      }
      Files.writeString(
          peers.file, peers.configuration().replace("\"sockets\":256", "\"sockets\":64"));
      peers.blockLoopAtLog("configuration reloaded");
      peers.server.reload();
      peers.awaitLog("configuration reloaded");
      LineConnection newClient = peers.connectClient();
      newClient.send(request(CLIENTS, "a"));
      int expectedConnections = CLIENTS;
      peers.unblockLoop();

      assertThat(newClient.receive(CLOSED)).isEqualTo(CLOSED);
      assertThat(peers.server.connectionCount()).isEqualTo(expectedConnections);
      assertThat(peers.machine.findRequest(JsonTestPeers.id(CLIENTS))).isNull();
    }
  }
}
