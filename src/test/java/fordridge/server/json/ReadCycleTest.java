package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.id;
import static fordridge.server.json.JsonTestPeers.request;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.server.json.JsonTestPeers.LineConnection;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import net.jqwik.api.Example;

/** Decisions wait until clients' input is read to its end, and no longer than that. */
class ReadCycleTest {
  /** What one read cycle takes at the most: four reads of 4 KiB. */
  private static final int CYCLE_BYTES = 4 * 4096;

  /** A connection that is taken to have more input holds decisions up for two seconds. */
  private static final Duration LATEST = Duration.ofMillis(1500);

  /** Whether more follows is not known from such a cycle; that nothing does has to be noticed. */
  @Example
  void inputThatFillsAReadCycleExactlyDelaysNoDecision() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.start();
      LineConnection client = peers.connectClient();
      assertThat(client.receiveUntilHealthCheck()).isEmpty();

      long sentNanos = System.nanoTime();
      client.send(padded(request(1, "a")));
      LineConnection machine = peers.machine.await("\"new\"");

      assertThat(machine.foundBy()).contains(id(1));
      assertThat(Duration.ofNanos(System.nanoTime() - sentNanos)).isLessThan(LATEST);
    }
  }

  /**
   * The line, with lines before it that mean nothing, in the bytes of a cycle, line feed included.
   */
  private static String padded(String line) {
    StringBuilder text = new StringBuilder();
    int missing = CYCLE_BYTES - 1 - line.getBytes(StandardCharsets.UTF_8).length;
    String filler = "{\"t\":\"tell\",\"ref\":\"00000000000000ff\",\"f\":{\"note\":\"%s\"}}\n";
    int overhead = String.format(filler, "").length();
    while (missing > 0) {
      int length = missing < 2000 + 2 * overhead ? missing : 2000;
      text.append(String.format(filler, "x".repeat(length - overhead)));
      missing -= length;
    }
    return text + line;
  }
}
