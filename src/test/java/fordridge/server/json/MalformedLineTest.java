package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.CLOSED;
import static fordridge.server.json.JsonTestPeers.id;
import static fordridge.server.json.JsonTestPeers.request;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.server.json.JsonTestPeers.LineConnection;
import net.jqwik.api.Example;

/** A malformed line that follows requests which have been read already. */
class MalformedLineTest {
  @Example
  void requestBeforeAMalformedLineIsAnsweredBeforeTheClose() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a"));
      assertThat(peers.machine.await(id(1))).isNotNull();

      client.send("{\"t\":\"new\",\"ref\":7");

      assertThat(client.receive(id(1))).contains("\"down\"");
      assertThat(client.receive(CLOSED)).isEqualTo(CLOSED);
    }
  }
}
