package fordridge.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.PriorityClassSettings;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges the five rules, and as a sixth the customers' own where the tap says them, from a tap
 * alone. What a machine did counts even where its answer was lost; what a placer was told counts
 * from when the list naming it was published, plus the told time that a placer may take to see it.
 */
public final class InvariantChecker {
  /** A rule that was broken, and the line of the tap where. */
  public record Violation(int rule, long line, String what) {}

  /** All that was judged. */
  public record Verdict(List<Violation> breaks, Map<String, Long> figures) {
    public boolean kept() {
      return breaks.isEmpty();
    }

    public String text() {
      StringBuilder t = new StringBuilder();
      String[] names = {
        "",
        "one answer in time",
        "no double effect",
        "drains kept",
        "no cold machine pushed over",
        "spread kept",
        "customers' rules kept"
      };
      boolean judged = figures.containsKey("offers judged by customers' rules");
      for (int r = 1; r <= (judged ? 6 : 5); r++) {
        int rule = r;
        long n = breaks.stream().filter(b -> b.rule == rule).count();
        t.append(
            String.format(
                "rule %d, %s: %s%n", r, names[r], n == 0 ? "kept" : "BROKEN " + n + " times"));
        breaks.stream()
            .filter(b -> b.rule == rule)
            .limit(5)
            .forEach(
                b -> t.append("    line ").append(b.line).append(": ").append(b.what).append('\n'));
      }
      figures.forEach((k, v) -> t.append(String.format("  %-52s %d%n", k, v)));
      return t.toString();
    }
  }

  private record ClassSettings(
      String effect, String group, long windowUs, String spread, long most) {}

  private static final class ObservedRequest {
    final String priorityClass;
    final long at;
    final long until;
    String answer;
    long answerAt;
    boolean last;
    boolean unwanted;

    ObservedRequest(String priorityClass, long at, long until) {
      this.priorityClass = priorityClass;
      this.at = at;
      this.until = until;
    }
  }

  private static final class ObservedAttempt {
    final String placer;
    final String machine;
    final String priorityClass;
    final long service;
    final long at;
    final long number;
    final long withinUs;
    boolean answered;
    ConstraintChecker.Placed placed;
    boolean refused;
    boolean hasNeverRun;
    boolean started;
    long startedAt;
    boolean over;
    long brokeAt = -1;
    long cancelledAt = -1;
    long endedAt = -1;

    ObservedAttempt(
        String placer,
        String machine,
        String priorityClass,
        long service,
        long at,
        long number,
        long withinUs) {
      this.placer = placer;
      this.machine = machine;
      this.priorityClass = priorityClass;
      this.service = service;
      this.at = at;
      this.number = number;
      this.withinUs = withinUs;
    }
  }

  private static final class ObservedMachine {
    String kind = "";
    String zone = "";
    long cell;

    /** Since when every placer must have been told not to use it; -1 if it may be used. */
    long closedAt = -1;

    long bornAt = -1;
    double bears;
    double multiple;
    long over;
    double from;
    long warm;
    double rate;
    final Deque<Long> offers = new ArrayDeque<>();
  }

  /** Sockets of different ends are not in step: this much is no break. */
  private static final long SLACK_US = 30_000;

  private final Map<String, ClassSettings> priorityClasses = new HashMap<>();
  private final Map<String, ObservedRequest> asks = new LinkedHashMap<>();
  private final Map<String, List<ObservedAttempt>> tries = new HashMap<>();
  private final Map<String, ObservedMachine> places = new LinkedHashMap<>();
  private final Map<String, Long> awaySince = new HashMap<>();
  private final Map<String, Map<String, Integer>> held = new HashMap<>();
  private final Deque<long[]> stalls = new ArrayDeque<>();
  private final ConstraintChecker tenants = new ConstraintChecker();
  private final List<Violation> breaks = new ArrayList<>();
  private final Map<String, Long> figures = new LinkedHashMap<>();
  private long graceUs;
  private long pollUs;
  private boolean yesAtAcceptance;
  private long line;

  private InvariantChecker() {}

  /** What the checker needs to know of the terms; the first lines of a tap. */
  static void header(WireRecorder tap, ScenarioPlan plan) {
    DeploymentSettings d = plan.deployment;
    tap.line(
        "rig",
        "terms",
        "grace",
        d.cluster().drainGracePeriod().toNanos() / 1000,
        "poll",
        d.machineList().pollInterval().toNanos() / 1000,
        "yes",
        d.cluster().acceptancePoint().configWord());
    for (PriorityClassSettings f : d.priorityClasses().values()) {
      tap.line(
          "rig",
          "flavour",
          "name",
          f.name(),
          "effect",
          f.retrySafety().configWord(),
          "group",
          f.deduplicationScope().configWord(),
          "window",
          f.deduplicationWindow().toNanos() / 1000,
          "spread",
          f.spreadScope().configWord(),
          "most",
          f.maxPerSpreadScope());
    }
  }

  /** Reads a tap and judges it. */
  public static Verdict judge(File tap) throws IOException {
    InvariantChecker c = new InvariantChecker();
    JsonFactory factory = new JsonFactory();
    try (BufferedReader in = Files.newBufferedReader(tap.toPath())) {
      for (String text = in.readLine(); text != null; text = in.readLine()) {
        c.line++;
        if (!text.isBlank()) {
          c.take(read(factory, text, c.line));
        }
      }
    }
    c.closing();
    return new Verdict(c.breaks, c.figures);
  }

  private static Map<String, Object> read(JsonFactory factory, String text, long line)
      throws IOException {
    Map<String, Object> m = new HashMap<>();
    try (JsonParser p = factory.createParser(text)) {
      p.nextToken();
      while (p.nextToken() == JsonToken.FIELD_NAME) {
        String name = p.currentName();
        JsonToken v = p.nextToken();
        m.put(
            name,
            v == JsonToken.VALUE_NUMBER_INT
                ? (Object) p.getLongValue()
                : v == JsonToken.VALUE_NUMBER_FLOAT
                    ? (Object) p.getDoubleValue()
                    : v == JsonToken.VALUE_TRUE || v == JsonToken.VALUE_FALSE
                        ? (Object) p.getBooleanValue()
                        : p.getText());
      }
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      throw new IOException("line " + line + " of the tap is not JSON: " + e.getOriginalMessage());
    }
    return m;
  }

  private static long num(Map<String, Object> m, String key) {
    return m.get(key) instanceof Number n ? n.longValue() : 0;
  }

  private static double real(Map<String, Object> m, String key) {
    return m.get(key) instanceof Number n ? n.doubleValue() : 0;
  }

  private static String str(Map<String, Object> m, String key) {
    Object v = m.get(key);
    return v == null ? "" : v.toString();
  }

  /**
   * How long the rig itself stood still at worst within the last second: nobody on this machine was
   * in time then.
   */
  private long stood(long t) {
    stalls.removeIf(s -> s[0] < t - 1_000_000);
    return stalls.stream().mapToLong(s -> s[1]).max().orElse(0);
  }

  private void broke(int rule, String what) {
    breaks.add(new Violation(rule, line, what));
  }

  private void count(String what) {
    figures.merge(what, 1L, Long::sum);
  }

  private void most(String what, long value) {
    figures.merge(what, value, Math::max);
  }

  private void take(Map<String, Object> m) {
    long t = num(m, "t");
    String at = str(m, "at");
    switch (str(m, "what")) {
      case "terms" -> {
        graceUs = num(m, "grace");
        pollUs = num(m, "poll");
        yesAtAcceptance = str(m, "yes").equals("accepted");
      }
      case "flavour" ->
          priorityClasses.put(
              str(m, "name"),
              new ClassSettings(
                  str(m, "effect"),
                  str(m, "group"),
                  num(m, "window"),
                  str(m, "spread"),
                  num(m, "most")));
      case "stalled" -> {
        stalls.addLast(new long[] {t, num(m, "for")});
        most("longest that the rig itself stood still, us", num(m, "for"));
      }
      case "rules" -> tenants.set(str(m, "text"), (int) num(m, "placers"), t);
      case "machine" -> {
        ObservedMachine p = place(at);
        p.kind = str(m, "kind");
        p.zone = str(m, "zone");
        p.cell = num(m, "cell");
      }
      case "listed" ->
          place(str(m, "machine")).closedAt =
              str(m, "state").equals("live")
                  ? -1
                  : place(str(m, "machine")).closedAt >= 0 ? place(str(m, "machine")).closedAt : t;
      case "told-all" -> told.put(str(m, "placer"), new HashMap<>());
      case "told" -> {
        Map<String, Long> its = told.computeIfAbsent(str(m, "placer"), k -> new HashMap<>());
        String key = str(m, "of") + " " + str(m, "machine");
        if (m.get("closed") == Boolean.TRUE) {
          its.putIfAbsent(key, t);
        } else {
          its.remove(key);
        }
      }
      case "born" -> born(place(at), m, t);
      case "fell" -> broke(4, at + " was pushed over while cold");
      case "offer" -> offer(m, at, t);
      case "cancel" ->
          at(m, at).forEach(x -> x.cancelledAt = x.cancelledAt < 0 ? t : x.cancelledAt);
      case "accepted" -> at(m, at).forEach(x -> x.answered |= yesAtAcceptance && !lost(m));
      case "refused" ->
          at(m, at)
              .forEach(
                  x -> {
                    x.refused = true;
                    x.hasNeverRun = true;
                    x.answered |= !lost(m);
                    release(x, t);
                    if (x.started) {
                      broke(
                          2,
                          "claim "
                              + x.number
                              + " of "
                              + str(m, "vm")
                              + " refused after it was started");
                    }
                  });
      case "started" -> started(m, at, t);
      case "finished" ->
          at(m, at)
              .forEach(
                  x -> {
                    x.hasNeverRun |=
                        m.get("ran") == Boolean.FALSE && str(m, "how").equals("CANCELLED");
                    if (x.placed != null) {
                      x.placed.unheard |= lost(m) && x.answered;
                    }
                    x.answered |= !lost(m);
                    release(x, t);
                  });
      case "cut", "stream-closed" -> {
        if (places.containsKey(at)) {
          broken(at, str(m, "placer"), t);
        } else {
          awaySince.put(at, t);
        }
      }
      case "stream-broken" -> awaySince.put(at, t);
      case "crash" -> crash(at, t);
      case "welcome" -> {
        Long since = awaySince.remove(at);
        if (since != null) {
          wasAway.computeIfAbsent(at, k -> new ArrayList<>()).add(new long[] {since, t});
        }
      }
      case "want" -> want(m, at, t);
      case "unwant" -> {
        ObservedRequest a = asks.get(at + "/" + str(m, "vm"));
        if (a != null) {
          a.unwanted = true;
        }
      }
      case "bound", "denied", "errored" -> answer(m, at, t);
      case "ended", "moved" -> {
        ObservedRequest a = asks.get(at + "/" + str(m, "vm"));
        if (a == null || !"bound".equals(a.answer)) {
          broke(1, "ended without bound for " + str(m, "vm"));
        } else if (a.last) {
          broke(1, "a second end for " + str(m, "vm"));
        } else {
          a.last = true;
        }
      }
      case "repeated" -> broke(1, "said twice under one number at " + at);
      default -> {}
    }
  }

  private ObservedMachine place(String name) {
    return places.computeIfAbsent(name, n -> new ObservedMachine());
  }

  private static boolean lost(Map<String, Object> m) {
    return m.get("lost") == Boolean.TRUE;
  }

  private List<ObservedAttempt> at(Map<String, Object> m, String machine) {
    List<ObservedAttempt> some = new ArrayList<>();
    for (ObservedAttempt x : tries.getOrDefault(str(m, "vm"), List.of())) {
      if (x.machine.equals(machine)
          && x.number == num(m, "n")
          && x.placer.equals(str(m, "placer"))) {
        some.add(x);
      }
    }
    return some;
  }

  // ---- Rule 1
  // ----------------------------------------------------------------------------------------

  private void want(Map<String, Object> m, String at, long t) {
    count("VMs asked for");
    asks.put(
        at + "/" + str(m, "vm"), new ObservedRequest(str(m, "flavour"), t, t + num(m, "left")));
  }

  private void answer(Map<String, Object> m, String at, long t) {
    String kind = str(m, "what");
    String vm = at + "/" + str(m, "vm");
    ObservedRequest a = asks.get(vm);
    count("answers: " + kind);
    if (a == null) {
      broke(1, kind + " for " + vm + ", which was not asked for");
      return;
    }
    if (a.answer != null) {
      broke(1, kind + " after " + a.answer + " for " + vm);
      return;
    }
    a.answer = kind;
    a.answerAt = t;
    a.last = !kind.equals("bound");
    if (t > a.until + SLACK_US + stood(t)
        && !a.unwanted
        && !wasAway.getOrDefault(at, List.of()).stream()
            .anyMatch(w -> w[0] <= a.until + SLACK_US && w[1] >= a.until - SLACK_US)) {
      broke(1, kind + " for " + vm + " " + (t - a.until) / 1000 + " ms too late");
    }
    if (kind.equals("denied")) {
      ClassSettings f = priorityClasses.get(a.priorityClass);
      for (ObservedAttempt x : tries.getOrDefault(vm, List.of())) {
        if (x.started
            && f != null
            && !f.effect.equals("rebuildable")
            && !(f.effect.equals("tokened") && f.group.equals("all"))) {
          broke(2, vm + " denied though claim " + x.number + " ran on " + x.machine);
        }
      }
    }
  }

  /** Spans in which a client's stream was broken: it could not have been told then. */
  private final Map<String, List<long[]>> wasAway = new HashMap<>();

  private record PossibleDuplicate(long line, ObservedAttempt earlier, long at, String what) {}

  private final List<PossibleDuplicate> settled = new ArrayList<>();

  private void closing() {
    for (PossibleDuplicate u : settled) {
      if (u.earlier.cancelledAt < 0 || u.earlier.cancelledAt > u.at + 250_000) {
        breaks.add(new Violation(2, u.line, u.what));
      }
    }
    asks.forEach(
        (vm, a) -> {
          if (a.answer == null && !a.unwanted) {
            broke(1, vm + " has no answer");
          }
        });
    figures.put("claims", tries.values().stream().mapToLong(List::size).sum());
    figures.put(
        "claims started, answers lost or not",
        tries.values().stream().flatMap(List::stream).filter(x -> x.started).count());
  }

  // ---- Rule 2
  // ----------------------------------------------------------------------------------------

  private void offer(Map<String, Object> m, String at, long t) {
    String vm = str(m, "vm");
    ObservedAttempt x =
        new ObservedAttempt(
            str(m, "placer"),
            at,
            str(m, "flavour"),
            num(m, "service"),
            t,
            num(m, "n"),
            num(m, "within"));
    ClassSettings f = priorityClasses.get(x.priorityClass);
    ObservedMachine p = place(at);
    List<ObservedAttempt> earlier = tries.computeIfAbsent(vm, v -> new ArrayList<>(2));
    for (ObservedAttempt o : earlier) {
      if (o.number == x.number && o.machine.equals(at)) {
        broke(2, "claim " + x.number + " of " + vm + " offered twice to " + at);
        continue;
      }
      boolean out =
          !o.answered
              && !o.over
              && o.brokeAt < 0
              && o.cancelledAt < 0
              && t < o.at + o.withinUs - SLACK_US;
      long crossing = SLACK_US + stood(t);
      if (out && t >= o.at + o.withinUs - 250_000) {
        // About when its time-out must have passed at the placer, which counts from its decision: a
        // cancel
        // on its way over another socket settles it.
        settled.add(
            new PossibleDuplicate(
                line,
                o,
                t,
                "claim "
                    + x.number
                    + " of "
                    + vm
                    + " sent while claim "
                    + o.number
                    + " is out on "
                    + o.machine));
      } else if (out
          || o.started && o.answered && !o.over && o.brokeAt < 0 && t > o.startedAt + crossing) {
        broke(
            2,
            "claim "
                + x.number
                + " of "
                + vm
                + " sent while claim "
                + o.number
                + " is out on "
                + o.machine);
      }
      boolean mayHaveRun = !o.hasNeverRun;
      if (f != null && f.effect.equals("one-shot") && mayHaveRun) {
        broke(
            2,
            "claim "
                + x.number
                + " of one-shot "
                + vm
                + " sent though claim "
                + o.number
                + " on "
                + o.machine
                + " is not known not to have run");
      }
      if (f != null && f.effect.equals("tokened") && mayHaveRun) {
        if (!together(f.group, p, place(o.machine))) {
          broke(2, "claim " + x.number + " of tokened " + vm + " sent out of its group");
        }
        if (t > o.at + f.windowUs + SLACK_US) {
          broke(2, "claim " + x.number + " of tokened " + vm + " sent past its window");
        }
      }
    }
    earlier.add(x);
    if (tenants.judges()) {
      x.placed =
          new ConstraintChecker.Placed(
              new ConstraintChecker.MachineTopology(at, p.kind, p.zone, p.cell),
              str(m, "customer"),
              x.priorityClass,
              x.service);
      String broken = tenants.offered(x.placer, x.placed, t);
      count("offers judged by customers' rules");
      if (broken != null) {
        broke(6, vm + " offered to " + at + " against " + broken);
      }
    }
    drained(p, at, x, t);
    cold(p, at, t);
    spread(x, f, p, t);
  }

  private static boolean together(String group, ObservedMachine a, ObservedMachine b) {
    return switch (group) {
      case "all" -> true;
      case "zone" -> a.zone.equals(b.zone);
      case "machine" -> a == b;
      default -> a.cell == b.cell;
    };
  }

  private void started(Map<String, Object> m, String at, long t) {
    String vm = str(m, "vm");
    for (ObservedAttempt x : at(m, at)) {
      if (x.started) {
        // Said again to a repeat or a returning placer.
        x.answered |= !lost(m);
        continue;
      }
      x.started = true;
      x.startedAt = t;
      x.answered |= !lost(m);
      if (x.placed != null) {
        x.placed.runs = true;
      }
      ClassSettings f = priorityClasses.get(x.priorityClass);
      long runs = tries.get(vm).stream().filter(o -> o.started).count();
      if (f != null && f.effect.equals("one-shot")) {
        count("one-shot starts");
        if (runs > 1) {
          broke(2, "one-shot " + vm + " was started " + runs + " times");
        }
      } else if (runs > 1) {
        count("second starts of VMs that may run again");
      }
    }
  }

  private void broken(String machine, String placer, long t) {
    for (List<ObservedAttempt> some : tries.values()) {
      for (ObservedAttempt x : some) {
        if (!x.over && x.machine.equals(machine) && x.placer.equals(placer) && x.brokeAt < 0) {
          x.brokeAt = t;
        }
      }
    }
  }

  private void crash(String machine, long t) {
    for (List<ObservedAttempt> some : tries.values()) {
      for (ObservedAttempt x : some) {
        if (!x.over && x.machine.equals(machine)) {
          x.brokeAt = x.brokeAt < 0 ? t : x.brokeAt;
          release(x, t);
        }
      }
    }
  }

  // ---- Rules 3, 4 and 5
  // ------------------------------------------------------------------------------

  /**
   * Where each placer is told by itself: since when it knows of drains and of machines that are
   * gone.
   */
  private final Map<String, Map<String, Long>> told = new HashMap<>();

  private void drained(ObservedMachine p, String at, ObservedAttempt x, long t) {
    Map<String, Long> its = told.get(x.placer);
    if (its != null) {
      long drain = its.getOrDefault("drain " + at, Long.MAX_VALUE);
      long since = Math.min(drain, its.getOrDefault("machine " + at, Long.MAX_VALUE));
      if (since != Long.MAX_VALUE) {
        most("latest offer after a placer was sent a drain, us", t - since);
        if (t - since > graceUs) {
          broke(
              3,
              x.placer + " offered to " + at + " " + (t - since) / 1000 + " ms after it was told");
        }
      }
      return;
    }
    if (p.closedAt >= 0) {
      long late = t - p.closedAt;
      most("latest offer after a drain was published, us", late);
      if (late > graceUs + pollUs + SLACK_US) {
        broke(
            3,
            x.placer
                + " offered to "
                + at
                + " "
                + late / 1000
                + " ms after it was listed as closed");
      }
    }
  }

  private void born(ObservedMachine p, Map<String, Object> m, long t) {
    p.bornAt = t;
    p.bears = real(m, "bears");
    p.multiple = real(m, "multiple");
    p.over = num(m, "over");
    p.from = real(m, "from");
    p.warm = num(m, "warm");
    p.rate = real(m, "rate");
    p.offers.clear();
  }

  private void cold(ObservedMachine p, String at, long t) {
    if (p.bornAt < 0 || t - p.bornAt > p.warm) {
      return;
    }
    p.offers.addLast(t);
    while (p.offers.peekFirst() + p.over < t) {
      p.offers.removeFirst();
    }
    double pace =
        Math.min(1, p.from + (1 - p.from) * (t - p.bornAt) / (double) Math.max(1, p.warm));
    double bears = Math.max(p.bears, p.multiple * p.rate * pace * p.over / 1e6);
    most("most offers to a cold machine within its span", p.offers.size());
    if (p.offers.size() > bears) {
      broke(
          4,
          p.offers.size()
              + " offers to "
              + at
              + " within its span, "
              + Math.round((t - p.bornAt) / 1e4) / 100.0
              + " s after it came up; it bears "
              + Math.round(bears * 10) / 10.0);
    }
  }

  private void spread(ObservedAttempt x, ClassSettings f, ObservedMachine p, long t) {
    if (f == null || f.spread.equals("off")) {
      return;
    }
    String where =
        switch (f.spread) {
          case "machine" -> x.machine;
          case "zone" -> p.zone;
          default -> "cell " + p.cell;
        };
    int n =
        held.computeIfAbsent(x.placer + " " + x.service, k -> new HashMap<>())
            .merge(where, 1, Integer::sum);
    most("most of a service of one placer in one place", n);
    if (n > f.most) {
      broke(5, n + " VMs of service " + x.service + " of " + x.placer + " in " + where);
    }
  }

  private void release(ObservedAttempt x, long t) {
    if (x.over) {
      return;
    }
    x.over = true;
    x.endedAt = t;
    if (x.placed != null) {
      x.placed.over = true;
      x.placed.overAt = t;
    }
    ClassSettings f = priorityClasses.get(x.priorityClass);
    if (f != null && !f.spread.equals("off")) {
      ObservedMachine p = place(x.machine);
      String where =
          switch (f.spread) {
            case "machine" -> x.machine;
            case "zone" -> p.zone;
            default -> "cell " + p.cell;
          };
      held.getOrDefault(x.placer + " " + x.service, new HashMap<>()).merge(where, -1, Integer::sum);
    }
  }
}
