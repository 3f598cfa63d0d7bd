package fordridge.emulator.invariant;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Builds short recordings for the checker's tests. An event is written as {@code "time source kind
 * name=value ..."}; numbers and booleans become JSON numbers and booleans, and {@code ~} in a text
 * stands for a space.
 *
 * <p>The fleet: m1 and m2 in zone a and cell 0, m3 in zone b and cell 1. Priority classes: {@code
 * safe} is idempotent, {@code once} is not, {@code key} has an idempotency key with a deduplication
 * window of 2 s within a zone. Times are in microseconds; a request has 4 s and an offer 1 s until
 * its deadline.
 */
final class Recordings {
  private static final String[] HEADER = {
    "0 rig terms grace=500000 poll=100000 yes=running",
    "0 rig flavour name=safe effect=rebuildable group=all window=0 spread=off most=1",
    "0 rig flavour name=once effect=one-shot group=all window=0 spread=machine most=1",
    "0 rig flavour name=key effect=tokened group=zone window=2000000 spread=off most=1",
    "0 m1 machine kind=k zone=a cell=0",
    "0 m2 machine kind=k zone=a cell=0",
    "0 m3 machine kind=k zone=b cell=1"
  };

  private Recordings() {}

  /** Checks a recording of the header and these events. */
  static InvariantReport check(String... events) throws IOException {
    List<String> lines = new ArrayList<>(Arrays.asList(HEADER));
    lines.addAll(Arrays.asList(events));
    StringBuilder text = new StringBuilder();
    for (String line : lines) {
      text.append(json(line)).append('\n');
    }
    return InvariantChecker.check(file(text.toString()));
  }

  static File file(String text) throws IOException {
    File file = Files.createTempFile("recording", ".jsonl").toFile();
    file.deleteOnExit();
    Files.writeString(file.toPath(), text);
    return file;
  }

  private static String json(String event) {
    String[] words = event.split(" ");
    StringBuilder json = new StringBuilder("{\"t\":" + words[0]);
    json.append(",\"at\":").append(quoted(words[1]));
    json.append(",\"what\":").append(quoted(words[2]));
    for (String field : Arrays.asList(words).subList(3, words.length)) {
      int equals = field.indexOf('=');
      String value = field.substring(equals + 1);
      boolean isUnquoted = value.matches("-?[0-9.]+|true|false");
      json.append(",").append(quoted(field.substring(0, equals))).append(':');
      json.append(isUnquoted ? value : quoted(value.replace('~', ' ')));
    }
    return json.append('}').toString();
  }

  private static String quoted(String text) {
    return '"' + text + '"';
  }

  /** A client's request for a VM, with 4 s until its deadline. */
  static String request(long timeUs, String vm, String priorityClass) {
    return timeUs + " o want vm=" + vm + " flavour=" + priorityClass + " left=4000000";
  }

  /** An offer of a VM of service 1, with 1 s until its deadline. */
  static String offer(long timeUs, String machine, String vm, int number, String priorityClass) {
    return attemptEvent(timeUs, machine, "offer", vm, number)
        + " flavour="
        + priorityClass
        + " service=1 within=1000000";
  }

  /** A machine's response that is delivered. */
  static String machineResponse(
      long timeUs, String machine, String kind, String vm, int number, String fields) {
    return attemptEvent(timeUs, machine, kind, vm, number) + " lost=false " + fields;
  }

  static String cancel(long timeUs, String machine, String vm, int number) {
    return attemptEvent(timeUs, machine, "cancel", vm, number);
  }

  private static String attemptEvent(
      long timeUs, String machine, String kind, String vm, int number) {
    return timeUs + " " + machine + " " + kind + " placer=p vm=o/" + vm + " n=" + number;
  }

  /** A set of constraints, published for two schedulers. */
  static String constraints(long timeUs, String text) {
    return timeUs + " rig rules placers=2 text=" + text.replace(' ', '~');
  }

  static void assertKept(InvariantReport report) {
    assertThat(report.violations()).as(report.text()).isEmpty();
    assertThat(report.allInvariantsHold()).isTrue();
  }

  static void assertViolated(InvariantReport report, Invariant invariant, String description) {
    assertThat(report.violations())
        .as(report.text())
        .anyMatch(
            violation ->
                violation.invariant() == invariant
                    && violation.description().contains(description));
    assertThat(report.allInvariantsHold()).isFalse();
  }
}
