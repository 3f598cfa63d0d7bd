package fordridge.emulator.invariant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;

/** A sound tap is passed, and for each rule a corrupted one is flagged. */
class InvariantCheckerTest {
  private static final String[] TERMS = {
    "0 rig terms grace=500000 poll=100000 yes=running",
    "0 rig flavour name=safe effect=rebuildable group=all window=0 spread=off most=1",
    "0 rig flavour name=once effect=one-shot group=all window=0 spread=machine most=1",
    "0 rig flavour name=key effect=tokened group=zone window=2000000 spread=off most=1",
    "0 m1 machine kind=k zone=a cell=0",
    "0 m2 machine kind=k zone=a cell=0",
    "0 m3 machine kind=k zone=b cell=1"
  };

  /** Lines as "t at what name=value ..."; whole numbers and true, false as such. */
  private static Verdict judge(String... lines) throws IOException {
    File f = Files.createTempFile("tap", ".jsonl").toFile();
    f.deleteOnExit();
    List<String> all = new ArrayList<>(Arrays.asList(TERMS));
    all.addAll(Arrays.asList(lines));
    StringBuilder text = new StringBuilder();
    for (String l : all) {
      String[] w = l.split(" ");
      text.append("{\"t\":")
          .append(w[0])
          .append(",\"at\":\"")
          .append(w[1])
          .append("\",\"what\":\"")
          .append(w[2])
          .append('"');
      for (int i = 3; i < w.length; i++) {
        int eq = w[i].indexOf('=');
        String v = w[i].substring(eq + 1);
        text.append(",\"")
            .append(w[i], 0, eq)
            .append("\":")
            .append(v.matches("-?[0-9.]+|true|false") ? v : '"' + v.replace('~', ' ') + '"');
      }
      text.append("}\n");
    }
    Files.writeString(f.toPath(), text);
    return InvariantChecker.check(f);
  }

  private static String want(long t, String vm, String priorityClass) {
    return t + " o want vm=" + vm + " flavour=" + priorityClass + " left=4000000";
  }

  private static String offer(long t, String machine, String vm, int n, String priorityClass) {
    return t
        + " "
        + machine
        + " offer placer=p vm=o/"
        + vm
        + " n="
        + n
        + " flavour="
        + priorityClass
        + " service=1 within=1000000";
  }

  private static String said(long t, String machine, String what, String vm, int n, String more) {
    return t
        + " "
        + machine
        + " "
        + what
        + " placer=p vm=o/"
        + vm
        + " n="
        + n
        + " lost=false "
        + more;
  }

  private static void broken(Verdict v, int rule, String words) {
    assertThat(v.violations())
        .as(v.text())
        .anyMatch(b -> b.invariant().number() == rule && b.description().contains(words));
    assertThat(v.kept()).isFalse();
  }

  @Example
  void aSoundTapIsPassed() throws IOException {
    Verdict v =
        judge(
            want(1000, "v", "once"),
            offer(2000, "m1", "v", 0, "once"),
            said(9000, "m1", "refused", "v", 0, "why=NO_CORES"),
            offer(10000, "m2", "v", 1, "once"),
            said(90000, "m2", "started", "v", 1, "flavour=once"),
            "91000 o bound vm=v machine=m2",
            said(900000, "m2", "finished", "v", 1, "how=DONE ran=true"),
            "901000 o ended vm=v how=DONE");
    assertThat(v.violations()).as(v.text()).isEmpty();
  }

  @Example
  void rule1NoAnswerLateAnswerTwoAnswersAndAnEndTooMany() throws IOException {
    broken(judge(want(1000, "v", "safe")), 1, "has no answer");
    broken(judge(want(1000, "v", "safe"), "4200000 o denied vm=v"), 1, "too late");
    broken(
        judge(want(1000, "v", "safe"), "2000 o denied vm=v", "3000 o errored vm=v"),
        1,
        "errored after denied");
    broken(
        judge(want(1000, "v", "safe"), "2000 o denied vm=v", "3000 o ended vm=v"),
        1,
        "ended without bound");
    broken(judge("2000 o denied vm=v"), 1, "not asked for");
    broken(judge("2000 o repeated seq=4"), 1, "twice");
    assertThat(
            judge(
                    want(1000, "v", "safe"),
                    "3900000 o cut",
                    "4300000 o welcome",
                    "4310000 o denied vm=v")
                .kept())
        .as("it could not be told while it was away")
        .isTrue();
  }

  @Example
  void rule2OneShotsTokenedOnesAndTwoOut() throws IOException {
    broken(
        judge(
            want(1000, "v", "once"),
            offer(2000, "m1", "v", 0, "once"),
            "1500000 m1 cut placer=p",
            offer(1600000, "m2", "v", 1, "once"),
            "1700000 o errored vm=v"),
        2,
        "not known not to have run");
    broken(
        judge(
            want(1000, "v", "once"),
            offer(2000, "m1", "v", 0, "once"),
            said(3000, "m1", "started", "v", 0, "flavour=once"),
            "9000 o denied vm=v"),
        2,
        "denied though");
    broken(
        judge(
            want(1000, "v", "once"),
            offer(2000, "m1", "v", 0, "once"),
            said(3000, "m1", "started", "v", 0, "flavour=once"),
            offer(4000, "m2", "v", 1, "once"),
            said(5000, "m2", "started", "v", 1, "flavour=once"),
            "6000 o bound vm=v"),
        2,
        "was started 2 times");
    broken(
        judge(
            want(1000, "v", "safe"),
            offer(2000, "m1", "v", 0, "safe"),
            offer(3000, "m2", "v", 1, "safe"),
            "6000 o denied vm=v"),
        2,
        "while claim 0 is out");
    broken(
        judge(
            want(1000, "v", "safe"),
            offer(2000, "m1", "v", 0, "safe"),
            offer(900000, "m2", "v", 1, "safe"),
            "1600000 o denied vm=v"),
        2,
        "while claim 0 is out");
    assertThat(
            judge(
                    want(1000, "v", "safe"),
                    offer(2000, "m1", "v", 0, "safe"),
                    offer(900000, "m2", "v", 1, "safe"),
                    "901000 m1 cancel placer=p vm=o/v n=0",
                    "1600000 o denied vm=v")
                .kept())
        .isTrue();
    broken(
        judge(
            want(1000, "v", "key"),
            offer(2000, "m1", "v", 0, "key"),
            offer(1200000, "m3", "v", 1, "key"),
            "1300000 o errored vm=v"),
        2,
        "out of its group");
    broken(
        judge(
            want(1000, "v", "key"),
            offer(2000, "m1", "v", 0, "key"),
            offer(2300000, "m2", "v", 1, "key"),
            "2400000 o errored vm=v"),
        2,
        "past its window");
    assertThat(
            judge(
                    want(1000, "v", "key"),
                    offer(2000, "m1", "v", 0, "key"),
                    offer(1200000, "m2", "v", 1, "key"),
                    "1300000 o errored vm=v")
                .kept())
        .isTrue();
  }

  @Example
  void rule3AnOfferAfterTheGrace() throws IOException {
    broken(
        judge(
            "5000 registry listed machine=m1 state=draining",
            want(690000, "v", "safe"),
            offer(700000, "m1", "v", 0, "safe"),
            "800000 o denied vm=v"),
        3,
        "after it was listed");
    assertThat(
            judge(
                    "5000 registry listed machine=m1 state=draining",
                    want(1000, "v", "safe"),
                    offer(300000, "m1", "v", 0, "safe"),
                    "400000 o denied vm=v")
                .kept())
        .isTrue();
  }

  @Example
  void rule4MoreThanAColdMachineBears() throws IOException {
    String born = "1000 m1 born bears=2 multiple=2.0 over=1000000 from=0.1 warm=10000000 rate=5.0";
    broken(
        judge(
            born,
            want(1000, "a", "safe"),
            want(1000, "b", "safe"),
            want(1000, "c", "safe"),
            offer(2000, "m1", "a", 0, "safe"),
            offer(3000, "m1", "b", 0, "safe"),
            offer(4000, "m1", "c", 0, "safe"),
            "9000 o denied vm=a",
            "9000 o denied vm=b",
            "9000 o denied vm=c"),
        4,
        "it bears 2");
    broken(judge("1000 m1 fell"), 4, "pushed over");
  }

  @Example
  void rule5MoreOfAServiceThanItsMost() throws IOException {
    broken(
        judge(
            want(1000, "a", "once"),
            want(1000, "b", "once"),
            offer(2000, "m1", "a", 0, "once"),
            offer(3000, "m1", "b", 0, "once"),
            "9000 o errored vm=a",
            "9000 o errored vm=b"),
        5,
        "of service 1");
    assertThat(
            judge(
                    want(1000, "a", "once"),
                    want(1000, "b", "once"),
                    offer(2000, "m1", "a", 0, "once"),
                    said(2500, "m1", "refused", "a", 0, "why=NO_CORES"),
                    offer(3000, "m1", "b", 0, "once"),
                    "9000 o errored vm=a",
                    "9000 o errored vm=b")
                .kept())
        .isTrue();
  }

  @Example
  void aTapThatIsNoJsonIsRefusedWithItsLine() throws IOException {
    File f = Files.createTempFile("tap", ".jsonl").toFile();
    f.deleteOnExit();
    Files.writeString(f.toPath(), "{\"t\":1,\"at\":\"x\",\"what\":\"y\"}\n{\"t\":\n");
    assertThatThrownBy(() -> InvariantChecker.check(f)).hasMessageContaining("line 2");
  }

  @Example
  void whatCameLateWhileTheRigStoodStillIsNotHeldAgainstAPlacer() throws Exception {
    assertThat(
            judge(
                    want(1000, "v", "safe"),
                    "4100000 rig stalled for=120000",
                    "4130000 o denied vm=v")
                .violations())
        .isEmpty();
    broken(
        judge(want(1000, "v", "safe"), "4100000 rig stalled for=60000", "4130000 o denied vm=v"),
        1,
        "too late");
    broken(
        judge(want(1000, "v", "safe"), "3000000 rig stalled for=900000", "4130000 o denied vm=v"),
        1,
        "too late");
  }

  private static String rules(long t, String text) {
    return t + " rig rules placers=2 text=" + text.replace(' ', '~');
  }

  private static long sixth(Verdict v) {
    return v.violations().stream().filter(b -> b.invariant().number() == 6).count();
  }

  @Example
  void whatTenantsForbidIsSeenAtTheOffer() throws Exception {
    String[] two = {
      want(1000, "a", "safe"),
      want(1000, "b", "safe"),
      offer(2000, "m1", "a", 0, "safe"),
      said(3000, "m1", "started", "a", 0, ""),
      offer(4000, "m2", "b", 0, "safe")
    };
    java.util.function.Function<String, String[]> under =
        text -> {
          List<String> all = new ArrayList<>(List.of(rules(0, text)));
          all.addAll(Arrays.asList(two));
          return all.toArray(new String[0]);
        };
    assertThat(sixth(judge(under.apply("rule r: all require apart all per zone;")))).isEqualTo(1);
    assertThat(sixth(judge(under.apply("rule r: all require apart all per machine;")))).isZero();
    assertThat(sixth(judge(under.apply("rule r: flavour safe require spread at most 1 per cell;"))))
        .isEqualTo(1);
    assertThat(sixth(judge(under.apply("rule r: all require spread at most 4 per zone overall;"))))
        .isZero();
    assertThat(sixth(judge(under.apply("rule r: all require spread at most 2 per zone overall;"))))
        .as("its share is one")
        .isEqualTo(1);
    assertThat(sixth(judge(under.apply("rule r: all require near flavour safe per machine;"))))
        .isEqualTo(1);
    assertThat(sixth(judge(under.apply("rule r: all require on machine m1;")))).isEqualTo(1);
    assertThat(sixth(judge(under.apply("rule r: all prefer 3 on machine m1;")))).isZero();
  }

  @Example
  void whatEndedOrIsJustReplacedIsNotHeldAgainstAPlacer() throws Exception {
    assertThat(
            sixth(
                judge(
                    rules(0, "rule r: all require apart all per zone;"),
                    want(1000, "a", "safe"),
                    want(1000, "b", "safe"),
                    offer(2000, "m1", "a", 0, "safe"),
                    said(3000, "m1", "started", "a", 0, ""),
                    said(3500, "m1", "finished", "a", 0, "how=DONE"),
                    offer(4000, "m2", "b", 0, "safe"))))
        .isZero();
    assertThat(
            sixth(
                judge(
                    rules(0, "rule r: all require on machine m1;"),
                    rules(3000, "rule r: all require on machine m2;"),
                    want(1000, "a", "safe"),
                    offer(3500, "m1", "a", 0, "safe"))))
        .as("the set before")
        .isZero();
    assertThat(
            sixth(
                judge(
                    rules(0, "rule r: all require on machine m1;"),
                    rules(3000, "rule r: all require on machine m2;"),
                    want(1000, "a", "safe"),
                    offer(3_000_000, "m1", "a", 0, "safe"))))
        .isEqualTo(1);
  }
}
