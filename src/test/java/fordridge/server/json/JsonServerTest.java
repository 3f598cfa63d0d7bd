package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.ask;
import static fordridge.server.json.JsonTestPeers.event;
import static fordridge.server.json.JsonTestPeers.member;
import static fordridge.server.json.JsonTestPeers.ref;
import static fordridge.server.json.JsonTestPeers.word;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import fordridge.json.JsonFields;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** The real program on loopback, against scripted owners, machines and a journal. */
class JsonServerTest {
  private final String[] line = new String[1];

  @Example
  void anAskGoesOnUnchangedAndItsAnswerComesBackUnchanged() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(word("hb", 0, ",\"c\":0"));
      assertThat(owner.next("hb_ok")).contains("\"c\":1");
      owner.say(
          ask(
              1,
              "a",
              "1500",
              "cores:1;memory:2;service:00000000b4d65521",
              "x\\r\\nc=\\u00e9 \\\"q\\\"\\u0001"));
      JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
      assertThat(JsonFields.parse(line[0]))
          .containsEntry("ref", ref(1))
          .containsEntry("d", "x\r\nc=é \"q\"\u0001");
      assertThat(JsonFields.object(JsonFields.parse(line[0]).get("f"), "f"))
          .containsOnlyKeys("class", "key", "left")
          .containsEntry("key", "7f3a9c21e0b4d655");
      m.say(word("wait", 1, ""));
      m.say(word("up", 2, ",\"d\":\"not asked for\""));
      m.say(word("up", 1, ",\"d\":\"d\\u0007\\r\\n\\u20ac\""));
      m.say(word("up", 1, ",\"d\":\"a second copy\""));
      String up = owner.next("\"up\"");
      assertThat(JsonFields.parse(up))
          .containsEntry("d", "d\u0007\r\n€")
          .containsEntry("ref", ref(1));
      m.say(word("down", 1, ",\"c\":16"));
      assertThat(owner.next("\"t\":")).contains("\"down\"").contains("\"c\":16");
      assertThat(m.next("ack")).contains(ref(1));
    }
  }

  /** Guards a tokened VM that machines could not know again: its token was left behind. */
  @Example
  void theTokenOfAnAskGoesOnUnchangedAndOthersHaveNone() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a").replace("\"key\"", "\"idem\":\"T-\\u00e91\",\"key\""));
      p.machine.carrying(ref(1), line).say(word("up", 1, ",\"d\":\"d\""));
      assertThat(JsonFields.object(JsonFields.parse(line[0]).get("f"), "f"))
          .containsEntry("idem", "T-é1");
      owner.say(ask(2, "a"));
      p.machine.carrying(ref(2), line).say(word("up", 2, ",\"d\":\"d\""));
      assertThat(JsonFields.object(JsonFields.parse(line[0]).get("f"), "f"))
          .doesNotContainKey("idem");
    }
  }

  /**
   * Guards the first failure on sockets: a VM's end that fell on the moment of an idle connection's
   * close.
   */
  @Example
  void anEndWrittenAsTheConnectionClosesIsHeard() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a"));
      JsonTestPeers.Wire first = p.machine.carrying("\"new\"", line);
      owner.say(ask(2, "a"));
      JsonTestPeers.Wire second = p.machine.carrying("\"new\"", line);
      first.say(word("up", 1, ",\"d\":\"d\""));
      second.say(word("up", 2, ",\"d\":\"d\""));
      assertThat(owner.next(ref(1))).contains("\"up\"");
      assertThat(owner.next(ref(2))).contains("\"up\"");
      // Two idle: one is kept, the other closed from the placer's side. Only then the machine
      // writes.
      assertThat(second.next(JsonTestPeers.END)).isEqualTo(JsonTestPeers.END);
      second.say(word("down", 2, ",\"c\":16"));
      assertThat(owner.next(ref(2))).contains("\"down\"").contains("\"c\":16");
    }
  }

  @Example
  void anAnswerThatCantBeReadMayHaveRun() throws Exception {
    for (String noise :
        new String[] {
          "{\"t\":\"up\",\"ref\":",
          "x".repeat(20_000),
          word("up", 1, ""),
          "\u0000",
          "{\"t\":\"up\",\"ref\":\"" + ref(1) + "\",\"f\":{},\"d\":\"\\ud800\"}"
        }) {
      try (JsonTestPeers p = new JsonTestPeers()) {
        p.start();
        JsonTestPeers.Wire owner = p.owner();
        owner.say(ask(1, "once"));
        JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
        m.say(noise);
        assertThat(owner.next("\"t\""))
            .as(noise.substring(0, 1))
            .contains("\"down\"")
            .contains("\"c\":47");
      }
    }
  }

  @Example
  void aRefusedConnectionNeverRanSoEvenAOneShotIsDenied() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      int port = p.machine.port();
      p.machine.close();
      p.start(p.configuration(p.journal.port(), member("s-1", port, "SERVING")));
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "once", "3000", "cores:1;memory:1;service:1", "any"));
      assertThat(owner.next("\"t\""))
          .contains("\"down\"")
          .contains("\"c\":34")
          .contains("\"wait\"");
    }
  }

  @Example
  void aFieldThatOnlyEndsLikeTheOneOfRunningVmsIsNoSuchField() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a", "4000", "cores:1;memory:1;service:1;format:x", "any"));
      p.machine.carrying("\"new\"", line).say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next("\"up\"")).contains(ref(1));
    }
  }

  /**
   * Guards a VM that was cut on a draining machine before its late answer came: its owner heard of
   * it too late.
   */
  @Example
  void aVmThatRanAndIsOverBeforeItsAnswerCameHasFailedAndIsNotPlacedAgain() throws Exception {
    for (String cause : List.of("16", "41")) {
      try (JsonTestPeers p = new JsonTestPeers();
          JsonTestPeers.Listener other = new JsonTestPeers.Listener(0)) {
        p.start();
        JsonTestPeers.Wire tail = p.journal.next();
        JsonTestPeers.Wire owner = p.owner();
        owner.say(ask(1, "a"));
        JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
        m.say(
            "{\"t\":\"tell\",\"ref\":\"" + ref(1) + "\",\"f\":{\"note\":\"c\",\"value\":\"0.3\"}}");
        m.untilTested();
        tail.say(
            event(
                4,
                false,
                member("s-1", p.machine.port(), "DRAINING"),
                member("s-2", other.port(), "SERVING")));
        await().until(() -> p.program.machineListPosition() == 4);
        m.say(word("down", 1, ",\"c\":" + cause));
        assertThat(owner.next("\"t\"")).contains("\"down\"").contains(ref(1)).contains("\"c\":47");
        m.say(word("up", 1, ",\"d\":\"late\""));
        m.untilTested();
        assertThat(owner.untilTested()).isEmpty();
        // What is asked for next goes there; nothing of the first went before it.
        owner.say(ask(2, "a"));
        JsonTestPeers.Wire next = other.carrying("\"new\"", line);
        assertThat(line[0]).contains(ref(2));
        next.say(word("up", 2, ",\"d\":\"d\""));
        assertThat(owner.next("\"up\"")).contains(ref(2));
      }
    }
  }

  @Example
  void aVmHeldAlreadyIsReleasedWhenItsMachineSaysSo() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a", "4294967", "cores:1;memory:1;service:1;at:s-1", "any"));
      JsonTestPeers.Wire m = p.machine.next();
      m.say(word("down", 1, ",\"c\":41"));
      assertThat(owner.next("\"t\"")).contains("\"down\"").contains("\"c\":41");
    }
  }

  @Example
  void aVmIsReleasedWhenItsMachineIsListedAsGoneAndANewOneMayTakeItsAddress() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire tail = p.journal.next();
      assertThat(tail.next("tail")).isEqualTo("tail 3");
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a"));
      p.machine.carrying("\"new\"", line).say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next("\"up\"")).contains(ref(1));
      tail.say(
          event(
              4,
              false,
              member("s-1", p.machine.port(), "DELETED"),
              member("s-2", p.machine.port(), "SERVING")));
      assertThat(owner.next("\"t\"")).contains("\"down\"").contains(ref(1)).contains("\"c\":41");
      owner.say(ask(2, "a"));
      p.machine.carrying(ref(2), line).say(word("up", 2, ",\"d\":\"d2\""));
      assertThat(owner.next("\"up\"")).contains(ref(2));
    }
  }

  @Example
  void whatAnOwnerEndsIsCutAtItsMachineAndWhatItGivesUpIsGivenUp() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a"));
      JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
      m.say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next("\"up\"")).contains(ref(1));
      JsonTestPeers.Wire elsewhere = p.owner();
      elsewhere.say(word("down", 1, ",\"c\":16"));
      assertThat(elsewhere.next("ack")).contains(ref(1));
      assertThat(m.next("\"down\"")).contains(ref(1)).contains("\"c\":31");
      owner.say(ask(2, "a"));
      JsonTestPeers.Wire m2 = p.machine.carrying(ref(2), line);
      owner.say(word("down", 2, ",\"c\":16"));
      assertThat(m2.next("\"down\"")).contains(ref(2)).contains("\"c\":16");
    }
  }

  @Example
  void badOwnersHearSomethingAndAreClosed() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      for (String bad :
          new String[] {
            "{\"t\":\"new\"}",
            "x".repeat(17_000),
            "{\"t\":\"dance\",\"ref\":\"" + ref(1) + "\"}",
            "{\"t\":\"new\",\"ref\":\"" + ref(1) + "\",\"f\":{\"class\":[1]},\"d\":\"x\"}",
            "[1]",
            "{\"t\":\"new\",\"ref\":\"" + ref(1) + "\",\"t\":\"new\"}"
          }) {
        JsonTestPeers.Wire owner = p.owner();
        owner.say(bad);
        assertThat(owner.next("\"t\"")).as(bad.substring(0, 3)).isEqualTo(JsonTestPeers.END);
      }
      for (String bad :
          new String[] {
            ask(1, "nothing"),
            ask(1, "a", "-5", "cores:1;memory:1", "x"),
            ask(1, "a", "x", "cores:1;memory:1", "x"),
            ask(1, "a", "900", "cores:1e9;memory:1", "x"),
            ask(1, "a", "900", "cores:NaN;memory:1", "x"),
            ask(1, "a", "900", "", "x"),
            ask(1, "a").replace("acme", "nobody"),
            ask(1, "a").replace("\"d\"", "\"e\"")
          }) {
        JsonTestPeers.Wire owner = p.owner();
        owner.say(bad);
        assertThat(owner.next("\"t\"")).as(bad).contains("\"down\"").contains("\"c\":47");
        assertThat(owner.next("\"t\"")).isEqualTo(JsonTestPeers.END);
      }
      JsonTestPeers.Wire silent = p.owner();
      assertThat(silent.next("\"t\"")).isEqualTo(JsonTestPeers.END);
    }
  }

  /**
   * Guards an incident: one idle connection was closed over and over while a crowd used up all
   * descriptors.
   */
  @Example
  void aCrowdOfConnectionsIsHeldToItsShare() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a"));
      JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
      List<Socket> crowd = new ArrayList<>();
      for (int i = 0; i < 300; i++) {
        crowd.add(new Socket(InetAddress.getLoopbackAddress(), p.program.port()));
      }
      JsonTestPeers.Wire last = p.owner();
      last.say(word("hb", 0, ",\"c\":0"));
      assertThat(last.next("hb_ok")).isNotNull();
      assertThat(p.program.connectionCount()).isLessThanOrEqualTo(96);
      m.say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next("\"up\"")).contains(ref(1));
      for (Socket s : crowd) {
        s.close();
      }
    }
  }

  @Example
  void theJournalIsAskedAgainFromTheNumberHeld() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire tail = p.journal.next();
      assertThat(tail.next("tail")).isEqualTo("tail 3");
      String fourth = event(4, false, member("s-2", p.machine.port(), "SERVING"));
      tail.say(fourth);
      tail.say(fourth);
      tail.say(event(5, false, member("s-3", p.machine.port(), "SERVING")).substring(0, 40));
      tail.close();
      JsonTestPeers.Wire again = p.journal.next();
      assertThat(again.next("tail")).isEqualTo("tail 4");
      // Open and silent, without even its number: asked again.
      assertThat(p.journal.next().next("tail")).isEqualTo("tail 4");
    }
  }

  @Example
  void aNewConfigurationMovesTheJournalAndABadOneChangesNothing() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers();
        JsonTestPeers.Listener other = new JsonTestPeers.Listener(0)) {
      p.start();
      assertThat(p.journal.next().next("tail")).isEqualTo("tail 3");
      Files.writeString(p.file, "{\"name\":");
      p.program.reload();
      await().until(() -> p.log.toString(StandardCharsets.UTF_8).contains("not reloaded"));
      Files.writeString(
          p.file, p.configuration(other.port(), member("s-1", p.machine.port(), "SERVING")));
      p.program.reload();
      assertThat(other.next().next("tail")).isEqualTo("tail 3");
    }
  }

  @Example
  void toldToStopItStillTakesAndAnswersThenEnds() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(word("hb", 0, ",\"c\":0"));
      assertThat(owner.next("hb_ok")).isNotNull();
      p.program.stop();
      owner.say(ask(1, "a"));
      JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
      p.owner().say(ask(2, "a"));
      p.machine.carrying(ref(2), line).say(word("up", 2, ",\"d\":\"d2\""));
      assertThat(p.program.awaitStopped(Duration.ofMillis(900)))
          .as("the platform lets it go on")
          .isFalse();
      m.say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next("\"up\"")).contains(ref(1));
      assertThat(p.program.awaitStopped(Duration.ofSeconds(5))).isTrue();
    }
  }

  /** Many lives, each on an id of its own: nothing of those that are over is kept. */
  @Example
  void nothingIsKeptOfLivesThatAreOver() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      for (int i = 1; i <= 60; i++) {
        owner.say(
            ask(i, i % 2 == 0 ? "a" : "once", "4000", "cores:0.5;memory:0.5;service:1", "any"));
        JsonTestPeers.Wire m = p.machine.carrying(ref(i), line);
        if (i % 3 == 0) {
          owner.say(word("down", i, ",\"c\":16"));
          assertThat(m.next("\"down\"")).contains(ref(i));
        } else {
          m.say(word("up", i, ",\"d\":\"d\""));
          m.say(word("down", i, ",\"c\":16"));
          m.say(word("down", i, ",\"c\":16"));
          assertThat(owner.next("\"up\"")).contains(ref(i));
          assertThat(owner.next("\"down\"")).contains(ref(i));
        }
      }
      await().until(() -> p.program.retainedCount() == 0);
    }
  }

  @Example
  void aBadConfigurationIsRefusedWithAReason() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      for (String[] bad :
          new String[][] {
            {"\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"x\"", "seed"},
            {"\"sockets\":256", "\"sockets\":8", "sockets"},
            {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"", "address"},
            {"\"lanes\"", "\"lines\"", "priority classes"}
          }) {
        String good = p.configuration(1, member("s-1", 1, "SERVING"));
        assertThatThrownBy(() -> p.start(good.replace(bad[0], bad[1])))
            .hasMessageContaining(bad[2]);
      }
    }
  }
}
