package fordridge.drill;

import com.fasterxml.jackson.core.JsonGenerator;
import fordridge.Logic;
import fordridge.door.Door;
import fordridge.feed.Feed;
import fordridge.jsonl.Json;
import fordridge.state.Claim;
import fordridge.state.Machine;
import fordridge.state.Terms;
import fordridge.state.Vm;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One instance: turns its events into calls of the module, and what the module does into actions. */
final class Seat implements Door {
    private final Feed<Long> feed = new Feed<>(this, id -> id);
    private final Logic logic = feed.logic;
    private JsonGenerator gen;

    private static Duration micros(long us) {
        return Duration.of(us, ChronoUnit.MICROS);
    }

    private static long micros(Duration d) {
        return d.toNanos() / 1000;
    }

    void event(String msg, Map<String, Object> ev, String at, Duration clock, JsonGenerator to,
            Map<Long, List<Object>> lists) throws IOException {
        gen = to;
        logic.at(clock);
        switch (msg) {
            case "create" -> {
                Map<String, Object> terms = new HashMap<>();
                Terms.flatten("", Json.object(ev.get("profileData"), at + ".profileData"), terms);
                logic.start(Json.whole(ev, "entropy", at), terms);
            }
            case "discovery" -> discovery(ev, at, lists);
            case "arrival" -> {
                Vm vm = vm(ev, at, clock);
                feed.add(vm);
                logic.arrives(vm);
            }
            case "resident" -> {
                Vm vm = vm(ev, at, clock);
                feed.add(vm);
                logic.runsAlready(vm, feed.machine(Json.whole(ev, "machine", at)));
            }
            case "bound" -> {
                Claim c = feed.claim(Json.text(ev, "req", at), (int) Json.whole(ev, "seqNo", at));
                if (c != null) {
                    logic.bound(c);
                }
            }
            case "interim" -> {
                Claim c = feed.claim(Json.text(ev, "req", at), (int) Json.whole(ev, "seqNo", at));
                if (c != null) {
                    double amount = Json.number(ev, "amount", at, 0);
                    switch ((int) Json.whole(ev, "what", at)) {
                        case 1 -> logic.running(c);
                        case 2 -> logic.usesCores(c, amount);
                        case 3 -> logic.usesMemory(c, amount);
                        case 4 -> logic.served(c, amount);
                        case 5 -> logic.pressed(c, amount);
                        default -> { }
                    }
                }
            }
            case "response" -> response(ev, at, clock);
            case "clientGone" -> {
                Vm vm = feed.vm(Json.text(ev, "req", at));
                if (vm != null) {
                    logic.left(vm);
                    feed.forget(vm);
                }
            }
            case "echo" -> {
                Machine m = feed.known(Json.whole(ev, "machine", at));
                if (m != null) {
                    boolean ok = Json.whole(ev, "rc", at) == 200;
                    boolean told = report(m, ev, at, clock);
                    logic.probed(m, ok, told, micros(Json.whole(ev, "elapsedUs", at, 0)));
                }
            }
            case "noteFrom" -> logic.heard(Json.text(ev, "data", at));
            case "due" -> {
                Json.whole(ev, "handle", at);
                logic.woken();
            }
            default -> { }
        }
    }

    private void discovery(Map<String, Object> ev, String at, Map<Long, List<Object>> lists) {
        String how = Json.text(ev, "how", at);
        if (how.equals("error")) {
            logic.listFailed();
            return;
        }
        List<Object> lines = lists.get(Json.whole(ev, "slot", at));
        if (lines == null) {
            throw new Json.Malformed(at + ": field 'slot' names a list that never came");
        }
        List<Feed.Line<Long>> told = new ArrayList<>(lines.size());
        int i = 0;
        for (Object o : lines) {
            String where = at + ".lines[" + i++ + "]";
            Map<String, Object> l = Json.object(o, where);
            long ready = Json.whole(l, "readyAtUs", where, 0);
            told.add(new Feed.Line<>(Json.whole(l, "machine", where), Json.text(l, "site", where, ""),
                    Json.text(l, "generationHw", where, ""), (int) Json.whole(l, "pod", where, 0),
                    Json.number(l, "freeCores", where, 0), Json.number(l, "memoryFree", where, 0),
                    switch (Json.text(l, "lifecycle", where)) {
                        case "live" -> Machine.Listing.LIVE;
                        case "quiescing" -> Machine.Listing.DRAINING;
                        case "dead" -> Machine.Listing.GONE;
                        default -> throw new Json.Malformed(where + ": field 'lifecycle' is not a known word");
                    }, ready == 0 ? null : micros(ready)));
        }
        feed.list(!how.equals("diff"), how.equals("disk"), told);
    }

    private Vm vm(Map<String, Object> ev, String at, Duration clock) {
        Vm vm = new Vm(Json.text(ev, "req", at));
        vm.flavour = Json.text(ev, "profile", at);
        Object group = ev.get("clientGroup");
        vm.customer = group instanceof String s ? s : "";
        vm.service = Json.whole(ev, "deployment", at, 0);
        vm.cores = Json.number(ev, "wantCores", at);
        vm.memory = Json.number(ev, "mem", at);
        vm.cameBack = Json.flag(ev, "cameBack", at) || Json.flag(ev, "retry", at);
        vm.arrivedAt = clock;
        vm.deadline = clock.plus(micros(Json.whole(ev, "patienceLeftUs", at)));
        long lasts = Json.whole(ev, "lastsUs", at, 0);
        vm.lasts = lasts > 0 ? micros(lasts) : null;
        return vm;
    }

    private void response(Map<String, Object> ev, String at, Duration clock) {
        Machine m = feed.known(Json.whole(ev, "machine", at));
        if (m != null && report(m, ev, at, clock)) {
            logic.reported(m);
        }
        Claim c = feed.claim(Json.text(ev, "req", at), (int) Json.whole(ev, "seqNo", at));
        if (c == null) {
            return;
        }
        int rc = (int) Json.whole(ev, "rc", at);
        Claim.End end = switch (rc) {
            case 200 -> Claim.End.DONE;
            case 502 -> Claim.End.ERROR;
            case 429 -> Claim.End.FULL;
            case 408 -> Claim.End.TIMEOUT;
            case 521 -> Claim.End.UNREACHABLE;
            case 520 -> Claim.End.RESET;
            case 444 -> Claim.End.CANCELLED;
            case 409 -> Claim.End.MOOT;
            default -> throw new Json.Malformed(at + ": field 'rc' is not a known result");
        };
        int info = (int) Json.whole(ev, "info", at, 0);
        Claim.Why[] whys = Claim.Why.values();
        Claim.Why why = info > 0 && info < whys.length ? whys[info] : Claim.Why.UNTOLD;
        logic.ended(c, end, why, Json.flag(ev, "noMore", at));
        feed.forget(c.vm);
    }

    private boolean report(Machine m, Map<String, Object> ev, String at, Duration clock) {
        if (ev.get("healthInfo") == null) {
            return false;
        }
        Map<String, Object> r = Json.object(ev.get("healthInfo"), at + ".healthInfo");
        feed.report(m, Json.number(r, "x0", at, Double.NaN), Json.number(r, "x1", at, Double.NaN),
                Json.number(r, "utilization", at, Double.NaN), clock);
        return true;
    }

    /** Writes one action: its name, then pairs of field and value (a VM's id, a machine's id, a number...). */
    private void act(String msg, Object... fields) {
        try {
            gen.writeStartObject();
            gen.writeStringField("msg", msg);
            for (int i = 0; i < fields.length; i += 2) {
                gen.writeFieldName((String) fields[i]);
                Object v = fields[i + 1];
                if (v instanceof Long n) {
                    gen.writeNumber(n);
                } else if (v instanceof Boolean b) {
                    gen.writeBoolean(b);
                } else {
                    gen.writeString((String) v);
                }
            }
            gen.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void claim(Claim claim, Duration within) {
        act("propose", "req", claim.vm.id, "machine", claim.machine.id, "withinUs", micros(within));
    }

    @Override
    public void deny(Vm vm, Duration retryAfter) {
        act("deny", "req", vm.id, "backoffUs", micros(retryAfter));
        feed.forget(vm);
    }

    @Override
    public void error(Vm vm) {
        act("dropRequest", "req", vm.id);
        feed.forget(vm);
    }

    @Override
    public void move(Vm vm) {
        act("vacate", "req", vm.id);
    }

    @Override
    public void cancel(Claim claim) {
        act("undoSend", "req", claim.vm.id, "seqNo", (long) claim.number);
    }

    @Override
    public void probe(Machine machine) {
        act("inspect", "machine", machine.id);
    }

    @Override
    public void tell(String note) {
        act("memoTo", "addressee", "*", "data", note);
    }

    @Override
    public void wake(Duration in) {
        act("after", "inUs", micros(in), "handle", 0L);
    }

    @Override
    public void log(String line) {
        act("journalLine", "reasonText", line);
    }

    @Override
    public void follow(boolean on) {
        act("follow", "enable", on);
    }

    @Override
    public void lookup() {
        act("lookup", new Object[0]);
    }
}
