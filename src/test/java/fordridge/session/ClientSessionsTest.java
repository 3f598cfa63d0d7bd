package fordridge.session;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.runtime.EventLoopLag;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ClientSessionsTest {
  private static final Duration T = Duration.ZERO;

  private static ClientSessions sessions() {
    return new ClientSessions(new ClientSessions.Bounds(50, 20, 8, 30, Duration.ofSeconds(60)), 1);
  }

  private static List<ClientResponse> drain(ClientSession s) {
    List<ClientResponse> some = new ArrayList<>();
    for (ClientSession.NumberedResponse t = s.next(); t != null; t = s.next()) {
      some.add(t.answer());
    }
    return some;
  }

  @Example
  void whatWasNotSeenIsSaidAgainAndNothingElse() {
    ClientSessions all = sessions();
    ClientSession s = all.hello("a", "", 0, T);
    all.want(s, "1", T);
    all.want(s, "2", T);
    all.say("a", ClientResponse.bound("1", "m", 0, T), T);
    all.say("a", ClientResponse.denied("2", T, ""), T);
    assertThat(drain(s).size()).isEqualTo(2);
    all.away(s, T);
    ClientSession again = all.hello("a", s.token, 1, T);
    assertThat(again).isSameAs(s);
    assertThat(drain(again)).extracting(ClientResponse::vm).containsExactly("2");
    assertThat(drain(again)).isEmpty();
  }

  @Example
  void aSecondFinalAnswerIsNotSaid() {
    ClientSessions all = sessions();
    ClientSession s = all.hello("a", "", 0, T);
    all.want(s, "1", T);
    assertThat(all.say("a", ClientResponse.denied("1", T, ""), T)).isTrue();
    assertThat(all.say("a", ClientResponse.errored("1", ""), T)).isFalse();
    assertThat(all.say("a", ClientResponse.bound("1", "m", 0, T), T)).isFalse();
    assertThat(drain(s).size()).isEqualTo(1);
  }

  @Example
  void aNewProcessUnderTheNameHearsOnlyOfWhatItAsksFor() {
    ClientSessions all = sessions();
    ClientSession s = all.hello("a", "", 0, T);
    all.want(s, "1", T);
    all.want(s, "2", T);
    ClientSession fresh = all.hello("a", "", 0, T);
    all.say("a", ClientResponse.bound("1", "m", 0, T), T);
    all.say("a", ClientResponse.bound("2", "m", 0, T), T);
    assertThat(drain(fresh)).isEmpty();
    assertThat(all.want(fresh, "2", T)).isEqualTo(ClientSessions.Admission.KNOWN);
    assertThat(drain(fresh)).extracting(ClientResponse::vm).containsExactly("2");
  }

  @Example
  void boundsHold() {
    ClientSessions all = sessions();
    ClientSession s = all.hello("a", "", 0, T);
    for (int i = 0; i < 19; i++) {
      all.want(s, "v" + i, T);
      assertThat(all.mayRead(s)).isTrue();
    }
    all.want(s, "v19", T);
    assertThat(all.want(s, "v20", T))
        .as("VMs of one client in hand")
        .isEqualTo(ClientSessions.Admission.OVER);
    for (int i = 0; i < 20; i++) {
      all.say("a", ClientResponse.denied("v" + i, T, ""), T);
    }
    assertThat(all.mayRead(s)).as("answers not read").isFalse();
    drain(s);
    assertThat(all.mayRead(s)).isTrue();
    ClientSession b = all.hello("b", "", 0, T);
    int taken = 0;
    for (int i = 0; i < 70; i++) {
      taken += all.want(b, "w" + i, T) == ClientSessions.Admission.NEW ? 1 : 0;
    }
    assertThat(taken).as("VMs in hand of one client").isEqualTo(20);
    for (int i = 0; i < 20; i++) {
      all.say("b", ClientResponse.denied("w" + i, T, ""), T);
    }
    assertThat(all.kept()).as("answers kept").isLessThanOrEqualTo(30);
  }

  @Example
  void latenessIsAllowedForAWhileAndForgotten() {
    EventLoopLag l = new EventLoopLag(Duration.ofSeconds(2));
    l.seen(Duration.ofMillis(400), Duration.ofMillis(100));
    l.seen(Duration.ofMillis(5), Duration.ofMillis(2200));
    assertThat(l.allowance(Duration.ofMillis(2300))).isEqualTo(Duration.ofMillis(400));
    l.seen(Duration.ofMillis(7), Duration.ofMillis(4300));
    assertThat(l.allowance(Duration.ofMillis(4400))).isEqualTo(Duration.ofMillis(7));
    assertThat(l.allowance(Duration.ofSeconds(60))).isEqualTo(Duration.ZERO);
  }

  @Example
  void aNumberThatWasNeverSaidIsRefused() {
    ClientSessions all = sessions();
    ClientSession s = all.hello("a", "", 0, T);
    assertThat(all.acknowledge(s, 3)).isFalse();
    assertThat(all.hello("a", s.token, 5, T)).as("a resume past what was said").isNotSameAs(s);
  }

  /**
   * One that never acknowledges costs no more than the bound; a resume past it is told, and names
   * still help.
   */
  @Example
  void whatWasLetGoIsNotResumedButKnownByName() {
    ClientSessions all = sessions();
    ClientSession s = all.hello("a", "", 0, T);
    for (int i = 0; i < 60; i++) {
      all.want(s, "v" + i, T);
      all.say("a", ClientResponse.denied("v" + i, T, ""), T);
    }
    assertThat(all.hello("a", s.token, 59, T)).isSameAs(s);
    ClientSession fresh = all.hello("a", s.token, 2, T);
    assertThat(fresh).isNotSameAs(s);
    assertThat(all.want(fresh, "v59", T)).isEqualTo(ClientSessions.Admission.KNOWN);
    assertThat(drain(fresh)).extracting(ClientResponse::vm).containsExactly("v59");
  }

  @Example
  void anAbsentClientIsForgottenInTime() {
    ClientSessions all = sessions();
    ClientSession s = all.hello("a", "", 0, T);
    all.away(s, T);
    assertThat(all.expire(Duration.ofSeconds(59))).isEmpty();
    assertThat(all.expire(Duration.ofSeconds(61))).containsExactly("a");
    assertThat(all.clients()).isEqualTo(0);
  }

  /** Streams that break at any message: each answer is taken in exactly once, in order. */
  @Property(tries = 300, seed = "99")
  void eachAnswerExactlyOnceOverBreaks(@ForAll long seed) {
    ClientSessions all = sessions();
    Random r = new Random(seed);
    ClientSession s = all.hello("a", "", 0, T);
    String token = s.token;
    long seen = 0;
    Map<String, Integer> heard = new HashMap<>();
    List<String> open = new ArrayList<>();
    int made = 0;
    for (int i = 0; i < 300; i++) {
      switch (r.nextInt(6)) {
        case 0, 1 -> {
          if (open.size() < 15) {
            open.add("v" + made);
            all.want(s, "v" + made++, T);
          }
        }
        case 2 -> {
          if (!open.isEmpty()) {
            all.say("a", ClientResponse.denied(open.remove(r.nextInt(open.size())), T, ""), T);
          }
        }
        case 3 -> all.acknowledge(s, seen);
        case 4 -> {
          all.away(s, T);
          s = all.hello("a", token, seen, T);
          assertThat(s.token).isEqualTo(token);
        }
        default -> {
          ClientSession.NumberedResponse t = s.next();
          // What is written may be lost with the stream before the client takes it in.
          if (t != null && r.nextInt(3) == 0) {
            s = all.hello("a", token, seen, T);
          } else if (t != null) {
            assertThat(t.seq()).isEqualTo(seen + 1);
            seen = t.seq();
            heard.merge(t.answer().vm(), 1, Integer::sum);
          }
        }
      }
    }
    s = all.hello("a", token, seen, T);
    for (ClientSession.NumberedResponse t = s.next(); t != null; t = s.next()) {
      heard.merge(t.answer().vm(), 1, Integer::sum);
    }
    assertThat(heard.size()).isEqualTo(made - open.size());
    assertThat(heard.values()).allMatch(n -> n == 1);
  }
}
