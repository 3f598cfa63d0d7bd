package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.CLOSED;
import static fordridge.server.json.JsonTestPeers.id;
import static fordridge.server.json.JsonTestPeers.message;
import static fordridge.server.json.JsonTestPeers.request;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.server.json.JsonTestPeers.LineConnection;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import net.jqwik.api.Example;

/** The heap that {@code deploy/serve.sh} sets suffices for whatever clients send. */
class MemoryBoundsTest {
  /** Memory in MB as the configuration states it. */
  private static final int[] CONFIGURED_MEMORY_MB = {64, 96, 192};

  private static final int LINE_BYTES = 16 * 1024;
  private static final int USUAL_REQUESTS = 5;

  /** At 100 bytes each they would fill the heap of 16 MB. */
  private static final int WITHDRAWN_REQUESTS = 160_000;

  /** Fewer than the 384 that are allowed to clients. */
  private static final int CONNECTIONS = 370;

  private static final int WITHDRAWN_AT_ONCE = 100;

  /** At 320 bytes each they would fill the heap of 16 MB. */
  private static final int HANDED_OVER_VMS = 50_000;

  /** A cluster without free capacity, whose machine answers nothing: requests wait. */
  private static ServeScriptProcess start(JsonTestPeers peers, int memoryMb) throws Exception {
    return start(peers, memoryMb, "", "");
  }

  /** As above, with a change of the configuration. */
  private static ServeScriptProcess start(
      JsonTestPeers peers, int memoryMb, String replaced, String replacement) throws Exception {
    String configuration =
        peers
            .configuration()
            .replace("\"unasked\":[90,90]", "\"unasked\":[0,0]")
            .replace("\"memory_mb\":64", "\"memory_mb\":" + memoryMb)
            .replace("\"sockets\":256", "\"sockets\":1024")
            .replace(replaced, replacement);
    Files.writeString(peers.file, configuration);
    return new ServeScriptProcess(peers.file);
  }

  /** Fills the text with the character up to the maximum length of a line in UTF-8. */
  private static String fill(String line, String character) {
    int count = (LINE_BYTES - line.length()) / character.getBytes(StandardCharsets.UTF_8).length;
    return line.replace("FILL", character.repeat(count));
  }

  private static void send(LineConnection client, List<String> lines) throws IOException {
    OutputStream out = new BufferedOutputStream(client.socket.getOutputStream(), LINE_BYTES);
    for (String line : lines) {
      out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }
    out.flush();
  }

  /** Sends the lines; a failure to do so is the end of the process, whose log is reported. */
  private static void sendUntilEnded(
      ServeScriptProcess process, LineConnection client, List<String> lines) {
    try {
      send(client, lines);
    } catch (IOException e) {
      assertThat(process.lastLines()).as("the process has ended").isEmpty();
    }
  }

  /** Sends a few requests, during the test beside another client's. */
  private static LineConnection startUsualClient(ServeScriptProcess process) throws IOException {
    LineConnection usual = new LineConnection(process.connect());
    for (int i = 0; i < USUAL_REQUESTS; i++) {
      usual.send(request(i, "a"));
    }
    return usual;
  }

  private static void assertAllAnswered(ServeScriptProcess process, LineConnection usual)
      throws InterruptedException {
    Set<String> unanswered = new HashSet<>();
    for (int i = 0; i < USUAL_REQUESTS; i++) {
      unanswered.add(id(i));
    }
    String line = usual.receive("\"down\"");
    while (line != null && !line.equals(CLOSED)) {
      String answer = line;
      unanswered.removeIf(answer::contains);
      line = unanswered.isEmpty() ? null : usual.receive("\"down\"");
    }
    assertThat(process.isAlive()).as("log: %s", process.lastLines()).isTrue();
    assertThat(unanswered).as("requests of the usual client").isEmpty();
  }

  /** Fewer requests than the bound on their number, each of the maximum size, in one burst. */
  private static void assertSurvivesFlood(String requestTemplate, String character)
      throws Exception {
    for (int memoryMb : CONFIGURED_MEMORY_MB) {
      try (JsonTestPeers peers = new JsonTestPeers();
          ServeScriptProcess process = start(peers, memoryMb)) {
        LineConnection usual = startUsualClient(process);
        LineConnection flood = new LineConnection(process.connect());
        String line = fill(requestTemplate, character);
        for (int i = 0; i < 990; i++) {
          sendUntilEnded(process, flood, List.of(line.replace(id(0), id(1_000 + i))));
        }
        assertAllAnswered(process, usual);
      }
    }
  }

  /**
   * Guards against an OutOfMemoryError by pending requests that are few, but large: descriptions
   * that take two bytes a character.
   */
  @Example
  void requestsWithLargeDescriptionsDoNotExhaustTheHeap() throws Exception {
    assertSurvivesFlood(request(0, "a", "4000", "cores:1;memory:1;service:1", "\u20acFILL"), "x");
  }

  /** Guards against the same by another field that is kept, the idempotency key. */
  @Example
  void requestsWithLargeIdempotencyKeysDoNotExhaustTheHeap() throws Exception {
    assertSurvivesFlood(
        request(0, "a").replace("\"extras\":", "\"idem\":\"\u20acFILL\",\"extras\":"), "\u00e9");
  }

  /**
   * Guards against an OutOfMemoryError by requests that are over: the timers of their deadlines
   * kept them.
   */
  @Example
  void withdrawnRequestsAreNotKeptUntilTheirDeadline() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        ServeScriptProcess process =
            start(peers, 64, "\"giveUpUs\":4000000", "\"giveUpUs\":600000000")) {
      LineConnection flood = new LineConnection(process.connect());
      String extras = "cores:1;memory:1;service:1";
      for (int i = 0; i < WITHDRAWN_REQUESTS; i += WITHDRAWN_AT_ONCE) {
        List<String> lines = new ArrayList<>();
        for (int j = i; j < i + WITHDRAWN_AT_ONCE; j++) {
          lines.add(request(j, "a", "600000", extras, "any"));
          lines.add(message("down", j, ",\"c\":16"));
        }
        sendUntilEnded(process, flood, lines);
      }
      LineConnection usual = startUsualClient(process);
      assertThat(usual.receiveUntilHealthCheck()).isEmpty();
      assertThat(process.isAlive()).as("log: %s", process.lastLines()).isTrue();
    }
  }

  /** Guards against an OutOfMemoryError by handed-over VMs, which nothing limited. */
  @Example
  void handedOverVmsDoNotExhaustTheHeap() throws Exception {
    assertSurvivesHandovers(number -> "s-1");
  }

  /** Guards against an OutOfMemoryError by the machines that handovers name. */
  @Example
  void machinesNamedByHandoversDoNotExhaustTheHeap() throws Exception {
    assertSurvivesHandovers(number -> "x-" + number);
  }

  private static void assertSurvivesHandovers(IntFunction<String> machineOf) throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        ServeScriptProcess process = start(peers, 64)) {
      LineConnection flood = new LineConnection(process.connect());
      for (int i = 0; i < HANDED_OVER_VMS; i++) {
        String extras = "cores:1;memory:1;service:1;at:" + machineOf.apply(i);
        sendUntilEnded(process, flood, List.of(request(1_000 + i, "a", "4000", extras, "any")));
      }
      assertAllAnswered(process, startUsualClient(process));
    }
  }

  /**
   * Guards against an event loop that waits for direct memory, which the incomplete lines of many
   * connections had used up: no other client got an answer.
   */
  @Example
  void incompleteLinesOfManyConnectionsDoNotStopTheOthers() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers();
        ServeScriptProcess process = start(peers, 64)) {
      byte[] halfALine = "x".repeat(LINE_BYTES).getBytes(StandardCharsets.UTF_8);
      List<Socket> sockets = new ArrayList<>();
      for (int i = 0; i < CONNECTIONS; i++) {
        sockets.add(process.connect());
        sockets.get(i).getOutputStream().write(halfALine);
      }
      LineConnection usual = new LineConnection(process.connect());
      assertThat(usual.receiveUntilHealthCheck()).isEmpty();
      assertAllAnswered(process, startUsualClient(process));
      JsonTestPeers.closeAll(sockets);
    }
  }
}
