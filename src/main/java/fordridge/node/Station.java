package fordridge.node;

import fordridge.door.Door;
import fordridge.feed.Feed;
import fordridge.feed.Inputs;
import fordridge.jsonl.Front;
import fordridge.jsonl.Json;
import fordridge.jsonl.MachineLine;
import fordridge.link.Scarcity;
import fordridge.link.Trunk;
import fordridge.session.Lateness;
import fordridge.session.Owed;
import fordridge.state.Claim;
import fordridge.state.Claim.End;
import fordridge.state.Claim.Why;
import fordridge.state.Machine;
import fordridge.state.Terms;
import fordridge.state.Vm;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One placer on lines of JSON: its module, who is owed what, and a trunk to each machine, on one event loop. It turns
 * lines into calls of the module, and what the module does into lines. It decides nothing.
 */
final class Station implements Door, Front.Desk, Trunk.Fate {
    private static final Duration FEELS = Duration.ofMillis(25);
    private static final Duration TICK = Duration.ofMillis(50);
    /** What an answer may take from here to its owner. */
    private static final Duration MARGIN = Duration.ofMillis(15);
    /** Asks in hand at once, each with a description of up to a line: a bound on memory. */
    private static final int MOST = 1000;
    /** How long an ended VM's release waits for a line to be sent on. */
    private static final Duration KEEPS = Duration.ofSeconds(8);

    private static final int REFUSED = 34;
    private static final int ERRORED = 47;
    private static final int DONE = 16;
    private static final int LOST = 41;

    /** A machine as this placer reaches it. */
    private final class Reach implements MachineLine.Heard {
        final String id;
        final Machine machine;
        final MachineLine line;
        final Trunk trunk;

        Reach(String id) {
            this.id = id;
            machine = feed.machine(id);
            line = new MachineLine(loop, share, manners.connectTimeout(), vm -> carried.get(vm.id), this);
            trunk = new Trunk(machine, manners, line, Station.this);
        }

        @Override
        public void line() {
            trunk.heard(inputs.clock());
        }

        @Override
        public void connected(Trunk.Connection s) {
            behindReads(() -> trunk.connected(s, now));
        }

        @Override
        public void failed(Trunk.Connection s, boolean refused) {
            enter(() -> trunk.failed(s, refused, now));
        }

        @Override
        public void broke(Trunk.Connection s, String why) {
            enter(() -> trunk.broke(s, now));
        }

        @Override
        public void stands(Trunk.Connection s, String vm, String description) {
            enter(() -> trunk.stands(s, vm, description, now));
        }

        @Override
        public void ended(Trunk.Connection s, String vm, End before, End after, Why why) {
            enter(() -> trunk.ended(s, vm, before, after, why, now));
        }

        @Override
        public void probed(Trunk.Connection s, boolean ok, boolean told) {
            enter(() -> trunk.probed(s, ok, told, now));
        }

        @Override
        public void note(String vm, String what, double amount) {
            enter(() -> {
                Claim c = trunk.claim(vm);
                if (c == null || !Double.isFinite(amount) && !what.equals("live")) {
                    return;
                }
                switch (what) {
                    case "live" -> feed.logic.running(c);
                    case "c" -> feed.logic.usesCores(c, amount);
                    case "m" -> feed.logic.usesMemory(c, amount);
                    case "s" -> feed.logic.served(c, amount);
                    case "p" -> feed.logic.pressed(c, amount);
                    default -> { }
                }
            });
        }

        @Override
        public void report(Map<String, Double> values, boolean answersProbe) {
            enter(() -> {
                reports++;
                feed.report(machine, values.getOrDefault("x0", Double.NaN), values.getOrDefault("x1", Double.NaN),
                        values.getOrDefault("utilization", values.getOrDefault("util", Double.NaN)), now);
                if (!answersProbe) {
                    feed.logic.reported(machine);
                }
            });
        }
    }

    private final EventLoopGroup loop;
    private final Consumer<String> log;
    private final long wallStart = System.currentTimeMillis();
    private final Inputs inputs;
    private final Feed<String> feed = new Feed<>(this, Feed::number);
    private final Owed<Front.Owner> owed = new Owed<>(MOST, KEEPS);
    private final Lateness lateness = new Lateness(Duration.ofSeconds(2));
    private final Map<String, Reach> reaches = new HashMap<>();
    private final Map<Machine, Reach> byMachine = new HashMap<>();
    private final List<Trunk> trunks = new ArrayList<>();
    private final Map<String, MachineLine.Carried> carried = new HashMap<>();
    private final MachineLine.Share share;
    private Trunk.Manners manners;
    private Terms terms;
    private Map<String, Object> values;
    private final Set<String> flavours = new HashSet<>();
    /** Of these, the ones that may simply be sent again. */
    private final Set<String> again = new HashSet<>();
    private final Set<String> customers = new HashSet<>();
    private final Map<String, Duration> patience = new HashMap<>();
    private double mostCores;
    private double mostMemory;
    private Duration now = Duration.ZERO;
    private Front front;
    private boolean inRound;
    private boolean ready;
    private long bad;
    /** What the module was told, for holding it against the traffic. */
    private long reports;
    private long probesPassed;
    private long probesFailed;
    private final Map<End, Long> ends = new java.util.EnumMap<>(End.class);

    Station(EventLoopGroup loop, Configuration p, int machineSockets, Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        inputs = new Inputs(System::nanoTime, this::turn, e -> {
            // This one is lost to the module, those behind it are not; its VM is answered by its time-out.
            log.accept("an input failed: " + e);
            e.printStackTrace();
        });
        share = new MachineLine.Share(machineSockets);
        read(p.terms);
    }

    /** On the loop: starts the module with its terms and the list as known, then keeps time. */
    void begin(Configuration p, Front front) {
        this.front = front;
        enter(() -> feed.logic.start(p.seed, p.terms));
        for (Object event : p.known) {
            event(Json.object(Json.object(event, "known").get("hosts"), "known.hosts"));
        }
        loop.next().scheduleAtFixedRate(() -> enter(this::tick), TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
        feelLateness();
        ready = true;
    }

    /** Other terms and limits hold for all that comes from here on. */
    void told(Configuration next, int machineSockets) {
        share.most(machineSockets);
        if (!next.terms.equals(values)) {
            read(next.terms);
            for (Reach r : reaches.values()) {
                r.trunk.manners(manners);
                r.line.timeout(manners.connectTimeout());
            }
            enter(() -> feed.logic.told(next.terms));
        }
    }

    private void read(Map<String, Object> values) {
        terms = new Terms(values);
        this.values = values;
        manners = new Trunk.Manners(terms.micros("caps.connectTimeoutUs", 250_000), terms.micros("extra.settleUs", 3e6));
        flavours.clear();
        again.clear();
        customers.clear();
        for (int i = 0; i < terms.num("lanes", 0); i++) {
            String name = terms.text("lanes." + i + ".name", "");
            flavours.add(name);
            if (terms.text("lanes." + i + ".semantics", "fragile").equals("retryable")) {
                again.add(name);
            }
            patience.put(name, terms.micros("lanes." + i + ".giveUpUs", 5e6));
        }
        for (int i = 0; i < terms.num("tenants", 0); i++) {
            customers.add(terms.text("tenants." + i + ".name", ""));
        }
        mostCores = most("extra.cpuOfKind");
        mostMemory = most("extra.memoryByKind");
    }

    private double most(String name) {
        double most = 0;
        for (int i = 0; i < terms.list(name).size(); i++) {
            most = Math.max(most, terms.item(name, i, 0));
        }
        return most;
    }

    // ---- The order of inputs ---------------------------------------------------------------------------

    /**
     * All that one round of the loop brings bears one time, as the events of one tick do for the module: what is held is
     * gone through once for them, not once for each, however much comes at once.
     */
    private void turn(Duration at) {
        if (!inRound) {
            inRound = true;
            loop.next().execute(() -> inRound = false);
            now = at;
            feed.logic.at(at);
        }
    }

    private void enter(Runnable input) {
        if (inputs.enter(input) && front != null) {
            front.flush();
        }
    }

    private void at(Duration in, Runnable input) {
        loop.next().schedule(() -> enter(input), Math.max(0, in.toNanos()), TimeUnit.NANOSECONDS);
    }

    /**
     * For what begins an attempt: entered once the loop has read what its sockets had to say, in this round, or in the
     * next for what time has brought, so that an owner whose leaving or cancelling has come in is known to have gone.
     */
    private void behindReads(Runnable input) {
        loop.next().schedule(() -> enter(input), 0, TimeUnit.NANOSECONDS);
    }

    private void feelLateness() {
        long due = System.nanoTime() + FEELS.toNanos();
        loop.next().schedule(() -> {
            lateness.seen(Duration.ofNanos(Math.max(0, System.nanoTime() - due)), inputs.clock());
            feelLateness();
        }, FEELS.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void tick() {
        for (Reach r : List.copyOf(reaches.values())) {
            r.trunk.tick(now);
        }
        Scarcity.relieve(trunks, share.staying(), share.most(), now);
        owed.tidy(now);
    }

    // ---- The list --------------------------------------------------------------------------------------

    /** One event of the journal; what is wrong with it is thrown before anything is done. */
    void event(Map<String, Object> hosts) {
        boolean whole = Json.flag(hosts, "complete", "hosts");
        List<Feed.Line<String>> lines = new ArrayList<>();
        Map<String, java.net.InetSocketAddress> addresses = new HashMap<>();
        for (Object o : Json.list(hosts, "members", "hosts")) {
            Map<String, Object> l = Json.object(o, "hosts.members");
            String id = Json.text(l, "id", "hosts.members");
            List<?> unasked = l.get("unasked") instanceof List<?> u ? u : List.of();
            long up = Json.whole(l, "up_since_ms", "hosts.members", 0);
            lines.add(new Feed.Line<>(id, Json.text(l, "locality", "hosts.members", ""),
                    Json.text(l, "flavor", "hosts.members", ""), (int) Json.whole(l, "cell", "hosts.members", 0),
                    amount(unasked, 0), amount(unasked, 1), switch (Json.text(l, "phase", "hosts.members")) {
                        case "SERVING" -> Machine.Listing.LIVE;
                        case "DRAINING" -> Machine.Listing.DRAINING;
                        case "DELETED" -> Machine.Listing.GONE;
                        default -> throw new Json.Malformed("hosts.members: field 'phase' is not a known word");
                    }, up == 0 ? null : Duration.ofMillis(up - wallStart)));
            if (l.get("host_port") instanceof String at) {
                addresses.put(id, Configuration.address(at));
            }
        }
        enter(() -> listed(whole, lines, addresses));
    }

    private static double amount(List<?> of, int i) {
        return of.size() > i && of.get(i) instanceof Number n ? n.doubleValue() : 0;
    }

    private void listed(boolean whole, List<Feed.Line<String>> lines, Map<String, java.net.InetSocketAddress> addresses) {
        Set<String> named = new HashSet<>();
        for (Feed.Line<String> l : lines) {
            Reach r = reach(l.key());
            named.add(l.key());
            if (addresses.containsKey(l.key())) {
                r.line.address(addresses.get(l.key()));
            }
            boolean anew = l.startedAt() != null && !l.startedAt().equals(r.machine.startedAt);
            r.trunk.listed(l.listing(), now);
            if (anew) {
                r.trunk.restarted(l.startedAt());
            }
        }
        if (whole) {
            for (Reach r : List.copyOf(reaches.values())) {
                if (!named.contains(r.id)) {
                    r.trunk.listed(Machine.Listing.GONE, now);
                }
            }
        }
        feed.list(whole, false, lines);
    }

    private Reach reach(String id) {
        Reach r = reaches.get(id);
        if (r == null) {
            r = new Reach(id);
            reaches.put(id, r);
            byMachine.put(r.machine, r);
            trunks.add(r.trunk);
        }
        return r;
    }

    // ---- Owners ----------------------------------------------------------------------------------------

    @Override
    public boolean ready() {
        return ready;
    }

    @Override
    public boolean busy(Front.Owner owner) {
        return owed.on(owner) > 0;
    }

    @Override
    public void asks(Front.Owner owner, String id, Map<String, Object> fields, String description) {
        enter(() -> {
            Vm vm = new Vm(id);
            String wrong = vm(vm, fields, description);
            if (wrong != null) {
                refuse(owner, id, wrong);
                return;
            }
            // Its own field, not any that ends so: what is taken for one that runs already gets no answer.
            String at = field(String.valueOf(fields.get("extras")), "at");
            if (at != null) {
                runsAlready(owner, vm, at);
                return;
            }
            switch (owed.ask(id, owner)) {
                case TWICE -> refuse(owner, id, "an id that is in hand already");
                case OVER -> owner.write("down", id, REFUSED, null);
                default -> takes(owner, vm, fields, description);
            }
        });
    }

    private void takes(Front.Owner owner, Vm vm, Map<String, Object> fields, String description) {
        unpark();
        carried.put(vm.id, new MachineLine.Carried(String.valueOf(fields.get("key")),
                fields.get("idem") == null ? null : String.valueOf(fields.get("idem")), description));
        feed.add(vm);
        at(vm.deadline.minus(now).plus(MARGIN.dividedBy(2)), () -> {
            // Should the module fail on an input, nobody is left without an answer: this one promises nothing.
            if (owed.waits(vm.id)) {
                log.accept("no decision in time: " + vm.id);
                answer(vm, "down", ERRORED, null, false);
                // After its answer nothing more is sent for it, whatever the module would do.
                givenUp(vm);
            }
        });
        feed.logic.arrives(vm);
    }

    private void unpark() {
        for (Owed.Told<Front.Owner> t : owed.unpark(now)) {
            t.line().write("down", t.release().vm(), t.release().cause(), null);
        }
    }

    /** Says what is wrong and reads no more from whoever sends it: what is in hand for it ends with that. */
    private void refuse(Front.Owner owner, String id, String wrong) {
        if (bad++ < 20) {
            log.accept("not taken: " + id + ": " + wrong);
        }
        List<String> inHand = owed.asksOn(owner);
        if (!inHand.contains(id)) {
            owner.write("down", id, ERRORED, null);
        }
        for (String other : inHand) {
            Vm vm = feed.vm(other);
            answer(vm, "down", ERRORED, null, false);
            givenUp(vm);
        }
        owner.dismiss();
    }

    private static String field(String extras, String name) {
        for (String part : extras.split(";")) {
            if (part.startsWith(name + ":")) {
                return part.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** Fills in what is asked for, or says what is wrong with it. */
    private String vm(Vm vm, Map<String, Object> fields, String description) {
        try {
            vm.flavour = String.valueOf(fields.get("class"));
            if (!flavours.contains(vm.flavour)) {
                return "no such flavour";
            }
            vm.customer = fields.get("tenant") == null ? "" : String.valueOf(fields.get("tenant"));
            if (!customers.isEmpty() && !customers.contains(vm.customer)) {
                return "no such customer";
            }
            if (description == null) {
                return "no description";
            }
            Object key = fields.get("key");
            if (!(key instanceof String k) || !k.matches("[0-9a-fA-F]{1,16}")) {
                return "no key";
            }
            String extras = String.valueOf(fields.get("extras"));
            vm.cores = Double.parseDouble(String.valueOf(field(extras, "cores")));
            vm.memory = Double.parseDouble(String.valueOf(field(extras, "memory")));
            if (!(vm.cores > 0 && vm.cores <= mostCores && vm.memory > 0 && vm.memory <= mostMemory)) {
                return "cores or memory out of range";
            }
            String service = field(extras, "service");
            vm.service = service == null ? 0 : Long.parseUnsignedLong(service, 16);
            vm.cameBack = "1".equals(String.valueOf(fields.get("retry"))) || "1".equals(field(extras, "again"));
            double left = Double.parseDouble(String.valueOf(fields.get("left")));
            if (!(left > 0 && left <= 3.6e6) && field(extras, "at") == null) {
                return "time left out of range";
            }
            Duration time = Duration.ofNanos((long) (left * 1e6));
            Duration most = patience.get(vm.flavour);
            vm.arrivedAt = now;
            vm.deadline = now.plus(time.compareTo(most) > 0 ? most : time).minus(MARGIN).minus(lateness.allowance(now));
            if (fields.get("hint") != null) {
                double hint = Double.parseDouble(String.valueOf(fields.get("hint")));
                vm.lasts = hint > 0 && hint < 1e9 ? Duration.ofNanos((long) (hint * 1e6)) : null;
            }
            return null;
        } catch (NumberFormatException e) {
            return "a figure that is no number";
        }
    }

    private void runsAlready(Front.Owner owner, Vm vm, String at) {
        if (at.isEmpty() || !owed.stands(vm.id, owner)) {
            return;
        }
        unpark();
        feed.add(vm);
        Reach r = reach(at);
        feed.logic.runsAlready(vm, r.machine);
        r.trunk.adopt(vm.placed, now);
        if (!r.machine.known || r.machine.listing == Machine.Listing.GONE) {
            // A machine that the list has not named, or no longer does: it gets a while to.
            at(manners.dead(), () -> {
                if (r.machine.listing == Machine.Listing.GONE && vm.placed.out()) {
                    r.trunk.listed(Machine.Listing.GONE, now);
                    r.trunk.ended(new Trunk.Connection(), vm.id, End.RESET, End.RESET, Why.UNTOLD, now);
                }
            });
        }
    }

    @Override
    public void ends(Front.Owner owner, String id, int cause) {
        enter(() -> {
            Vm vm = feed.vm(id);
            if (vm == null || !owed.ends(id)) {
                return;
            }
            if (vm.placed != null) {
                owner.write("ack", id, -1, null);
                byMachine.get(vm.placed.machine).trunk.stop(vm.placed, now);
            } else {
                givenUp(vm);
            }
        });
    }

    private void givenUp(Vm vm) {
        feed.logic.left(vm);
        for (Claim c : List.copyOf(vm.claims)) {
            if (c.out()) {
                byMachine.get(c.machine).trunk.giveUp(c, End.CANCELLED, now);
            }
        }
        forget(vm);
    }

    @Override
    public void closed(Front.Owner owner) {
        enter(() -> {
            for (String id : owed.closed(owner)) {
                Vm vm = feed.vm(id);
                if (vm != null && vm.placed == null) {
                    givenUp(vm);
                }
            }
            unpark();
        });
    }

    @Override
    public void hears(Front.Owner owner, String id) {
        enter(() -> owed.heard(id, owner));
    }

    private void answer(Vm vm, String type, int cause, String description, boolean stands, String... fields) {
        Front.Owner owner = owed.answer(vm.id, stands);
        if (owner != null) {
            owner.write(type, vm.id, cause, description, fields);
        }
    }

    private void forget(Vm vm) {
        inputs.behind(() -> {
            if (feed.forget(vm) || feed.vm(vm.id) == null) {
                carried.remove(vm.id);
            }
        });
    }

    // ---- What the module does --------------------------------------------------------------------------

    @Override
    public void claim(Claim c, Duration within) {
        behindReads(() -> {
            if (c.out()) {
                Reach r = byMachine.get(c.machine);
                r.trunk.offer(c, within.minus(now.minus(c.sentAt)), again.contains(c.vm.flavour), now);
            }
        });
        at(within, () -> {
            if (c.out() && c.boundAt == null) {
                byMachine.get(c.machine).trunk.giveUp(c, End.TIMEOUT, now);
            }
        });
    }

    @Override
    public void deny(Vm vm, Duration retryAfter) {
        answer(vm, "down", REFUSED, null, false, "wait", retryAfter.isZero() ? null
                : Long.toString(retryAfter.toMillis()));
        forget(vm);
    }

    @Override
    public void error(Vm vm) {
        answer(vm, "down", ERRORED, null, false);
        forget(vm);
    }

    @Override
    public void move(Vm vm) {
        Front.Owner owner = owed.release(vm.id, LOST, now);
        if (owner != null) {
            owner.write("shift", vm.id, -1, null);
            owed.heard(vm.id, owner);
        }
        byMachine.get(vm.placed.machine).trunk.stop(vm.placed, now);
    }

    @Override
    public void cancel(Claim c) {
        inputs.behind(() -> {
            if (c.out() && c.boundAt == null) {
                byMachine.get(c.machine).trunk.giveUp(c, End.CANCELLED, now);
            }
        });
    }

    @Override
    public void probe(Machine m) {
        inputs.behind(() -> byMachine.get(m).trunk.probe(now));
    }

    @Override
    public void wake(Duration in) {
        at(in, feed.logic::woken);
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    @Override
    public void follow(boolean on) {
        // The journal pushes every change.
        inputs.behind(() -> feed.list(false, false, List.of()));
    }

    @Override
    public void lookup() {
        // The list is pushed here.
    }

    // ---- What the trunks conclude ----------------------------------------------------------------------

    @Override
    public void bound(Claim c, String description) {
        inputs.behind(() -> {
            if (!c.out()) {
                return;
            }
            if (c.vm.over) {
                byMachine.get(c.machine).trunk.stop(c, now);
                return;
            }
            feed.logic.bound(c);
            carried.remove(c.vm.id);
            answer(c.vm, "up", -1, description, true);
        });
    }

    @Override
    public void ended(Claim c, End end, Why why) {
        inputs.behind(() -> {
            if (!c.out()) {
                return;
            }
            boolean wasBound = c.boundAt != null;
            ends.merge(end, 1L, Long::sum);
            feed.logic.ended(c, end, why, wasBound || c.vm.over);
            if (wasBound && end == End.CANCELLED) {
                owed.ends(c.vm.id);
            } else if (wasBound) {
                int cause = end == End.DONE ? DONE : LOST;
                Front.Owner owner = owed.release(c.vm.id, cause, now);
                if (owner != null) {
                    owner.write("down", c.vm.id, cause, null);
                }
            }
            forget(c.vm);
        });
    }

    @Override
    public void probed(Machine m, boolean ok, boolean told, Duration took) {
        inputs.behind(() -> {
            if (ok) {
                probesPassed++;
            } else {
                probesFailed++;
            }
            feed.logic.probed(m, ok, told, took);
        });
    }

    // ---- Ends ------------------------------------------------------------------------------------------

    /** Nothing more is placed from here on: what is held is answered at once, what is out when its claim ends. */
    void stops() {
        enter(feed.logic::stops);
    }

    /** Releases that have not been heard yet, or wait for a connection. */
    int untold() {
        return owed.untold();
    }

    int inHand() {
        return owed.inHand();
    }

    Duration longestPatience() {
        return patience.values().stream().max(Duration::compareTo).orElse(Duration.ZERO);
    }

    /** Asks, VMs and descriptions held, of whatever kind. */
    int kept() {
        return feed.size() + carried.size() + owed.inHand() + owed.standing() + owed.untold();
    }

    String state() {
        return "in hand " + owed.inHand() + ", standing " + owed.standing() + ", untold " + owed.untold() + ", machines " + reaches.size()
                + ", connections to machines " + share.open() + ", owners' lines " + (front == null ? 0 : front.connections())
                + ", bad asks " + bad + ", reports " + reports + ", probes passed " + probesPassed + " failed "
                + probesFailed + ", late " + lateness.allowance(inputs.clock()).toMillis() + " ms, ends " + ends;
    }
}
