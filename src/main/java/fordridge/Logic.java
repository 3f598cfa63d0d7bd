package fordridge;

import static fordridge.state.Terms.seconds;
import static fordridge.state.Terms.times;

import fordridge.door.Door;
import fordridge.state.*;
import fordridge.state.Claim.*;
import fordridge.state.Machine.Listing;
import java.time.Duration;
import java.util.*;
import java.util.function.*;

/**
 * All decisions of one placer: utilization-aware placing after UBIS (docs/design.md), with the guards that
 * its users' five rules need. One object is one instance; it shares nothing and keeps no thread.
 *
 * <p>To call it: {@link #at} with the time, then one input ({@link #start} first, {@link #listed} between
 * {@link #listBegins} and {@link #listEnds}, {@link #arrives}, {@link #bound}, {@link #ended} and so on). It
 * acts through {@link Door} before the call returns. The state it works on is in {@code fordridge.state}.
 */
public final class Logic {
    /** One step of the list gone through after every input: where the condition holds, the effect follows. */
    private record Rule(BooleanSupplier when, Runnable then) { }

    private enum Effect { REBUILDABLE, TOKENED, ONE_SHOT }

    /** A flavour's terms, and how long its starts have been taking with the program at hand and without. */
    private static final class Flavour {
        int rank;
        Effect effect;
        String group;
        Duration window;
        Duration target;
        Duration patience;
        String kind;
        String spread;
        int most;
        double calm;
        double fade;
        double startWorth;
        double life;
        double startWarm;
        double startCold;
        /** How many came, new or again. */
        double seen;
    }

    private static final double THRESHOLD = 0.9;
    /** That of memory for flavours under the top rank: those above find the rest in time when it is full. */
    private static final double SPARING = 0.75;
    private static final int SAMPLE = 3;
    /** What reports told to other placers may cost, as a part of what all VMs are worth. */
    private static final double TALK = 0.005;
    /** Grief from which a machine is left alone, if it also stands out from the fleet by as many times. */
    private static final double SHUNNED = 3;

    private final Door door;
    private final Placer me = new Placer();
    private final Map<String, Flavour> flavours = new TreeMap<>();
    /** Customers and flavours as notes number them. */
    private final List<String> kins = new ArrayList<>();
    /** Kinds of machine that some flavour cannot do without. */
    private final Set<String> neededKinds = new HashSet<>();
    private final List<Rule> rules = List.of(
            // The list first: nothing is placed on hearsay that the terms no longer count as told.
            new Rule(this::listWanted, this::askForList),
            new Rule(() -> me.stopping && !me.held.isEmpty(), () -> giveUp(me.held.takeFirst())),
            // What can be placed is placed before anything is given up.
            new Rule(() -> !me.untried.isEmpty(), () -> tryOrHold(me.untried.removeFirst())),
            new Rule(() -> me.lookAgain && !me.held.isEmpty() && !me.now.equals(me.lookedAt), this::tryHeld),
            new Rule(() -> me.now.compareTo(me.probeAt) >= 0, this::probeStale),
            new Rule(() -> me.wakeAt == null && (!me.held.isEmpty() || asks() && !me.following),
                    this::setWake));
    private int topRank;
    private boolean whole;
    private Duration settle;
    private double usedCores = Double.NaN;
    private double usedMemory = Double.NaN;
    private double askedCores;
    private double knownPart;
    private double usedPerAsk;
    private double usedPerAskMemory;
    /** What own VMs have been told to use, as a share of their asks. */
    private Mean coresRatio;
    private Mean memoryRatio;
    private double fleetGrief;
    private Duration summedAt;

    public Logic(Door door) {
        this.door = door;
    }

    public void at(Duration now) {
        if (!now.equals(me.now)) {
            me.without.clear();
        }
        me.now = now;
    }

    public void start(long seed, Map<String, Object> terms) {
        me.chance = new Chance(seed);
        me.startedAt = me.now;
        me.terms = new Terms(terms);
        me.placers = me.terms.num("nInstances", 1);
        // Until notes tell, use is what lets a machine bear all it accepts: a high guess opens too many.
        coresRatio = new Mean(1 / me.terms.num("extra.admitCores", 1));
        memoryRatio = new Mean(1 / me.terms.num("extra.memBooking", 1));
        readTerms();
        settleRules();
    }

    /** Other terms hold from now on; flavours keep what was learned; none may leave or change its effect. */
    public void told(Map<String, Object> terms) {
        me.terms = new Terms(terms);
        readTerms();
        lookAgain();
    }

    private void readTerms() {
        settle = me.terms.micros("extra.settleUs", 3e6);
        neededKinds.clear();
        topRank = 0;
        int n = (int) me.terms.num("lanes", 0);
        for (int i = 0; i < n; i++) {
            String lane = "lanes." + i + ".";
            Flavour f = flavours.computeIfAbsent(me.terms.text(lane + "name", ""), name -> new Flavour());
            f.rank = (int) me.terms.item("extra.precedence", i, 0);
            topRank = Math.max(topRank, f.rank);
            f.effect = switch (me.terms.text(lane + "semantics", "fragile")) {
                case "retryable" -> Effect.REBUILDABLE;
                case "dedup" -> Effect.TOKENED;
                default -> Effect.ONE_SHOT;
            };
            f.group = me.terms.text(lane + "dedupScope", "cell");
            f.window = me.terms.micros(lane + "windowUs", 0);
            f.target = me.terms.micros(lane + "promiseUs", 1e6);
            f.patience = me.terms.micros(lane + "giveUpUs", 5e6);
            int kind = (int) me.terms.item("extra.kindByClass", i, -1);
            f.kind = kind < 0 ? null : (String) me.terms.list("kinds").get(kind);
            List<?> spreads = me.terms.list("extra.classSpread");
            f.spread = spreads.size() > i ? (String) spreads.get(i) : "off";
            f.most = (int) me.terms.item("extra.classMost", i, Integer.MAX_VALUE);
            f.calm = me.terms.item("extra.calmLevel", i, 1);
            f.fade = me.terms.item("extra.fadeSpan", i, 0);
            f.startWorth = me.terms.item("extra.startSeconds", i, 0);
            if (f.life == 0) {
                f.life = Math.max(1, f.startWorth);
                f.startWarm = seconds(f.target) / 2;
                f.startCold = 2 * seconds(f.target);
            }
            if (f.kind != null) {
                neededKinds.add(f.kind);
            }
        }
        kins.clear();
        for (int i = 0; i < Math.max(1, me.terms.num("tenants", 0)); i++) {
            String customer = me.terms.text("tenants." + i + ".name", "");
            flavours.keySet().forEach(f -> kins.add(customer + " " + f));
        }
    }

    /** A list follows: whole (what it does not name is gone) or changes; {@code old} if it may be stale. */
    public void listBegins(boolean isWhole, boolean old) {
        whole = isWhole;
        if (!old) {
            me.asked = false;
            me.following = true;
        }
        me.heardListAt = me.now;
        if (whole) {
            me.machines.forEach(m -> m.listedAt = null);
        }
    }

    public void listed(Machine m, Listing listing, Duration startedAt) {
        if (!m.known) {
            m.known = true;
            me.machines.add(m);
            me.byName.put(Note.name(m.id), me.byName.containsKey(Note.name(m.id)) ? null : m);
        }
        if (startedAt != null && !startedAt.equals(m.startedAt)) {
            m.programs.values().removeIf(p -> p.held == 0);
            m.reportedAt = null;
            m.closedUntil = Duration.ZERO;
        }
        int kind = me.terms.list("kinds").indexOf(m.kind);
        m.cores = kind < 0 ? 0 : me.terms.item("extra.cpuOfKind", kind, 0);
        m.memory = kind < 0 ? 0 : me.terms.item("extra.memoryByKind", kind, 0);
        m.startedAt = startedAt;
        m.listing = listing;
        m.listedAt = me.now;
    }

    public void listEnds() {
        if (whole) {
            for (Machine m : me.machines) {
                if (m.listedAt == null) {
                    m.listing = Listing.GONE;
                }
            }
        }
        meanUse();
        lookAgain();
    }

    public void listFailed() {
        me.asked = false;
        me.following = false;
        me.askListAt = me.now.plus(times(settle, 1.0 / 4));
        settleRules();
    }

    public void arrives(Vm vm) {
        me.arrivals++;
        flavour(vm).seen++;
        me.untried.add(vm);
        settleRules();
    }

    /** A VM that runs already: it counts as placed by this placer. */
    public void runsAlready(Vm vm, Machine m) {
        Claim c = new Claim(vm, m, 0, me.now);
        vm.claims.add(c);
        vm.placed = c;
        c.boundAt = me.now;
        c.runsAt = me.now;
        holds(c);
        settleRules();
    }

    public void bound(Claim c) {
        c.machine.waitingClaims.remove(c);
        c.boundAt = me.now;
        Machine.Refusal r = refusal(c.vm.kin(), c.machine);
        r.span = r.span.dividedBy(2);
        r.tookAt = me.now;
        c.vm.placed = c;
        if (me.terms.text("extra.saysYes", "running").equals("running")) {
            started(c);
        }
        lookAgain();
    }

    /** A bound VM runs (told where the yes comes at acceptance). */
    public void running(Claim c) {
        if (c.runsAt == null) {
            started(c);
        }
        settleRules();
    }

    public void usesCores(Claim c, double amount) {
        coresRatio.hear(amount / c.vm.cores, 64);
    }

    public void usesMemory(Claim c, double amount) {
        memoryRatio.hear(amount / c.vm.memory, 64);
    }

    /** A VM is served this share of what it needs. */
    public void served(Claim c, double share) {
        grieve(c.machine, (1 - share) / 2);
    }

    /** Memory of the machine is getting short: this share is in use. */
    public void pressed(Claim c, double share) {
        grieve(c.machine, share / 2);
    }

    public void left(Vm vm) {
        vm.over = true;
        me.held.remove(vm);
        me.untried.remove(vm);
        settleRules();
    }

    /** The outcome of a claim; {@code over} if the VM needs no answer any more. */
    public void ended(Claim c, End end, Why why, boolean over) {
        Machine m = c.machine;
        Vm vm = c.vm;
        boolean wasBound = c.boundAt != null;
        c.end = end;
        m.waitingClaims.remove(c);
        Machine.Program p = m.programs.get(vm.service);
        if (--p.held == 0) {
            me.hosts.computeIfPresent(vm.service, (s, on) -> on.remove(m) && on.isEmpty() ? null : on);
        }
        p.lastHeld = me.now;
        m.placed.remove(c);
        if (c.neverRan()) {
            m.sinceList.remove(c);
            m.sinceReport.remove(c);
        }
        if (wasBound && end == End.DONE) {
            Flavour f = flavour(vm);
            f.life += (seconds(me.now.minus(c.boundAt)) - f.life) / 16;
        }
        blame(c, end, why, wasBound);
        if (over || wasBound) {
            vm.over = true;
            me.held.remove(vm);
        } else if (!vm.over && vm.out() == 0) {
            me.untried.add(vm);
        }
        lookAgain();
    }

    /** Something changed, for a machine or at large; told to the others if it is a report, and whole. */
    public void reported(Machine m) {
        if (m != null && me.tellEvery != null && me.now.equals(m.reportedAt)
                && Double.isFinite(m.spareCores + m.spareMemory)
                && (m.toldAt == null || since(m.toldAt).compareTo(me.tellEvery) >= 0)) {
            m.toldAt = me.now;
            tell(m, "" + Note.share(1 - m.spareCores / m.cores)
                    + Note.share(1 - m.spareMemory / m.memory));
        }
        lookAgain();
    }

    public void probed(Machine m, boolean ok, boolean told, Duration took) {
        m.probing = false;
        if (ok && told) {
            reported(m);
        } else if (!ok) {
            grieve(m, 1);
            tell(m, "");
        }
        lookAgain();
    }

    private void tell(Machine m, String what) {
        if (me.tellEvery != null) {
            door.tell(Note.name(m.id) + what);
        }
    }

    /**
     * A note from another placer, on a machine that our own list names (else it is passed over): what it
     * tells goes by its length. No figure: no answer. One: customer and flavour whose VMs it turns away. Two:
     * cores and memory in use, as good as a report of our own.
     */
    public void heard(String note) {
        Machine m = note.length() < 3 || note.length() > 5 ? null : me.byName.get(note.substring(0, 3));
        if (m == null) {
            return;
        }
        String what = note.substring(3);
        if (what.isEmpty()) {
            m.closedUntil = Collections.max(List.of(m.closedUntil, me.now.plus(times(settle, 1.0 / 3))));
        } else if (what.length() == 1) {
            int kin = Note.whole(what.charAt(0));
            if (kin >= 0 && kin < kins.size()) {
                Machine.Refusal r = refusal(kins.get(kin), m);
                r.until = Collections.max(List.of(r.until, me.now.plus(times(settle, 2))));
            }
        } else {
            m.spareCores = (1 - Note.share(what.charAt(0))) * m.cores;
            m.spareMemory = (1 - Note.share(what.charAt(1))) * m.memory;
            m.busy = Double.NaN;
            m.reportedAt = me.now;
            m.toldAt = me.now;
            lookAgain();
        }
    }

    /** So many placers share the cluster from now on. */
    public void shared(int among) {
        me.placers = among;
        lookAgain();
    }

    /** Nothing more is placed: what is held is answered at once, what is out when its claim ends. */
    public void stops() {
        me.stopping = true;
        settleRules();
    }

    public void woken() {
        me.wakeAt = null;
        lookAgain();
    }

    private void lookAgain() {
        me.lookAgain = true;
        me.without.clear();
        settleRules();
    }

    private void settleRules() {
        for (int i = 0; i < rules.size();) {
            Rule r = rules.get(i);
            if (r.when().getAsBoolean()) {
                r.then().run();
                i = 0;
            } else {
                i++;
            }
        }
    }

    private boolean asks() {
        return me.terms.text("discovery", "push").equals("ask");
    }

    private boolean listWanted() {
        return asks() && !me.following && !me.asked && me.now.compareTo(me.askListAt) >= 0;
    }

    private void askForList() {
        me.asked = true;
        door.follow(true);
    }

    /** Rule 3 where the list must be asked for: silence for long enough counts as having been told. */
    private boolean listTrusted() {
        // The rule gives four times as long after a call that failed, and only such calls leave it unheard.
        Duration told = me.terms.micros("obligations.askWithinUs", 1e7);
        return !asks() || me.following || since(me.heardListAt).compareTo(told.multipliedBy(4)) < 0;
    }

    private void tryOrHold(Vm vm) {
        if (me.now.compareTo(hopelessAt(vm)) >= 0 || spokenFor(vm) || !placeOrTell(vm)) {
            hold(vm);
        }
    }

    /** In groups of VMs that differ in nothing a machine is chosen by: one without room speaks for all. */
    private void hold(Vm vm) {
        if (me.now.compareTo(hopelessAt(vm)) >= 0) {
            giveUp(vm);
            return;
        }
        Flavour f = flavour(vm);
        Claim last = vm.last();
        // Where a claim may have run, earlier machines bind the choice too: such a VM speaks for itself only.
        Object own = f.effect != Effect.REBUILDABLE && mayHaveRun(vm) != null ? vm
                : last == null ? null : last.machine;
        long service = f.spread.equals("off") && !door.ruled(vm) ? 0L : vm.service;
        // Behind the others of its rank once its first start can hardly come in time: kept in the order of
        // arrival, an overload would make every start late.
        Duration inTime = vm.arrivedAt.plus(times(f.target, 3.0 / 4));
        boolean late = vm.cameBack || me.now.compareTo(inTime) >= 0;
        me.held.add(vm, 2 * f.rank + (late ? 0 : 1),
                List.of(vm.kin(), vm.cores, vm.memory, service, Optional.ofNullable(own), late),
                late ? hopelessAt(vm) : Collections.min(List.of(inTime, hopelessAt(vm))));
    }

    /**
     * Once an instant, whatever is due to be given up or to count as late first; then each group is asked
     * through its oldest VM, by priority, late ones behind, then by age, and asked again only while its VMs
     * find room. So the work for one input grows with the number of shapes held, not of VMs.
     */
    private void tryHeld() {
        me.lookAgain = false;
        me.lookedAt = me.now;
        for (Vm vm = me.held.due(me.now); vm != null; vm = me.held.due(me.now)) {
            hold(vm);
        }
        for (Vm vm = me.held.after(null); vm != null; vm = me.held.after(vm)) {
            if (!spokenFor(vm) && placeOrTell(vm)) {
                me.held.remove(vm);
            }
        }
    }

    private boolean placeOrTell(Vm vm) {
        Machine m = pick(vm);
        boolean plain = vm.claims.isEmpty() && flavour(vm).spread.equals("off")
                && !me.refusedAt.containsKey(vm.kin()) && !door.ruled(vm);
        if (m != null) {
            claim(vm, m);
        } else if (plain || noRoomFor(vm)) {
            me.without.add(vm);
        }
        return m != null;
    }

    /** Not for its claims, refusals or its service's spread, but as no machine has room for so much. */
    private boolean noRoomFor(Vm vm) {
        Flavour f = flavour(vm);
        return withRoom(vm, me.machines.stream().filter(m -> open(f, m)).toList()).isEmpty();
    }

    /** A VM of the flavour that asks for no more found no room since anything could have grown it. */
    private boolean spokenFor(Vm vm) {
        for (Vm o : me.without) {
            if (o.flavour.equals(vm.flavour) && o.cores <= vm.cores && o.memory <= vm.memory) {
                return true;
            }
        }
        return false;
    }

    /** Regular room, and only failing that opportunistic room; among what has it, the picker. */
    private Machine pick(Vm vm) {
        Claim last = vm.last();
        // The last claim waits after a refusal: spent at once, all of them fall on the same late list.
        boolean waits = last != null && last.end == End.FULL
                && vm.claims.size() + 1 >= me.terms.num("caps.mostTries", 4)
                && me.now.minus(last.sentAt).compareTo(times(settle, 1.0 / 6)) < 0;
        if (waits || !listTrusted()) {
            return null;
        }
        if (!me.now.equals(summedAt)) {
            summedAt = me.now;
            me.booked.removeIf(this::clearBooks);
            meanUse();
        }
        List<Machine> can = new ArrayList<>(me.machines);
        Flavour f = flavour(vm);
        can.removeIf(m -> !eligible(vm, f, m));
        // While such VMs are refused without a reason, those that took one lately come first: machines that
        // refuse stay empty, and by room alone would draw every try.
        boolean refused = since(me.refusedAt.get(vm.kin())).compareTo(times(settle, 2)) < 0;
        List<Machine> proven = refused ? can.stream().filter(m -> took(vm, m)).toList() : List.of();
        List<Machine> room = proven.isEmpty() ? proven : withRoom(vm, proven);
        // So do machines where the service runs or, by a hash that all placers share, should run.
        if (room.isEmpty()) {
            List<Machine> used = me.terms.num("prices.fleet", 0) > 0 ? narrow(can, this::inUse) : can;
            List<Machine> homes = Homes.of(vm.service, used, SAMPLE);
            room = withRoom(vm, narrow(used, m -> knowsProgram(m, vm.service) || homes.contains(m)));
        }
        // Where machines in use have a price, an empty one is opened only when none in use has room.
        if (room.isEmpty() && me.terms.num("prices.fleet", 0) > 0) {
            room = withRoom(vm, narrow(can, this::inUse));
        }
        room = room.isEmpty() ? withRoom(vm, can) : room;
        // Customers' preferences among what has room; all alike where there are none.
        double least = room.stream().mapToDouble(m -> door.unfit(vm, m)).min().orElse(0);
        room = narrow(room, m -> door.unfit(vm, m) <= least);
        room = shared(vm, narrow(room, m -> load(m) <= THRESHOLD), room);
        if (flavour(vm).kind == null) {
            // Kinds that some flavour cannot do without are spared, but not till the others are fuller.
            List<Machine> others = narrow(room, m -> !neededKinds.contains(m.kind));
            room = mean(others, this::load) <= mean(room, this::load) ? others : room;
        }
        room = narrow(room, m -> knowsProgram(m, vm.service));
        if (me.terms.num("prices.crossZone", 0) > 0) {
            room = narrow(room, m -> m.zone.equals(me.terms.text("zone", "")));
        }
        return room.isEmpty() ? null : leastGrieved(vm, room);
    }

    /** Regular room first; where none has it, opportunistic room (all flavours are opted in). */
    private List<Machine> withRoom(Vm vm, List<Machine> can) {
        List<Machine> room = shared(vm, having(can, m -> regularRoom(vm, m)), List.of());
        return room.isEmpty() ? having(can, m -> opportunisticRoom(vm, m)) : room;
    }

    /**
     * What all placers prefer by the same late list, others fill before the list tells: where they bind more
     * than the preferred machines have room for, only the part of the VMs that these can hold goes there.
     */
    private List<Machine> shared(Vm vm, List<Machine> preferred, List<Machine> otherwise) {
        double shown = preferred.stream().mapToDouble(m -> m.room).sum();
        return me.chance.next() * unseen(flavour(vm)) < shown ? preferred : otherwise;
    }

    /** Cores that others have bound since what the list shows, if all asked for is renewed each life. */
    private double unseen(Flavour f) {
        double n = me.placers;
        Duration age = since(me.heardListAt).plus(times(settle, 1.0 / 3));
        return askedCores / f.life * (n - 1) / n * seconds(age);
    }

    private static List<Machine> having(List<Machine> from, ToDoubleFunction<Machine> room) {
        List<Machine> some = new ArrayList<>();
        for (Machine m : from) {
            m.room = room.applyAsDouble(m) * m.cores;
            if (m.room > 0) {
                some.add(m);
            }
        }
        return some;
    }

    private static List<Machine> narrow(List<Machine> from, Predicate<Machine> to) {
        List<Machine> some = new ArrayList<>(from);
        some.removeIf(to.negate());
        return some.isEmpty() ? from : some;
    }

    /**
     * The picker's sample. Where none of the machines is known to have the program, those that rank first for
     * the service, by a hash that all placers share: so they meet where it runs without a word. Else drawn by
     * room: many placers see the same late list, and where each draws evenly, or takes the emptiest, all fill
     * the same few machines before the list shows it.
     */
    private Machine leastGrieved(Vm vm, List<Machine> room) {
        boolean known = knowsProgram(room.get(0), vm.service);
        List<Machine> homes = known ? room : Homes.of(vm.service, room, SAMPLE);
        Machine best = null;
        for (int i = 0; i < SAMPLE && i < room.size(); i++) {
            Machine drawn = known ? byRoom(room) : homes.get(i);
            if (best == null || pressure(drawn) < pressure(best)) {
                best = drawn;
            }
        }
        return best;
    }

    private Machine byRoom(List<Machine> room) {
        double at = me.chance.next() * room.stream().mapToDouble(m -> m.room).sum();
        Machine drawn = null;
        for (int k = 0; k < room.size() && at >= 0; k++) {
            drawn = room.get(k);
            at -= drawn.room;
        }
        return drawn;
    }

    private boolean eligible(Vm vm, Flavour f, Machine m) {
        return (m.refusals.isEmpty() || me.now.compareTo(refusal(vm.kin(), m).until) >= 0)
                && open(f, m) && allowedAgain(vm, f, m) && spreadKept(vm, f, m)
                && door.unfit(vm, m) < Double.POSITIVE_INFINITY;
    }

    /** Open to such VMs, whoever owns them, whatever became of their claims, wherever their service runs. */
    private boolean open(Flavour f, Machine m) {
        return m.listing == Listing.LIVE
                && (f.kind == null || f.kind.equals(m.kind))
                && me.now.compareTo(m.closedUntil) >= 0
                && coldPaceKept(m)
                && trusted(f, m);
    }

    /**
     * Refusals without a reason, by customer and flavour: a machine that is truly full says of what; one that
     * does not turns these away whatever its room. They leave it alone for spans that grow, and halve with
     * each VM taken; others go on. It also answers a quota or a wrong limit; it may hurt where reasons are
     * never told, as room that frees is then found later.
     */
    private static Machine.Refusal refusal(String kin, Machine m) {
        return m.refusals.computeIfAbsent(kin, k -> new Machine.Refusal());
    }

    private boolean took(Vm vm, Machine m) {
        return !m.refusals.isEmpty() && since(refusal(vm.kin(), m).tookAt).compareTo(times(settle, 4)) < 0;
    }

    /** Room as a share of the size, by the resource that has least; 0 where the VM does not fit. */
    private static double room(Vm vm, Machine m, double cores, double memory) {
        return vm.cores <= cores && vm.memory <= memory ? Math.min(cores / m.cores, memory / m.memory) : 0;
    }

    private double regularRoom(Vm vm, Machine m) {
        return me.terms.flag("extra.freeInList", false)
                ? room(vm, m, m.freeCores - m.sinceList.cores, m.freeMemory - m.sinceList.memory) : 0;
    }

    private double opportunisticRoom(Vm vm, Machine m) {
        Flavour f = flavour(vm);
        boolean late = since(vm.arrivedAt).compareTo(times(f.target, 1.0 / 8)) >= 0;
        // The more of what comes is of a lower flavour, the more of it must be kept from filling all.
        double part = f.rank < topRank ? Math.min(1, 2 * f.seen / Math.max(1, me.arrivals)) : 0;
        double mine = THRESHOLD - (THRESHOLD - SPARING) * part;
        double level = late ? crowd(f) : THRESHOLD;
        double moreCores = (me.terms.num("extra.admitCores", 1) - 1) * m.cores;
        double moreMemory = (me.terms.num("extra.memBooking", 1) - 1) * m.memory;
        double allowed = room(vm, m, m.freeCores + moreCores - m.sinceList.cores,
                m.freeMemory + moreMemory - m.sinceList.memory);
        return Math.min(allowed, room(vm, m, level * m.cores - useCores(m) - m.sinceReport.cores,
                mine * m.memory - useMemory(m) - m.sinceReport.memory));
    }

    /**
     * How busy cores may get for a VM held for a while: where its flavour's service fades slowly, up to the
     * level at which one more start is worth what it takes from those that run; else the threshold.
     */
    private double crowd(Flavour f) {
        double level = (f.calm + f.fade * (1 + f.startWorth / f.life)) / 2;
        return Math.max(THRESHOLD, Math.min(level, f.calm + f.fade));
    }

    /**
     * The share of the machine in use, by its last report or the mean, own binds since at learned use; or, if
     * that is more, the share of what it accepts that is asked there: near the top of it others come first.
     */
    private double load(Machine m) {
        double most = me.terms.num("extra.admitCores", 1) * m.cores;
        double mostMemory = me.terms.num("extra.memBooking", 1) * m.memory;
        double asked = Math.max((m.cores - m.freeCores + m.sinceList.cores) / most,
                (m.memory - m.freeMemory + m.sinceList.memory) / mostMemory);
        return Math.max(asked, Math.max((useCores(m) + m.sinceReport.cores * coresRatio.value) / m.cores,
                (useMemory(m) + m.sinceReport.memory * memoryRatio.value) / m.memory));
    }

    /** What the picker compares. A report of use past the threshold weighs like a note of pressure: where no
     * notes are sent, or none of our own VMs runs there to send one, it is all that tells of a crowd. */
    private double pressure(Machine m) {
        return grief(m) + Math.max(0, load(m) - THRESHOLD) / (1 - THRESHOLD);
    }

    /** Own binds leave the books once a list or report that can include them was heard, and not before. */
    private boolean clearBooks(Machine m) {
        Duration listed = me.heardListAt.minus(times(settle, 1.0 / 3));
        while (!m.sinceList.claims.isEmpty()
                && m.sinceList.claims.peekFirst().sentAt.compareTo(listed) < 0) {
            m.sinceList.remove(m.sinceList.claims.peekFirst());
        }
        Duration reported = fresh(m) ? m.reportedAt.minus(times(settle, 1.0 / 6)) : me.now.minus(settle);
        m.sinceReport.claims.stream()
                .filter(c -> c.end != null || c.runsAt != null && c.runsAt.compareTo(reported) < 0).toList()
                .forEach(m.sinceReport::remove);
        return m.sinceList.claims.isEmpty() && m.sinceReport.claims.isEmpty();
    }

    private boolean fresh(Machine m) {
        return m.reportedAt != null && !Double.isNaN(m.spareCores)
                && me.now.minus(m.reportedAt).compareTo(times(settle, 2)) < 0;
    }

    private double useCores(Machine m) {
        return fresh(m) ? usedCores(m) : blend(usedCores, m.cores, m.cores - m.freeCores, usedPerAsk);
    }

    private double useMemory(Machine m) {
        return fresh(m) ? usedMemory(m)
                : blend(usedMemory, m.memory, m.memory - m.freeMemory, usedPerAskMemory);
    }

    private double usedCores(Machine m) {
        double used = m.cores - m.spareCores;
        if (me.terms.text("extra.reportCounts", "used").equals("asked")) {
            used *= coresRatio.value;
        }
        return Double.isNaN(m.busy) ? used : Math.max(used, m.busy * m.cores);
    }

    private double usedMemory(Machine m) {
        double used = m.memory - m.spareMemory;
        return me.terms.text("extra.reportCounts", "used").equals("asked") ? used * memoryRatio.value : used;
    }

    /**
     * Use of a machine without a report: the mean of reported use, as far as the fleet reports. Where a
     * placer hears of few machines their mean says little; what the list tells to be asked counts instead.
     */
    private double blend(double meanUsed, double size, double asked, double perAsk) {
        return knownPart * meanUsed * size + (1 - knownPart) * asked * perAsk;
    }

    private void meanUse() {
        List<Machine> live = narrow(me.machines, m -> m.listing == Listing.LIVE && m.cores > 0);
        List<Machine> told = live.stream().filter(this::fresh).toList();
        fleetGrief = mean(live, this::sorrow);
        knownPart = told.size() / Math.max(1.0, live.size());
        askedCores = mean(live, m -> m.cores - m.freeCores) * live.size();
        usedCores = mean(told, m -> usedCores(m) / m.cores);
        usedMemory = mean(told, m -> usedMemory(m) / m.memory);
        double asked = mean(told, m -> 1 - m.freeCores / m.cores);
        double askedMemory = mean(told, m -> 1 - m.freeMemory / m.memory);
        // A note costs as one of 16 bytes or more, to each who hears it; a life is taken as four settlings.
        double starts = askedCores / me.terms.num("extra.meanCores", 1) / (4 * seconds(settle));
        double note = (me.placers - 1) * 16 / 256 * me.terms.num("prices.peer", 0);
        double every = Math.max(seconds(settle) / 6, live.size() * note / TALK / Math.max(1, starts));
        me.tellEvery = me.placers < 2 || every > seconds(settle) || !me.terms.flag("caps.peerMessages", false)
                ? null : seconds(every);
        usedPerAsk = asked > 0 ? usedCores / asked : coresRatio.value;
        usedPerAskMemory = askedMemory > 0 ? usedMemory / askedMemory : memoryRatio.value;
    }

    private static double mean(List<Machine> of, ToDoubleFunction<Machine> what) {
        return of.stream().mapToDouble(what).average().orElse(0);
    }

    private boolean inUse(Machine m) {
        return !m.placed.isEmpty() || m.freeCores < m.cores * 0.999;
    }

    private boolean knowsProgram(Machine m, long service) {
        Machine.Program p = m.programs.get(service);
        return p != null && (p.held > 0 || me.now.minus(p.lastHeld).compareTo(settle) < 0);
    }

    // ---- Claims and the second rule --------------------------------------------------------------------

    private void claim(Vm vm, Machine m) {
        Claim c = new Claim(vm, m, vm.claims.size(), me.now);
        c.programKnown = knowsProgram(m, vm.service);
        c.within = within(vm, c);
        vm.claims.add(c);
        m.sinceList.add(c);
        m.sinceReport.add(c);
        me.booked.add(m);
        m.waitingClaims.add(c);
        m.lastOfferAt = me.now;
        if (cold(m)) {
            m.coldOffers.addLast(me.now);
        }
        holds(c);
        door.claim(c, c.within);
    }

    private void holds(Claim c) {
        c.machine.placed.add(c);
        Machine.Program p = c.machine.programs.computeIfAbsent(c.vm.service, s -> new Machine.Program());
        p.held++;
        p.lastHeld = me.now;
        me.hosts.computeIfAbsent(c.vm.service, s -> new HashSet<>()).add(c.machine);
    }

    private Duration within(Vm vm, Claim c) {
        Flavour f = flavour(vm);
        double start = c.programKnown ? f.startWarm : f.startCold;
        Duration wait = f.effect == Effect.REBUILDABLE
                ? seconds(Math.max(2 * seconds(f.target), 4 * start)) : times(f.patience, 0.5);
        return Collections.min(List.of(wait, vm.deadline.minus(me.now)));
    }

    /** The first claim that may have run, or null. */
    private static Claim mayHaveRun(Vm vm) {
        return vm.claims.stream().filter(c -> !c.neverRan()).findFirst().orElse(null);
    }

    private boolean allowedAgain(Vm vm, Flavour f, Machine m) {
        Claim ran = mayHaveRun(vm);
        if (ran == null || f.effect == Effect.REBUILDABLE) {
            return vm.last() == null || vm.last().machine != m;
        }
        if (f.effect == Effect.ONE_SHOT || me.now.compareTo(ran.sentAt.plus(f.window)) >= 0) {
            return false;
        }
        return vm.claims.stream().allMatch(c -> c.neverRan() || m.together(f.group, c.machine));
    }

    private boolean mayDeny(Vm vm) {
        Flavour f = flavour(vm);
        return f.effect == Effect.REBUILDABLE || mayHaveRun(vm) == null
                || f.effect == Effect.TOKENED && f.group.equals("all");
    }

    /** When nothing more can be done for it, or it was held for as long as a VM is held. */
    private Duration hopelessAt(Vm vm) {
        Flavour f = flavour(vm);
        if (me.stopping || vm.claims.size() >= me.terms.num("caps.mostTries", 4)) {
            return Duration.ZERO;
        }
        Duration most = vm.arrivedAt.plus(times(vm.deadline.minus(vm.arrivedAt), 7.0 / 8));
        Claim ran = f.effect == Effect.REBUILDABLE ? null : mayHaveRun(vm);
        if (ran == null) {
            return most;
        }
        Duration window = ran.sentAt.plus(f.window);
        return f.effect == Effect.ONE_SHOT ? Duration.ZERO : window.compareTo(most) < 0 ? window : most;
    }

    private void giveUp(Vm vm) {
        vm.over = true;
        if (mayDeny(vm)) {
            door.deny(vm, me.terms.flag("caps.retryAfter", false) ? flavour(vm).target : Duration.ZERO);
        } else {
            door.error(vm);
        }
    }

    private void setWake() {
        // In time for the shortest build timeout: a wake counted in ticks came too late where those are long.
        double shortest = flavours.values().stream().mapToDouble(f -> seconds(f.patience)).min().orElse(1);
        me.wakeAt = me.now.plus(seconds(shortest / 32));
        door.wake(me.wakeAt.minus(me.now));
    }


    /** Rule 5: what this placer has of the service in one place, with this one, stays within the most. */
    private boolean spreadKept(Vm vm, Flavour f, Machine m) {
        if (f.spread.equals("off")) {
            return true;
        }
        int there = 1;
        for (Machine o : me.hosts.getOrDefault(vm.service, Set.of())) {
            there += m.together(f.spread, o) ? o.programs.get(vm.service).held : 0;
        }
        return there <= f.most;
    }

    private boolean cold(Machine m) {
        return m.startedAt != null
                && me.now.minus(m.startedAt).compareTo(me.terms.micros("obligations.warmAfterUs", 2e7)) < 0;
    }

    /**
     * Rule 4, and the design's warm-up pace: this placer's part of the offers that a machine which just came
     * up bears, rising with its age from turn to turn. Where it is under one, placers take turns by position,
     * at each machine at another time: else, after an outage, a placer's turn comes everywhere at once.
     */
    private boolean coldPaceKept(Machine m) {
        if (!cold(m)) {
            return true;
        }
        Duration span = me.terms.micros("obligations.overloadForUs", 1e6);
        while (!m.coldOffers.isEmpty() && m.coldOffers.peekFirst().plus(span).compareTo(me.now) <= 0) {
            m.coldOffers.removeFirst();
        }
        // What an earlier life of this placer sent there is not known: taken as its part of a span.
        if (since(me.startedAt).compareTo(span) < 0 && m.startedAt.compareTo(me.startedAt) < 0) {
            return false;
        }
        long turn = me.now.minus(m.startedAt).toNanos() / span.toNanos();
        double age = turn * seconds(span) / seconds(me.terms.micros("obligations.warmAfterUs", 2e7));
        double from = me.terms.num("obligations.coldFrom", 0.2);
        double pace = Math.max(0.5, from + (1 - from) * age);
        double part = pace * me.terms.num("extra.coldBears", 1) / me.placers;
        if (part >= 1) {
            return m.coldOffers.size() < (int) part;
        }
        long turns = (long) Math.ceil(2 / part);
        return m.coldOffers.isEmpty() && (turn + m.id) % turns == (long) me.terms.num("position", 0) % turns;
    }

    // ---- Health ----------------------------------------------------------------------------------------

    private void grieve(Machine m, double by) {
        m.grief = grief(m) + by;
        m.griefAt = me.now;
    }

    /** Recent trouble, halved over each settling time. */
    private double grief(Machine m) {
        return m.grief == 0 ? 0 : m.grief * Math.pow(2, -seconds(me.now.minus(m.griefAt)) / seconds(settle));
    }

    /** How long the oldest claim there waits for an answer, in usual starts. */
    private double silence(Machine m) {
        if (m.waitingClaims.isEmpty()) {
            return 0;
        }
        Claim c = m.waitingClaims.iterator().next();
        Flavour f = flavour(c.vm);
        double usual = Math.max(seconds(f.target), 2 * (c.programKnown ? f.startWarm : f.startCold));
        return seconds(me.now.minus(c.sentAt)) / usual;
    }

    private double sorrow(Machine m) {
        return grief(m) + (silence(m) > 1 ? SHUNNED : 0);
    }

    /** A machine that stands out by its troubles gets one rebuildable VM at a time, until they fade. */
    private boolean trusted(Flavour f, Machine m) {
        double sorrow = sorrow(m);
        return sorrow < SHUNNED || sorrow < SHUNNED * fleetGrief
                || f.effect == Effect.REBUILDABLE && m.waitingClaims.isEmpty()
                && since(m.lastOfferAt).compareTo(times(settle, 1.0 / 2)) > 0;
    }

    private void blame(Claim c, End end, Why why, boolean wasBound) {
        Machine m = c.machine;
        if (c.vm.moved || end == End.DONE || end == End.CANCELLED || end == End.MOOT) {
            return;
        }
        if (end == End.FULL && why == Why.UNTOLD || end == End.ERROR && !wasBound) {
            Machine.Refusal r = refusal(c.vm.kin(), m);
            double spans = 4 * seconds(r.span) / seconds(settle);
            r.span = seconds(Math.max(2, Math.min(spans, 8)) * seconds(settle));
            r.until = me.now.plus(r.span);
            r.tookAt = null;
            if (end == End.FULL) {
                me.refusedAt.put(c.vm.kin(), me.now);
            } else {
                grieve(m, 0.5);
            }
            int kin = kins.indexOf(c.vm.kin());
            if (kin >= 0) {
                tell(m, "" + Note.whole(kin));
            }
        } else if (end == End.FULL) {
            m.closedUntil = me.now.plus(times(why == Why.LINE_FULL ? flavour(c.vm).target : settle, 0.5));
            grieve(m, 0.5);
        } else if (end == End.RESET && wasBound && why != Why.UNTOLD) {
            grieve(m, why == Why.EVICTED ? 1 : 0);
        } else {
            grieve(m, wasBound ? 0.5 : 2);
            if (end == End.UNREACHABLE && me.now.compareTo(m.closedUntil) >= 0) {
                tell(m, "");
            }
            if (end == End.UNREACHABLE || wasBound) {
                // Down, however the rest of the fleet fares (a VM lost without a word tells it first): each
                // knock waits longer, so that a mass outage burns no claims. A new start opens it.
                double spans = Math.min(grief(m), 4 * SHUNNED) / 4;
                m.closedUntil = me.now.plus(seconds(spans * seconds(settle) / 2));
            }
        }
    }

    private void started(Claim c) {
        Flavour f = flavour(c.vm);
        c.runsAt = me.now;
        double took = seconds(me.now.minus(c.sentAt));
        if (c.programKnown) {
            f.startWarm += (took - f.startWarm) / 16;
        } else {
            f.startCold += (took - f.startCold) / 16;
        }
        if (took > seconds(f.target)) {
            grieve(c.machine, 0.3);
        } else {
            grieve(c.machine, -grief(c.machine) / 5);
        }
    }

    /**
     * Probes the machine whose report is oldest, if it is old and a probe a VM has been earned. Seldom looked
     * for again where none was stale: no input may cost work that grows with the fleet.
     */
    private void probeStale() {
        Duration stale = times(settle, 1.0 / 2);
        me.probeAt = me.now.plus(times(stale, 1.0 / 8));
        if (!me.terms.flag("caps.probes", false) || me.terms.text("loadReport.via", "off").equals("off")) {
            return;
        }
        Machine oldest = null;
        // From a place of this placer's own: else all ask the first of the list and most are never asked.
        int from = (int) (me.chance.next() * me.machines.size());
        for (int i = 0; i < me.machines.size(); i++) {
            Machine m = me.machines.get((from + i) % me.machines.size());
            if (m.listing == Listing.LIVE && !m.probing && since(m.probedAt).compareTo(stale) > 0
                    && since(m.reportedAt).compareTo(stale) > 0
                    && (oldest == null || since(m.reportedAt).compareTo(since(oldest.reportedAt)) > 0)) {
                oldest = m;
            }
        }
        if (oldest != null && me.probes < me.arrivals) {
            me.probes++;
            oldest.probing = true;
            oldest.probedAt = me.now;
            door.probe(oldest);
            me.probeAt = me.now.plusNanos(1);
        }
    }

    private Duration since(Duration then) {
        return then == null ? me.now : me.now.minus(then);
    }

    private Flavour flavour(Vm vm) {
        return flavours.get(vm.flavour);
    }
}
