package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.ask;
import static fordridge.server.json.JsonTestPeers.event;
import static fordridge.server.json.JsonTestPeers.member;
import static fordridge.server.json.JsonTestPeers.ref;
import static fordridge.server.json.JsonTestPeers.word;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Two things that meet at the wrong instant, on real sockets: the peers hold one of them back and
 * let it go once the other is under way, so that the crossing happens every time.
 */
class JsonServerRaceTest {
  private final String[] line = new String[1];

  /** A machine whose connections come up only when let, within a time that allows for that. */
  private static String slowToConnect(JsonTestPeers p, JsonTestPeers.Barrier barrier) {
    return p.configuration(p.journal.port(), member("s-1", barrier.port(), "SERVING"))
        .replace("\"connectTimeoutUs\":250000", "\"connectTimeoutUs\":3500000");
  }

  @Example
  void cancelAgainstConnect() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers();
        JsonTestPeers.Barrier barrier = new JsonTestPeers.Barrier()) {
      p.start(slowToConnect(p, barrier));
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a"));
      // Read, and the connection begun; a cancel in the same breath would leave nothing to connect
      // for.
      assertThat(owner.untilTested()).isEmpty();
      owner.say(word("down", 1, ",\"c\":16"));
      assertThat(owner.untilTested()).isEmpty();
      assertThat(barrier.lift().untilTested())
          .as("its owner had cancelled before a connection came up")
          .isEmpty();
    }
  }

  @Example
  void closeAgainstConnect() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers();
        JsonTestPeers.Barrier barrier = new JsonTestPeers.Barrier()) {
      p.start(slowToConnect(p, barrier));
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "once"));
      assertThat(owner.untilTested()).isEmpty();
      owner.close();
      await().until(() -> p.program.retainedCount() == 0);
      assertThat(barrier.lift().untilTested())
          .as("its owner had left before a connection came up")
          .isEmpty();
    }
  }

  @Example
  void drainAgainstConnect() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers();
        JsonTestPeers.Barrier barrier = new JsonTestPeers.Barrier()) {
      p.start(slowToConnect(p, barrier));
      JsonTestPeers.Wire tail = p.journal.next();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "once"));
      assertThat(owner.untilTested()).isEmpty();
      tail.say(
          event(
              4,
              false,
              member("s-1", barrier.port(), "DRAINING"),
              member("s-2", p.machine.port(), "SERVING")));
      p.machine.carrying("\"new\"", line).say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next(ref(1)))
          .as("it never ran where it drains, so it may go elsewhere")
          .contains("\"up\"");
      assertThat(barrier.lift().untilTested())
          .as("told that it drains before a connection came up")
          .isEmpty();
    }
  }

  /**
   * A drain told between the old journal's last word and the new one's first, with the new one slow
   * to come up.
   */
  @Example
  void journalLossAgainstReload() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers();
        JsonTestPeers.Listener other = new JsonTestPeers.Listener(0)) {
      p.start();
      JsonTestPeers.Wire tail = p.journal.next();
      assertThat(tail.next("tail")).isEqualTo("tail 3");
      int port = other.port();
      other.close();
      Files.writeString(p.file, p.configuration(port, member("s-1", p.machine.port(), "SERVING")));
      p.program.reload();
      assertThat(tail.next(JsonTestPeers.END)).isEqualTo(JsonTestPeers.END);
      try (JsonTestPeers.Listener late = new JsonTestPeers.Listener(port)) {
        JsonTestPeers.Wire there = late.next();
        assertThat(there.next("tail")).isEqualTo("tail 3");
        there.say(event(4, false, member("s-1", p.machine.port(), "DRAINING")));
        await().until(() -> p.program.machineListPosition() == 4);
        JsonTestPeers.Wire owner = p.owner();
        owner.say(ask(1, "a", "700", "cores:1;memory:1;service:1", "any"));
        assertThat(owner.next(ref(1)))
            .as("nothing is left to place on")
            .contains("\"down\"")
            .contains("\"c\":34");
      }
    }
  }

  @Example
  void aReloadThatNamesTheSameJournalLeavesItsConnectionAlone() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire tail = p.journal.next();
      assertThat(tail.next("tail")).isEqualTo("tail 3");
      p.program.reload();
      await()
          .until(() -> p.log.toString(StandardCharsets.UTF_8).contains("configuration reloaded"));
      tail.say(event(4, false, member("s-2", p.machine.port(), "SERVING")));
      await().until(() -> p.program.machineListPosition() == 4);
      assertThat(p.journal.wires).isEmpty();
    }
  }

  /** Guards limits that a reload read and passed over. */
  @Example
  void otherLimitsHoldFromTheReloadOn() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      Files.writeString(
          p.file,
          p.configuration(p.journal.port(), member("s-1", p.machine.port(), "SERVING"))
              .replace("\"sockets\":256", "\"sockets\":64"));
      p.program.reload();
      await()
          .until(() -> p.log.toString(StandardCharsets.UTF_8).contains("configuration reloaded"));
      List<Socket> crowd = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        crowd.add(new Socket(InetAddress.getLoopbackAddress(), p.program.port()));
      }
      JsonTestPeers.Wire owner = p.owner();
      assertThat(owner.untilTested()).isEmpty();
      assertThat(p.program.connectionCount())
          .as("three eighths of the descriptors")
          .isLessThanOrEqualTo(24);
      for (Socket s : crowd) {
        s.close();
      }
    }
  }

  /**
   * Guards drains that waited behind the rest of a long list, some of it in each round of a busy
   * loop.
   */
  @Example
  void aLongTaleOfTheJournalAgainstASend() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers();
        JsonTestPeers.Listener other = new JsonTestPeers.Listener(0)) {
      p.start();
      JsonTestPeers.Wire tail = p.journal.next();
      assertThat(tail.next("tail")).isEqualTo("tail 3");
      JsonTestPeers.Wire owner = p.owner();
      assertThat(owner.untilTested()).isEmpty();
      p.holdLoopAtLog("configuration reloaded");
      p.program.reload();
      p.held.await();
      String[] others = new String[300];
      for (int i = 0; i < others.length; i++) {
        others[i] = member("s-x" + i, other.port(), "DELETED");
      }
      tail.say(
          event(4, false, others)
              + "\n"
              + event(
                  5,
                  false,
                  member("s-1", p.machine.port(), "DRAINING"),
                  member("s-2", other.port(), "SERVING")));
      owner.say(ask(1, "a"));
      p.letGo.countDown();
      other.carrying(ref(1), line).say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next(ref(1))).contains("\"up\"");
      assertThat(find(p, ref(1))).as("told that it drains before the loop could send").isNull();
    }
  }

  /**
   * Guards a drain that is told within a round of the loop, behind whose other reads an offer
   * waits.
   */
  @Example
  void aDrainToldWithinARoundAgainstAnOfferOfThatRound() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers();
        JsonTestPeers.Listener other = new JsonTestPeers.Listener(0)) {
      p.start();
      JsonTestPeers.Wire tail = p.journal.next();
      assertThat(tail.next("tail")).isEqualTo("tail 3");
      JsonTestPeers.Wire owner = p.owner();
      JsonTestPeers.Wire bad = p.owner();
      assertThat(bad.untilTested()).isEmpty();
      owner.say(ask(1, "a"));
      JsonTestPeers.Wire open = p.machine.carrying(ref(1), line);
      open.say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next(ref(1))).contains("\"up\"");
      open.untilTested();
      p.holdLoopAtLog("configuration reloaded");
      p.program.reload();
      p.held.await();
      // Read in one round; one of the two takes the loop long, and the drain is told meanwhile.
      owner.say(ask(2, "a"));
      bad.say(ask(3, "no such flavour"));
      p.atLog(
          "invalid request",
          () -> {
            try {
              tail.say(
                  event(
                      4,
                      false,
                      member("s-1", p.machine.port(), "DRAINING"),
                      member("s-2", other.port(), "SERVING")));
              Thread.sleep(50);
            } catch (java.io.IOException | InterruptedException e) {
              throw new IllegalStateException(e);
            }
          });
      p.letGo.countDown();
      other.carrying(ref(2), line).say(word("up", 2, ",\"d\":\"d\""));
      assertThat(owner.next(ref(2))).contains("\"up\"");
      assertThat(find(p, ref(2))).as("told that it drains before the offer was written").isNull();
    }
  }

  /** What comes behind an event that can't be taken is not taken in its place. */
  @Example
  void aSkippedEventIsAskedForBeforeThoseBehindIt() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      String drains = event(4, false, member("s-1", p.machine.port(), "DRAINING"));
      String joins = event(5, false, member("s-2", p.machine.port(), "SERVING"));
      JsonTestPeers.Wire tail = p.journal.next();
      assertThat(tail.next("tail")).isEqualTo("tail 3");
      tail.say(joins + "\n" + joins);
      JsonTestPeers.Wire second = p.journal.next();
      assertThat(second.next("tail")).isEqualTo("tail 3");
      second.say(drains.replace("DRAINING", "DRAI") + "\n" + joins);
      JsonTestPeers.Wire third = p.journal.next();
      assertThat(third.next("tail")).isEqualTo("tail 3");
      third.say(drains + "\n" + joins);
      await().until(() -> p.program.machineListPosition() == 5);
      // Numbers that run back say nothing new; a whole list stands for all before it.
      third.say("2\n" + drains + "\n" + event(9, true, member("s-3", p.machine.port(), "SERVING")));
      await().until(() -> p.program.machineListPosition() == 9);
    }
  }

  @Example
  void timeOutAgainstAnswer() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "once", "1000", "cores:1;memory:1;service:1", "any"));
      JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
      // Held back until the placer has given it up; then the answer is on its way the other way
      // round.
      assertThat(m.next("\"down\"")).contains(ref(1)).contains("\"c\":16");
      m.say(word("up", 1, ",\"d\":\"late\""));
      assertThat(owner.next(ref(1))).contains("\"down\"").contains("\"c\":47");
      assertThat(owner.untilTested()).as("one answer").isEmpty();
    }
  }

  /** The machine has read the set-up, and its process is gone before it says a word. */
  @Example
  void killAfterAccept() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "once"));
      p.machine.carrying("\"new\"", line).reset();
      assertThat(owner.next(ref(1)))
          .as("it may have run")
          .contains("\"down\"")
          .contains("\"c\":47");
      assertThat(owner.untilTested()).isEmpty();
      List<JsonTestPeers.Wire> others;
      synchronized (p.machine.all) {
        others = List.copyOf(p.machine.all);
      }
      assertThat(others).allSatisfy(w -> assertThat(w.lines).noneMatch(l -> l.contains("\"new\"")));
    }
  }

  @Example
  void requestsAndAnswersInPiecesOfAByte() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      bytes(owner, ask(1, "a", "4000", "cores:1;memory:1;service:1", "d\\u00e9") + "\n");
      JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
      assertThat(line[0]).contains(ref(1));
      bytes(m, word("up", 1, ",\"d\":\"€\"") + "\n");
      assertThat(owner.next(ref(1))).contains("\"up\"").contains("€");
      bytes(m, word("down", 1, ",\"c\":16") + "\n");
      assertThat(owner.next(ref(1))).contains("\"down\"").contains("\"c\":16");
      // Half a request, and gone: nothing of it is taken.
      JsonTestPeers.Wire half = p.owner();
      bytes(half, ask(2, "a").substring(0, 60));
      half.close();
      assertThat(owner.untilTested()).isEmpty();
    }
  }

  private static void bytes(JsonTestPeers.Wire to, String text) throws Exception {
    to.socket.setTcpNoDelay(true);
    OutputStream out = to.socket.getOutputStream();
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      out.write(b);
      out.flush();
    }
  }

  /** Guards a release that was written into a connection which its owner was closing. */
  @Example
  void aReleaseThatACloseMeetsOnItsWayIsToldOnAnotherConnection() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a"));
      JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
      m.say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next(ref(1))).contains("\"up\"");
      JsonTestPeers.Wire other = p.owner();
      other.say(ask(2, "a"));
      p.machine.carrying(ref(2), line).say(word("up", 2, ",\"d\":\"d\""));
      assertThat(other.next(ref(2))).contains("\"up\"");
      m.say(word("down", 1, ",\"c\":16"));
      assertThat(owner.next(ref(1))).contains("\"down\"");
      // Written, and as far as the placer can know not heard.
      owner.close();
      assertThat(other.next(ref(1))).contains("\"down\"").contains("\"c\":16");
      other.say(word("ack", 1, ""));
      other.say(word("down", 2, ",\"c\":16"));
      await().until(() -> p.program.retainedCount() == 0);
    }
  }

  /**
   * Guards an owner that could not be seen to leave, as nothing was read from it while its answers
   * piled up.
   */
  @Example
  void anOwnerThatReadsNothingIsSeenToLeave() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire held = p.owner();
      held.say(ask(0, "a"));
      JsonTestPeers.Wire first = p.machine.carrying(ref(0), line);
      // No reader on this one.
      try (Socket s = new Socket()) {
        s.setReceiveBufferSize(4096);
        s.connect(
            new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), p.program.port()));
        OutputStream out = s.getOutputStream();
        String big = "x".repeat(15_000);
        out.write((ask(1, "once") + "\n").getBytes(StandardCharsets.UTF_8));
        JsonTestPeers.Wire m = p.machine.carrying(ref(1), line);
        boolean open = true;
        for (int i = 2; open && i < 900; i++) {
          out.write(
              (ask(i, "a", "4000", "cores:0.01;memory:0.01;service:1", "x") + "\n")
                  .getBytes(StandardCharsets.UTF_8));
          JsonTestPeers.Wire to = null;
          for (int n = 0; open && to == null; n++) {
            to = find(p, ref(i));
            Thread.onSpinWait();
            // Neither taken nor closed: it is read no more.
            open = p.program.connectionCount() == 2 && n < 2000;
          }
          if (to != null) {
            to.say(word("up", i, ",\"d\":\"" + big + "\""));
            to.say(word("down", i, ",\"c\":16"));
          }
        }
        assertThat(open).as("its answers fill what lies between").isFalse();
        s.close();
        assertThat(m.next("\"down\""))
            .as("given up with its owner")
            .contains(ref(1))
            .contains("\"c\":16");
      }
      first.say(word("up", 0, ",\"d\":\"d\""));
      assertThat(held.next(ref(0))).as("nothing taken from the others").contains("\"up\"");
    }
  }

  private static JsonTestPeers.Wire find(JsonTestPeers p, String ref) {
    List<JsonTestPeers.Wire> all;
    synchronized (p.machine.all) {
      all = List.copyOf(p.machine.all);
    }
    for (JsonTestPeers.Wire w : all) {
      for (String l : w.lines) {
        if (l.contains(ref) && l.contains("\"new\"")) {
          w.lines.remove(l);
          return w;
        }
      }
    }
    return null;
  }

  /** A second ask under an id in hand: one refusal for both, and what was out is given up. */
  @Example
  void anIdAskedForTwiceIsAnsweredOnceAndNeverServed() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a"));
      JsonTestPeers.Wire m = p.machine.carrying("\"new\"", line);
      owner.say(ask(1, "a", "4000", "cores:1;memory:1;service:2", "another"));
      assertThat(owner.next(ref(1))).contains("\"down\"").contains("\"c\":47");
      m.say(word("up", 1, ",\"d\":\"d\""));
      assertThat(m.next("\"down\"")).contains(ref(1)).contains("\"c\":16");
      assertThat(owner.next(ref(1))).as("no second answer").isEqualTo(JsonTestPeers.END);
    }
  }

  @Example
  void idleOwnersUpToTheLimitLeaveTheJournalItsConnection() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start();
      JsonTestPeers.Wire tail = p.journal.next();
      assertThat(tail.next("tail")).isEqualTo("tail 3");
      int port = p.journal.port();
      p.journal.server.close();
      List<Socket> idle = new ArrayList<>();
      for (int i = 0; i < 250; i++) {
        idle.add(new Socket(InetAddress.getLoopbackAddress(), p.program.port()));
      }
      tail.close();
      try (JsonTestPeers.Listener back = new JsonTestPeers.Listener(port)) {
        JsonTestPeers.Wire again = back.next();
        assertThat(again.next("tail")).isEqualTo("tail 3");
        again.say(event(4, false, member("s-2", p.machine.port(), "SERVING")));
        await().until(() -> p.program.machineListPosition() == 4);
      }
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a"));
      p.machine.carrying(ref(1), line).say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next(ref(1))).contains("\"up\"");
      for (Socket s : idle) {
        s.close();
      }
    }
  }

  /**
   * Guards an end that came before the last requests: with a short build timeout the placer left
   * too soon.
   */
  @Example
  void stopAgainstRequestWhereBuildTimeoutsAreShort() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start(
          p.configuration(p.journal.port(), member("s-1", p.machine.port(), "SERVING"))
              .replace("\"giveUpUs\":4000000", "\"giveUpUs\":500000"));
      JsonTestPeers.Wire owner = p.owner();
      p.program.stop();
      p.program.stop();
      assertThat(p.program.awaitStopped(Duration.ofMillis(550)))
          .as("requests come for 0.6 s")
          .isFalse();
      owner.say(ask(1, "a", "500", "cores:1;memory:1;service:1", "any"));
      p.machine.carrying(ref(1), line).say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next(ref(1))).contains("\"up\"");
      assertThat(p.program.awaitStopped(Duration.ofSeconds(5))).isTrue();
    }
  }

  /** A release that falls on the end: written before it, and heard or given some time to be. */
  @Example
  void exitAgainstRelease() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.start(
          p.configuration(p.journal.port(), member("s-1", p.machine.port(), "SERVING"))
              .replace("\"giveUpUs\":4000000", "\"giveUpUs\":500000"));
      JsonTestPeers.Wire owner = p.owner();
      owner.say(ask(1, "a", "500", "cores:1;memory:1;service:1", "any"));
      JsonTestPeers.Wire m = p.machine.carrying(ref(1), line);
      m.say(word("up", 1, ",\"d\":\"d\""));
      assertThat(owner.next(ref(1))).contains("\"up\"");
      owner.close();
      await().until(() -> p.program.connectionCount() == 0);
      p.program.stop();
      m.say(word("down", 1, ",\"c\":16"));
      assertThat(m.next("ack")).contains(ref(1));
      assertThat(p.program.awaitStopped(Duration.ofMillis(450))).isFalse();
      JsonTestPeers.Wire other = p.owner();
      other.say(ask(2, "a", "500", "cores:1;memory:1;service:1", "any"));
      assertThat(other.next(ref(1)))
          .as("waited for a connection that has asked")
          .contains("\"down\"")
          .contains("\"c\":16");
      other.say(word("ack", 1, ""));
      p.machine.carrying(ref(2), line).say(word("up", 2, ",\"d\":\"d\""));
      assertThat(other.next(ref(2))).contains("\"up\"");
      assertThat(p.program.awaitStopped(Duration.ofSeconds(5))).isTrue();
    }
  }

  @Example
  void toldToStopOrReloadBeforeItServesItEndsOrReloadsOnceItDoes() throws Exception {
    try (JsonTestPeers p = new JsonTestPeers();
        JsonTestPeers.Listener other = new JsonTestPeers.Listener(0)) {
      p.write(p.configuration(p.journal.port(), member("s-1", p.machine.port(), "SERVING")));
      Files.writeString(
          p.file, p.configuration(other.port(), member("s-1", p.machine.port(), "SERVING")));
      p.program.reload();
      p.program.start();
      assertThat(other.next().next("tail")).isEqualTo("tail 3");
    }
    try (JsonTestPeers p = new JsonTestPeers()) {
      p.write(p.configuration(p.journal.port(), member("s-1", p.machine.port(), "SERVING")));
      p.program.stop();
      assertThat(p.program.awaitStopped(Duration.ofSeconds(5))).isTrue();
    }
  }
}
