package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.id;
import static fordridge.server.json.JsonTestPeers.request;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.server.json.JsonTestPeers.LineConnection;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import net.jqwik.api.Example;

/** Decisions wait until all input of clients is read, and no longer. */
class ReadCycleTest {
  /** The maximum size of one read cycle: four reads of 4 KiB. */
  private static final int READ_CYCLE_BYTES = 4 * 4096;

  /**
   * Below the two seconds for which a connection that seems to have more input delays decisions.
   */
  private static final Duration MAX_OFFER_DELAY = Duration.ofMillis(1500);

  /**
   * A full read cycle does not show whether more input follows; the server has to notice that none
   * does.
   */
  @Example
  void inputThatFillsAReadCycleExactlyDelaysNoDecision() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      assertThat(client.receiveUntilHealthCheck()).isEmpty();

      long sentNanos = System.nanoTime();
      client.send(padded(request(1, "a")));
      LineConnection machine = peers.machine.await("\"new\"");

      assertThat(machine.matchedLine()).contains(id(1));
      assertThat(Duration.ofNanos(System.nanoTime() - sentNanos)).isLessThan(MAX_OFFER_DELAY);
    }
  }

  /** Pads the line with ignored lines before it to the size of a read cycle, line feed included. */
  private static String padded(String line) {
    StringBuilder text = new StringBuilder();
    int remainingBytes = READ_CYCLE_BYTES - 1 - line.getBytes(StandardCharsets.UTF_8).length;
    String filler = "{\"t\":\"tell\",\"ref\":\"00000000000000ff\",\"f\":{\"note\":\"%s\"}}\n";
    int overhead = String.format(filler, "").length();
    while (remainingBytes > 0) {
      int length = remainingBytes < 2000 + 2 * overhead ? remainingBytes : 2000;
      text.append(String.format(filler, "x".repeat(length - overhead)));
      remainingBytes -= length;
    }
    return text + line;
  }
}
