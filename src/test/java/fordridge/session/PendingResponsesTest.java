package fordridge.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class PendingResponsesTest {
  private static final Duration T = Duration.ofSeconds(10);
  private final PendingResponses<String> pendingResponses =
      new PendingResponses<>(3, Duration.ofSeconds(8));

  @Example
  void anAskGetsOneAnswerAndWhatStandsOneRelease() {
    assertThat(pendingResponses.ask("a", "line")).isEqualTo(PendingResponses.Admission.NEW);
    assertThat(pendingResponses.ask("a", "other")).isEqualTo(PendingResponses.Admission.TWICE);
    assertThat(pendingResponses.release("a", 16, T)).isNull();
    assertThat(pendingResponses.answer("a", true)).isEqualTo("line");
    assertThat(pendingResponses.answer("a", false)).isNull();
    assertThat(pendingResponses.release("a", 16, T)).isEqualTo("line");
    assertThat(pendingResponses.release("a", 16, T)).isNull();
    assertThat(pendingResponses.standing()).isZero();
  }

  @Example
  void asksBeyondTheBoundAreNotTaken() {
    for (String vm : List.of("a", "b", "c")) {
      assertThat(pendingResponses.ask(vm, "line")).isEqualTo(PendingResponses.Admission.NEW);
    }
    assertThat(pendingResponses.ask("d", "line")).isEqualTo(PendingResponses.Admission.OVER);
    pendingResponses.answer("a", false);
    assertThat(pendingResponses.ask("d", "line")).isEqualTo(PendingResponses.Admission.NEW);
  }

  @Example
  void aLineThatClosesGivesUpItsAsksAndWhatStandsIsToldOnAnother() {
    pendingResponses.ask("waits", "line");
    pendingResponses.ask("stands", "line");
    pendingResponses.answer("stands", true);
    pendingResponses.ask("other", "second");
    assertThat(pendingResponses.closed("line")).containsExactly("waits");
    assertThat(pendingResponses.answer("waits", true)).isNull();
    assertThat(pendingResponses.release("stands", 16, T)).isEqualTo("second");
  }

  @Example
  void aReleaseWithoutAnyLineWaitsForOneAWhile() {
    pendingResponses.stands("one", "line");
    pendingResponses.stands("two", "line");
    pendingResponses.closed("line");
    assertThat(pendingResponses.release("one", 41, T)).isNull();
    assertThat(pendingResponses.release("two", 16, T.plusSeconds(5))).isNull();
    assertThat(pendingResponses.unpark(T.plusSeconds(9))).as("no line is there").isEmpty();
    pendingResponses.ask("new", "another");
    assertThat(pendingResponses.unpark(T.plusSeconds(9)))
        .extracting(t -> t.line() + " " + t.release().vm())
        .containsExactly("another two");
    assertThat(pendingResponses.unpark(T.plusSeconds(9))).isEmpty();
  }

  /** Guards releases that went to whoever had asked last, which may be one that never listens. */
  @Example
  void aReleaseWhoseLineIsGoneGoesToOneThatIsKnownToHear() {
    pendingResponses.ask("one", "line");
    pendingResponses.answer("one", true);
    pendingResponses.ask("two", "hears");
    pendingResponses.answer("two", true);
    assertThat(pendingResponses.release("two", 16, T)).isEqualTo("hears");
    pendingResponses.heard("two", "hears");
    pendingResponses.ask("three", "asks and never listens");
    pendingResponses.closed("line");
    assertThat(pendingResponses.release("one", 16, T)).isEqualTo("hears");
    pendingResponses.closed("hears");
    assertThat(pendingResponses.unpark(T))
        .extracting(t -> t.line() + " " + t.release().vm())
        .containsExactly("asks and never listens one");
  }

  @Example
  void whatItsOwnerEndedIsOwedNothing() {
    pendingResponses.ask("a", "line");
    pendingResponses.answer("a", true);
    assertThat(pendingResponses.ends("a")).isTrue();
    assertThat(pendingResponses.ends("a")).isFalse();
    assertThat(pendingResponses.release("a", 31, T)).isNull();
    assertThat(pendingResponses.unpark(T)).isEmpty();
  }

  /**
   * Random lives: one answer each while the line is there, counts that fit, and nothing remembered
   * at the end.
   */
  @Property(tries = 200, seed = "1212")
  void nothingIsSaidTwiceOrKept(@ForAll long seed) {
    Random r = new Random(seed);
    PendingResponses<Integer> o = new PendingResponses<>(20, Duration.ofSeconds(8));
    Map<String, Integer> asked = new HashMap<>();
    Set<String> answered = new HashSet<>();
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      int line = r.nextInt(5);
      String vm =
          names.isEmpty() || r.nextInt(3) == 0 ? "vm" + i : names.get(r.nextInt(names.size()));
      switch (r.nextInt(5)) {
        case 0 -> {
          if (o.ask(vm, line) == PendingResponses.Admission.NEW) {
            names.add(vm);
            asked.put(vm, line);
            answered.remove(vm);
          }
        }
        case 1 -> {
          Integer to = o.answer(vm, r.nextBoolean());
          if (to != null) {
            assertThat(to).isEqualTo(asked.get(vm));
            assertThat(answered.add(vm)).isTrue();
          }
        }
        case 2 -> o.release(vm, 16, T);
        case 3 -> o.ends(vm);
        default -> o.closed(line).forEach(gone -> assertThat(answered).doesNotContain(gone));
      }
      assertThat(o.inHand()).isBetween(0, 20);
    }
    for (String vm : names) {
      o.ends(vm);
    }
    o.tidy(T.plusSeconds(9));
    assertThat(o.inHand() + o.standing()).isZero();
    assertThat(o.unpark(T)).isEmpty();
    for (int line = 0; line < 5; line++) {
      assertThat(o.on(line)).isZero();
    }
  }

  /**
   * Lines come, close and sometimes say that they heard: no release is forgotten, and none told
   * once it was heard.
   */
  @Property(tries = 200, seed = "1414")
  void everyReleaseIsToldUntilItIsHeard(@ForAll long seed) {
    Random r = new Random(seed);
    PendingResponses<Integer> o = new PendingResponses<>(500, Duration.ofSeconds(8));
    Map<String, Integer> standing = new HashMap<>();
    Map<String, Integer> due = new HashMap<>();
    Set<Integer> open = new HashSet<>();
    for (int i = 0; i < 300; i++) {
      int line = r.nextInt(5);
      switch (r.nextInt(5)) {
        case 0, 1 -> {
          o.ask("vm" + i, line);
          open.add(line);
          o.answer("vm" + i, true);
          standing.put("vm" + i, line);
        }
        case 2 ->
            standing.keySet().stream()
                .findAny()
                .ifPresent(
                    vm -> {
                      standing.remove(vm);
                      due.put(vm, o.release(vm, 16, T));
                    });
        case 3 ->
            due.keySet().stream()
                .filter(vm -> due.get(vm) != null)
                .findAny()
                .ifPresent(vm -> o.heard(vm, due.remove(vm)));
        default -> {
          o.closed(line);
          open.remove(line);
          due.replaceAll((vm, on) -> on != null && on == line ? null : on);
        }
      }
      for (PendingResponses.AddressedNotice<Integer> t : o.unpark(T)) {
        assertThat(open).contains(t.line());
        assertThat(due).as("waits to be told").containsEntry(t.release().vm(), null);
        due.put(t.release().vm(), t.line());
      }
      if (!open.isEmpty()) {
        assertThat(due.values()).as("told wherever a line is there").doesNotContainNull();
      }
      assertThat(o.untold()).isEqualTo(due.size());
    }
    o.tidy(T.plusSeconds(8));
    assertThat(o.untold()).isZero();
  }
}
