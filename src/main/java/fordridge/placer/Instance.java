package fordridge.placer;

import fordridge.Logic;
import fordridge.constraint.Book;
import fordridge.constraint.Plan;
import fordridge.constraint.Rule;
import fordridge.constraint.Together;
import fordridge.door.Door;
import fordridge.feed.Feed;
import fordridge.feed.Inputs;
import fordridge.group.Group;
import fordridge.link.Link;
import fordridge.link.RollCall;
import fordridge.listing.MachineList;
import fordridge.obs.Meters;
import fordridge.rpc.ClientService;
import fordridge.rpc.MachineStream;
import fordridge.rpc.NotePost;
import fordridge.rpc.OperateService;
import fordridge.rpc.Telling;
import fordridge.session.Answer;
import fordridge.session.Lateness;
import fordridge.session.Session;
import fordridge.session.Sessions;
import fordridge.settings.Deployment;
import fordridge.settings.ModuleTerms;
import fordridge.state.Chance;
import fordridge.state.Claim;
import fordridge.state.Claim.End;
import fordridge.state.Claim.Why;
import fordridge.state.Machine;
import fordridge.state.Vm;
import fordridge.v1.FromMachine;
import fordridge.v1.Holding;
import fordridge.v1.Note;
import fordridge.v1.Offer;
import fordridge.v1.Want;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * One placer: its module, its sessions and its links on one event loop. Inputs are entered one after another in the
 * order in which the loop met them, each at the time of a clock that only goes forward; what the module does while
 * one is entered is carried out at once, and what follows from that is entered behind it. It decides nothing.
 */
final class Instance implements Door, ClientService.Desk, Link.Fate, OperateService.Books {
    private static final Logger LOG = LoggerFactory.getLogger("fordridge.placer");

    private static final Duration FEELS = Duration.ofMillis(25);

    /** A machine as this instance reaches it. */
    private final class Reach implements MachineStream.Heard, Telling.Further {
        final String name;
        final Machine machine;
        final MachineStream stream;
        final Link link;
        Duration tickAt;

        Reach(String name, Machine machine) {
            this.name = name;
            this.machine = machine;
            stream = new MachineStream(Instance.this.name, loop, d.connectTimeout, d.keepalive, d.maxMessage, this,
                    Instance.this::describe);
            link = new Link(machine, manners, stream, Instance.this, new Chance(seed ^ machine.id));
        }

        @Override
        public void holding(Holding h) {
            enter(() -> {
                Telling.holding(h, link, now);
                rollCall.settled(machine);
                callSome();
            });
        }

        @Override
        public void said(FromMachine m) {
            enter(() -> Telling.said(m, link, stream, this, now));
        }

        @Override
        public void ready() {
            enter(() -> link.ready(now));
        }

        @Override
        public void broke(String why) {
            enter(() -> {
                link.broke(why, now);
                rollCall.failed(machine);
                callSome();
            });
        }

        @Override
        public void report(double spareCores, double spareMemory, double busy) {
            feed.report(machine, spareCores, spareMemory, busy, now);
            seen(w -> w.report(name, spareCores, spareMemory, busy, now));
        }

        @Override
        public void reported() {
            feed.logic.reported(machine);
            seen(w -> w.reported(name));
        }

        @Override
        public void note(Link.Name named, Note.What what, double amount) {
            Claim c = link.claim(named);
            if (c == null) {
                return;
            }
            switch (what) {
                case CORES -> both(c, (l, of) -> l.usesCores(of, amount));
                case MEMORY -> both(c, (l, of) -> l.usesMemory(of, amount));
                case SERVICE -> both(c, (l, of) -> l.served(of, amount));
                case PRESSURE -> both(c, (l, of) -> l.pressed(of, amount));
                default -> { }
            }
        }

        @Override
        public void wrong(String what) {
            line(Level.WARN, "machine says what it may not: " + what, null, machine);
            stream.close("said what it may not");
            link.broke(what, now);
        }
    }

    /** Its settings under the cluster's terms of now. */
    private Deployment d;
    final String name;
    final EventLoop loop;
    /** Where long questions are thought about, off the loop. */
    private final Executor thinker;
    private final long seed;
    private final int position;
    private final Meters meters;
    private final Link.Manners manners;
    private final Feed<String> feed;
    private final Sessions sessions;
    private final Groups groups = new Groups(new Hands());
    private final Lateness lateness = new Lateness(Duration.ofSeconds(2));
    private Book book;
    private int rulesVersion;
    private final Map<Session, ClientService.Stream> streams = new LinkedHashMap<>();
    private final Set<Session> talkative = new LinkedHashSet<>();
    private final Map<Machine, Reach> reaches = new HashMap<>();
    /** Whose each VM is. */
    private final Map<Vm, String> owners = new HashMap<>();
    private final Inputs inputs = new Inputs(System::nanoTime, this::turn, e ->
            // This one is lost to the module, those behind it are not; its VM is answered by its time-out.
            LOG.atError().addKeyValue("placer", this.name()).setCause(e).log("an input failed"));
    private final Instant startedAt = Instant.now();
    private Duration now = Duration.ZERO;
    /** Machines that were asked once what they hold of this placer. */
    private final Map<String, Book.Spot> spots = new LinkedHashMap<>();
    private final Set<String> draining = new LinkedHashSet<>();
    private final Set<Machine> called = new HashSet<>();
    private final RollCall rollCall = new RollCall();
    private CompletableFuture<Void> stopped;
    private int shared;
    private boolean listOld = true;
    /** Looks on under the terms of a move to come; null for none. */
    private Watch watch;
    private NotePost notes;

    Instance(Deployment d, Deployment watched, int position, String name, long seed, EventLoop loop, Executor thinker,
            Meters meters) {
        this.d = d;
        this.thinker = thinker;
        this.name = name;
        this.seed = seed;
        this.loop = loop;
        this.meters = meters;
        manners = new Link.Manners(d.connectTimeout, d.idle, d.retryLeast, d.retryMost, d.unsure, d.connectTimeout,
                d.line, d.yes.equals("accepted"));
        feed = new Feed<>(this, Feed::number);
        try {
            book = new Book(List.of(), d.allPlacers());
        } catch (Book.Unkeepable e) {
            throw new IllegalStateException(e);
        }
        sessions = new Sessions(new Sessions.Bounds(d.maxOpen, d.open, d.unread, d.keepAnswers, d.keep), seed);
        this.position = position;
        loop.execute(() -> enter(() -> {
            feed.logic.start(seed, ModuleTerms.of(d, position));
            if (watched != null) {
                watch = new Watch(d, watched, position, seed, Feed::number, meters, this::at,
                        m -> reaches.get(m).name, feed::machine, this);
            }
        }));
        loop.scheduleAtFixedRate(() -> enter(() -> sessions.expire(now)), 1, 1, TimeUnit.SECONDS);
        feelLateness();
    }

    // ---- The order of inputs ---------------------------------------------------------------------------

    private void turn(Duration at) {
        now = at;
        feed.logic.at(now);
        seen(w -> w.at(now));
    }

    private void enter(Runnable input) {
        long from = System.nanoTime();
        if (!inputs.enter(input)) {
            return;
        }
        meters.decided(System.nanoTime() - from);
        while (!talkative.isEmpty()) {
            Session s = talkative.iterator().next();
            talkative.remove(s);
            ClientService.Stream stream = streams.get(s);
            if (stream != null) {
                stream.pump();
            }
        }
        if (stopped != null && sessions.inHand() == 0) {
            stopped.complete(null);
        }
    }

    /** What the module heard is told to the one that looks on; should it fail, it is let go of and ours goes on. */
    private void seen(Consumer<Watch> what) {
        if (watch != null) {
            try {
                what.accept(watch);
            } catch (RuntimeException e) {
                watch = null;
                LOG.atError().addKeyValue("placer", name).setCause(e).log("watching ends: it failed on an input");
            }
        }
    }

    private void decide(Vm vm) {
        seen(w -> w.arrives(vm));
        feed.logic.arrives(vm);
        seen(w -> w.arrived(vm));
    }

    private void both(Claim c, BiConsumer<Logic, Claim> what) {
        what.accept(feed.logic, c);
        seen(w -> w.told(c.vm, what));
    }

    private void feelLateness() {
        long due = System.nanoTime() + FEELS.toNanos();
        loop.schedule(() -> {
            lateness.seen(Duration.ofNanos(Math.max(0, System.nanoTime() - due)), clock());
            feelLateness();
        }, FEELS.toNanos(), TimeUnit.NANOSECONDS);
    }

    private Duration clock() {
        return inputs.clock();
    }

    private void at(Duration in, Runnable input) {
        loop.schedule(() -> enter(input), Math.max(0, in.toNanos()), TimeUnit.NANOSECONDS);
    }

    /** Lets a link's own time pass when it is due. */
    private void watch(Reach r) {
        Duration due = r.link.due();
        if (due != null && (r.tickAt == null || due.compareTo(r.tickAt) < 0)) {
            r.tickAt = due;
            at(due.minus(now), () -> {
                r.tickAt = null;
                r.link.tick(now);
                if (r.link.phase() == Link.Phase.WAITING) {
                    rollCall.failed(r.machine);
                    callSome();
                }
                watch(r);
            });
        }
    }

    // ---- The list --------------------------------------------------------------------------------------

    void list(MachineList.Update list) {
        loop.execute(() -> enter(() -> listed(list)));
    }

    /** How many placers share the cluster, where the list's source counts them. */
    void shared(int among) {
        loop.execute(() -> {
            if (among > 0 && among != shared) {
                shared = among;
                enter(() -> {
                    feed.logic.shared(among);
                    seen(w -> w.shared(among));
                });
            }
        });
    }

    private void listed(MachineList.Update list) {
        List<Feed.Line<String>> lines = new ArrayList<>(list.entries().size());
        Map<Machine, Machine.Listing> told = new HashMap<>();
        for (MachineList.Entry e : list.entries()) {
            Reach r = reach(e.name());
            told.put(r.machine, e.listing());
            r.stream.address(e.address());
            lines.add(new Feed.Line<>(e.name(), e.zone(), e.kind(), e.cell(), e.freeCores(), e.freeMemory(),
                    e.listing(), e.started() == null ? null : Duration.between(startedAt, e.started())));
        }
        for (Reach r : list.whole() ? List.copyOf(reaches.values()) : told.keySet().stream().map(reaches::get).toList()) {
            Machine.Listing listing = told.getOrDefault(r.machine, Machine.Listing.GONE);
            r.link.listed(listing == Machine.Listing.GONE, now);
            if (listing != Machine.Listing.LIVE) {
                r.link.drains();
            }
            if (listing == Machine.Listing.GONE) {
                rollCall.settled(r.machine);
            } else if (called.add(r.machine)) {
                // What an earlier life of this placer left running is asked for once, spread over a settling time.
                at(Duration.ofMillis(Math.floorMod(r.machine.id ^ seed, d.settle.toMillis())), () -> {
                    rollCall.due(r.machine);
                    callSome();
                });
            }
            watch(r);
        }
        rollCall.begins(told.keySet());
        told.forEach((m, listing) -> {
            if (listing == Machine.Listing.GONE) {
                rollCall.settled(m);
            }
        });
        if (standElsewhere(list)) {
            book.machines(spots.values());
            book.draining(draining);
            groups.letGoOfPlans();
        }
        feed.list(list.whole(), list.old(), lines);
        seen(w -> w.list(list.whole(), list.old(), lines));
        listOld = list.old();
        if (listOld && d.listComes.equals("ask")) {
            feed.logic.listFailed();
        }
    }

    /** Whether machines came, went, were relabelled or drain: the rules' book is told only then, as it counts all anew. */
    private boolean standElsewhere(MachineList.Update list) {
        boolean news = false;
        Set<String> named = new HashSet<>();
        for (MachineList.Entry e : list.entries()) {
            named.add(e.name());
            Book.Spot spot = e.listing() == Machine.Listing.GONE ? null
                    : new Book.Spot(e.name(), e.kind(), e.zone(), e.cell());
            Book.Spot was = spot == null ? spots.remove(e.name()) : spots.put(e.name(), spot);
            news |= !java.util.Objects.equals(was, spot);
            news |= e.listing() == Machine.Listing.DRAINING ? draining.add(e.name()) : draining.remove(e.name());
        }
        return list.whole() && spots.keySet().removeIf(n -> !named.contains(n)) || news;
    }

    private void callSome() {
        for (Object m = rollCall.next(); m != null; m = rollCall.next()) {
            Reach r = reaches.get(m);
            r.link.call(now);
            watch(r);
        }
    }

    private Reach reach(String machine) {
        Machine m = feed.machine(machine);
        return reaches.computeIfAbsent(m, x -> new Reach(machine, x));
    }

    // ---- Customers' rules ------------------------------------------------------------------------------

    /** A new set takes effect at once for all that is placed from here on; what runs and no longer fits is named. */
    void rules(List<Rule> rules, int version) {
        loop.execute(() -> enter(() -> {
            try {
                book = book.with(rules, d.allPlacers());
                rulesVersion = version;
                groups.letGoOfPlans();
                book.misfits().forEach((claim, why) -> line(Level.WARN, "runs where rules of version " + version
                        + " would not let it go: " + why.get(0).rule().name(), ((Claim) claim).vm,
                        ((Claim) claim).machine));
                line(Level.INFO, "rules of version " + version + " in force: " + rules.size(), null, null);
                feed.logic.reported(null);
                seen(w -> w.reported(null));
            } catch (Book.Unkeepable e) {
                line(Level.ERROR, "rules stay as they were: " + e.getMessage(), null, null);
            }
        }));
    }

    /** Other terms of the cluster hold for all that comes from here on. */
    void terms(Deployment next) {
        loop.execute(() -> enter(() -> {
            d = next;
            feed.logic.told(ModuleTerms.of(next, position));
        }));
    }

    @Override
    public Book book() {
        return book;
    }

    @Override
    public int rulesVersion() {
        return rulesVersion;
    }

    @Override
    public List<String> machines() {
        return List.copyOf(spots.keySet());
    }

    @Override
    public List<String> named(Object claim) {
        Claim c = (Claim) claim;
        return List.of(c.vm.id, reaches.get(c.machine).name);
    }

    @Override
    public OperateService.Running running(String id) {
        Vm vm = feed.vm(id);
        Claim c = vm == null || vm.claims.isEmpty() ? null : vm.claims.get(vm.claims.size() - 1);
        return c == null || !c.out() ? null : new OperateService.Running(c, vm.customer, vm.flavour, vm.service,
                reaches.get(c.machine).name);
    }

    @Override
    public double unfit(Vm vm, Machine m) {
        if (book.rules().isEmpty()) {
            return 0;
        }
        String machine = reaches.get(m).name;
        if (!(groups.settlesNear(vm) ? book.allowsButNear(vm.customer, vm.flavour, vm.service, machine)
                : book.allows(vm.customer, vm.flavour, vm.service, machine))) {
            return Double.POSITIVE_INFINITY;
        }
        return groups.unfit(vm, spots.get(machine)) + book.unfit(vm.customer, vm.flavour, vm.service, machine);
    }

    @Override
    public boolean ruled(Vm vm) {
        return book.touches(vm.customer, vm.flavour, vm.service);
    }

    private void placeTaken(Claim c) {
        book.goes(c, c.vm.customer, c.vm.flavour, c.vm.service, reaches.get(c.machine).name);
    }

    @Override
    public void cleared(Claim c) {
        inputs.behind(() -> {
            if (!c.out()) {
                book.gone(c);
                feed.logic.reported(c.machine);
                seen(w -> w.reported(reaches.get(c.machine).name));
            }
        });
    }

    // ---- Clients ---------------------------------------------------------------------------------------

    @Override
    public String name() {
        return name;
    }

    @Override
    public Session hello(String client, String token, long seen, ClientService.Stream stream) {
        now = clock();
        Session s = sessions.hello(client, token, seen, now);
        ClientService.Stream old = streams.put(s, stream);
        if (old != null && old != stream) {
            old.replaced();
        }
        streams.keySet().removeIf(o -> o != s && o.client.equals(client));
        return s;
    }

    @Override
    public boolean resumed(Session session, String token) {
        return sessions.resumed(session, token);
    }

    @Override
    public boolean acknowledge(Session session, long seen) {
        return sessions.acknowledge(session, seen);
    }

    @Override
    public boolean mayRead(Session session) {
        return sessions.mayRead(session);
    }

    @Override
    public void away(Session session, ClientService.Stream stream) {
        if (streams.remove(session, stream)) {
            now = clock();
            sessions.away(session, now);
        }
    }

    @Override
    public void want(Session s, Want w) {
        enter(() -> wanted(s, w));
    }

    private void wanted(Session s, Want w) {
        Deployment.Flavour f = d.flavours.get(w.getFlavour());
        Sessions.Taken taken = sessions.want(s, w.getVm(), now);
        talkative.add(s);
        if (taken == Sessions.Taken.KNOWN) {
            return;
        }
        String no = taken == Sessions.Taken.OVER ? "too many VMs in hand" : stopped != null ? "the placer is stopping"
                : f == null ? "flavour '" + w.getFlavour() + "' is not one of " + d.flavours.keySet()
                : conflict(w);
        if (no != null) {
            sessions.refuse(s, Answer.denied(w.getVm(), f == null ? Duration.ZERO : f.buildTarget(), no), now);
            meters.answered("denied");
            return;
        }
        Vm vm = new Vm(s.client + "/" + w.getVm());
        vm.flavour = f.name();
        vm.customer = w.getCustomer();
        vm.service = w.getService();
        vm.cores = w.getCores();
        vm.memory = w.getMemory();
        vm.cameBack = w.getAgain();
        vm.arrivedAt = now;
        Duration left = w.getTimeLeftUs() == 0 ? f.buildTimeout() : Duration.ofNanos(w.getTimeLeftUs() * 1000);
        left = left.compareTo(f.buildTimeout()) > 0 ? f.buildTimeout() : left;
        vm.deadline = now.plus(left).minus(d.answerMargin).minus(lateness.allowance(now));
        vm.lasts = w.getLastsUs() > 0 ? Duration.ofNanos(w.getLastsUs() * 1000) : null;
        owners.put(vm, s.client);
        // Should the module fail on an input, nobody is left without an answer: this one promises nothing.
        at(vm.deadline.minus(now).plus(d.answerMargin.dividedBy(2)), () -> {
            if (sessions.waits(s.client, w.getVm())) {
                say(vm, Answer.Kind.ERRORED, Answer.errored(w.getVm(), "no decision in time"));
                line(Level.ERROR, "no decision in time", vm, null);
            }
        });
        if (w.getGroup().isEmpty()) {
            arrives(vm, s, w.getVm(), !f.rebuildable() && s.strayed());
            return;
        }
        if (!f.rebuildable() && s.strayed() && !rollCall.complete()) {
            say(vm, Answer.Kind.ERRORED, Answer.errored(w.getVm(), "it may run since before this placer's start"));
            owners.remove(vm);
            return;
        }
        at(Group.gaveUpAfter(vm.deadline.minus(now)), () -> groups.due(vm));
        String apart = groups.join(vm, s.client, w.getGroup(), w.getGroupSize(), f.rebuildable());
        if (apart != null) {
            say(vm, Answer.Kind.DENIED, Answer.denied(w.getVm(), Duration.ZERO, apart));
            owners.remove(vm);
        }
    }

    /** What a group does to its members, carried out. */
    private final class Hands implements Groups.Hands {
        @Override
        public void plan(List<Vm> members, Consumer<Plan> then) {
            if (members.stream().noneMatch(Instance.this::ruled)) {
                then.accept(Plan.free(members.stream().map(v -> v.id).toList()));
                return;
            }
            List<Together.Part> parts = members.stream().map(v -> new Together.Part(v.id, v.customer, v.flavour,
                    v.service, v.cores, v.memory)).toList();
            Together spare = book.together(parts, name -> {
                Machine m = feed.machine(name);
                return new Together.Room(m.freeCores - m.sinceList.cores, m.freeMemory - m.sinceList.memory);
            });
            Together empty = book.together(parts, name -> {
                Machine m = feed.machine(name);
                return new Together.Room(m.cores, m.memory);
            });
            long until = System.nanoTime() + Plan.THINKS.toNanos();
            Plan free = Plan.free(members.stream().map(v -> v.id).toList());
            try {
                thinker.execute(() -> think(() -> Plan.of(spare, empty, parts, () -> System.nanoTime() - until > 0),
                        free, then));
            } catch (RejectedExecutionException e) {
                // Too many wait to be thought about: these go as VMs that no plan binds.
                then.accept(free);
            }
        }

        private void think(Supplier<Plan> about, Plan otherwise, Consumer<Plan> then) {
            Plan plan;
            try {
                plan = about.get();
            } catch (RuntimeException e) {
                LOG.atError().addKeyValue("placer", name).setCause(e).log("a group could not be thought about");
                plan = otherwise;
            }
            Plan settled = plan;
            try {
                loop.execute(() -> enter(() -> then.accept(settled)));
            } catch (RejectedExecutionException e) {
                LOG.debug("the placer ended while a group was thought about");
            }
        }

        @Override
        public void arrive(Vm vm) {
            feed.add(vm);
            decide(vm);
        }

        @Override
        public void say(Vm vm, Answer answer) {
            meters.answered(answer.kind().name().toLowerCase());
            Instance.this.say(vm, answer.kind(), answer);
        }

        @Override
        public void stop(Vm vm) {
            if (vm.placed != null && vm.placed.out()) {
                reaches.get(vm.placed.machine).link.stop(vm.placed, now);
            }
        }

        @Override
        public boolean callOff(Vm vm) {
            feed.logic.left(vm);
            seen(w -> w.left(vm));
            for (Claim c : List.copyOf(vm.claims)) {
                if (c.out()) {
                    giveUp(c, End.CANCELLED);
                }
            }
            return vm.claims.stream().anyMatch(c -> !c.neverRan());
        }

        @Override
        public void forget(Vm vm) {
            inputs.behind(() -> {
                groups.drop(vm);
                Instance.this.forget(vm);
                if (feed.vm(vm.id) == null) {
                    owners.remove(vm);
                }
            });
        }

        @Override
        public String owned(Vm vm) {
            return Instance.owned(vm, owners.get(vm));
        }
    }

    /**
     * Hands a VM to the module; one that an earlier life of this placer may have started, and that must not run twice,
     * only once every machine has said what it holds.
     */
    private void arrives(Vm vm, Session s, String id, boolean mayRunUnseen) {
        if (!mayRunUnseen || rollCall.complete()) {
            if (sessions.waits(s.client, id)) {
                feed.add(vm);
                decide(vm);
            }
        } else if (now.compareTo(vm.deadline) < 0) {
            at(d.poll, () -> arrives(vm, s, id, true));
        } else if (sessions.waits(s.client, id)) {
            meters.answered("errored");
            say(vm, Answer.Kind.ERRORED, Answer.errored(id, "it may run since before this placer's start; not every "
                    + "machine has said what it holds"));
            owners.remove(vm);
        }
    }

    @Override
    public void unwant(Session s, String id) {
        enter(() -> {
            Vm vm = feed.vm(s.client + "/" + id);
            sessions.unwant(s, id, now);
            Vm member = groups.member(s.client + "/" + id);
            if (member != null) {
                group(member, g -> g.left(member.id));
                if (vm == null) {
                    groups.drop(member);
                    owners.remove(member);
                }
            }
            if (vm == null || vm.over) {
                return;
            }
            for (Claim c : vm.claims) {
                if (c.out()) {
                    Reach r = reaches.get(c.machine);
                    if (c == vm.placed) {
                        r.link.stop(c, now);
                    } else {
                        giveUp(c, End.CANCELLED);
                    }
                }
            }
            if (vm.placed == null) {
                feed.logic.left(vm);
                seen(w -> w.left(vm));
                forget(vm);
            }
        });
    }

    /** What no machine can meet is refused at once, with the rules that cannot be met together; null else. */
    private String conflict(Want w) {
        List<Rule> rules = book.conflict(w.getCustomer(), w.getFlavour(), w.getService());
        return rules.isEmpty() ? null : "no machine meets " + rules.stream().map(r -> "rule '" + r.name() + "' ("
                + r.clause() + ")").collect(java.util.stream.Collectors.joining(" and "));
    }

    /** The VM's name as its owner knows it. */
    private static String owned(Vm vm, String client) {
        return vm.id.substring(client.length() + 1);
    }

    private void say(Vm vm, Answer.Kind kind, Answer answer) {
        String client = owners.get(vm);
        if (client == null) {
            return;
        }
        if (!sessions.say(client, answer, now)) {
            line(Level.DEBUG, "not said, as the VM has its answer: " + kind, vm, null);
        }
        talkOf(client);
    }

    private void talkOf(String client) {
        streams.keySet().stream().filter(s -> s.client.equals(client)).forEach(talkative::add);
    }

    private void forget(Vm vm) {
        String client = owners.get(vm);
        if (groups.of(vm) != null && client != null && sessions.waits(client, owned(vm, client))) {
            return; // Its group answers it, and comes back here.
        }
        if (feed.forget(vm)) {
            owners.remove(vm);
            groups.drop(vm);
        }
    }

    // ---- What the module does --------------------------------------------------------------------------

    @Override
    public void claim(Claim c, Duration within) {
        meters.offered();
        placeTaken(c);
        inputs.behind(() -> {
            if (!c.out()) {
                return;
            }
            Reach r = reaches.get(c.machine);
            boolean mayRepeat = d.flavours.get(c.vm.flavour).rebuildable();
            r.link.offer(c, new Link.Name(c.vm.id, c.number), mayRepeat, within, now);
            watch(r);
        });
        at(within, () -> {
            if (c.out() && c.boundAt == null) {
                giveUp(c, End.TIMEOUT);
            }
        });
    }

    /** Waits no longer for a claim: known not to have run if its offer was never written. */
    private void giveUp(Claim c, End end) {
        Reach r = reaches.get(c.machine);
        boolean neverWritten = r.link.giveUp(c, now);
        ended(c, neverWritten ? End.UNREACHABLE : end, Why.UNTOLD);
        watch(r);
    }

    private void describe(Claim c, Offer.Builder o) {
        o.setPriority(d.flavours.get(c.vm.flavour).priority());
        String client = owners.get(c.vm);
        o.setClient(client == null ? "" : client);
    }

    @Override
    public void deny(Vm vm, Duration retryAfter) {
        inputs.behind(() -> seen(w -> w.answered(vm, "denied", retryAfter)));
        if (groups.of(vm) != null) {
            inputs.behind(() -> group(vm, g -> g.denied(vm.id, "no room found in time")));
            return;
        }
        String client = owners.get(vm);
        say(vm, Answer.Kind.DENIED, Answer.denied(owned(vm, client), retryAfter, "no room found in time"));
        meters.answered("denied");
        inputs.behind(() -> forget(vm));
    }

    @Override
    public void error(Vm vm) {
        inputs.behind(() -> seen(w -> w.answered(vm, "errored", Duration.ZERO)));
        if (groups.of(vm) != null) {
            inputs.behind(() -> group(vm, g -> g.errored(vm.id, "it may have run; its outcome is not known")));
            return;
        }
        String client = owners.get(vm);
        say(vm, Answer.Kind.ERRORED, Answer.errored(owned(vm, client), "it may have run; its outcome is not known"));
        meters.answered("errored");
        inputs.behind(() -> forget(vm));
    }

    private void group(Vm vm, Consumer<Group> does) {
        Group g = groups.of(vm);
        if (g != null) {
            does.accept(g);
        }
    }

    @Override
    public void move(Vm vm) {
        say(vm, Answer.Kind.MOVED, Answer.ended(owned(vm, owners.get(vm)), Answer.Kind.MOVED));
        reaches.get(vm.placed.machine).link.stop(vm.placed, now);
    }

    @Override
    public void cancel(Claim c) {
        inputs.behind(() -> {
            if (c.out() && c.boundAt == null) {
                giveUp(c, End.CANCELLED);
            }
        });
    }

    @Override
    public void probe(Machine m) {
        inputs.behind(() -> {
            Reach r = reaches.get(m);
            r.link.probe(now);
            watch(r);
        });
    }

    @Override
    public void wake(Duration in) {
        at(in, feed.logic::woken);
    }

    @Override
    public void log(String text) {
        line(Level.INFO, text, null, null);
    }

    @Override
    public void tell(String note) {
        if (notes != null) {
            notes.send(note);
            meters.note("sent");
        }
    }

    /** Where notes go and come from, before anything is placed. */
    void notes(NotePost post) {
        notes = post;
    }

    void heard(String note) {
        meters.note("heard");
        enter(() -> {
            feed.logic.heard(note);
            seen(w -> w.heard(note));
        });
    }

    @Override
    public void follow(boolean on) {
        // Its source pushes the list; asked for, it says that nothing changed since, or that it cannot tell.
        inputs.behind(() -> {
            if (listOld) {
                feed.logic.listFailed();
            } else {
                feed.list(false, false, List.of());
            }
        });
    }

    @Override
    public void lookup() {
        // The list is pushed here.
    }

    // ---- What the links conclude -----------------------------------------------------------------------

    @Override
    public void bound(Claim c, boolean running) {
        inputs.behind(() -> {
            if (!c.out() || c.vm.over) {
                return;
            }
            boolean first = c.boundAt == null;
            if (first) {
                Duration took = now.minus(c.vm.arrivedAt);
                String client = owners.get(c.vm);
                meters.bound(took);
                feed.logic.bound(c);
                seen(w -> w.bound(c.vm));
                if (client != null) {
                    Answer bound = Answer.bound(owned(c.vm, client), reaches.get(c.machine).name, c.number, took);
                    if (groups.of(c.vm) != null) {
                        groups.bound(c.vm, bound);
                    } else {
                        meters.answered("bound");
                        say(c.vm, Answer.Kind.BOUND, bound);
                    }
                }
            }
            if (running && d.yes.equals("accepted")) {
                both(c, Logic::running);
            }
        });
    }

    @Override
    public void ended(Claim c, End end, Why why) {
        inputs.behind(() -> {
            if (!c.out()) {
                return;
            }
            boolean wasBound = c.boundAt != null;
            if (wasBound || end == End.FULL || end == End.UNREACHABLE || end == End.MOOT) {
                book.gone(c);
            } else {
                book.doubted(c);
            }
            meters.ended(end);
            if (LOG.isDebugEnabled()) {
                LOG.atDebug().addKeyValue("placer", name).addKeyValue("vm", c.vm.id).addKeyValue("claim", c.number)
                        .addKeyValue("machine", reaches.get(c.machine).name).log("ended: " + end + " " + why);
            }
            feed.logic.ended(c, end, why, wasBound || c.vm.over);
            seen(w -> w.ended(c, end, why, wasBound));
            String client = owners.get(c.vm);
            Group g = groups.of(c.vm);
            boolean kept = wasBound && g != null && g.ended(c.vm.id);
            if (wasBound && client != null && !kept) {
                say(c.vm, kind(end, why), Answer.ended(owned(c.vm, client), kind(end, why)));
            }
            forget(c.vm);
        });
    }

    private static Answer.Kind kind(End end, Why why) {
        return switch (why) {
            case EVICTED -> Answer.Kind.EVICTED;
            case PUSHED_OUT -> Answer.Kind.PUSHED_OUT;
            case SENT_AWAY -> Answer.Kind.SENT_AWAY;
            default -> end == End.DONE || end == End.CANCELLED ? Answer.Kind.DONE
                    : end == End.ERROR ? Answer.Kind.FAILED : Answer.Kind.LOST;
        };
    }

    @Override
    public void runsAlready(Link.Held held, Machine machine) {
        Reach r = reaches.get(machine);
        if (feed.vm(held.name().vm()) != null || !d.flavours.containsKey(held.flavour())) {
            // Asked for anew before its machine came back, or of a flavour no longer known: nobody would own it.
            r.stream.cancel(held.name());
            return;
        }
        Vm vm = new Vm(held.name().vm());
        vm.flavour = held.flavour();
        vm.customer = held.customer();
        vm.service = held.service();
        vm.cores = held.cores();
        vm.memory = held.memory();
        vm.arrivedAt = now;
        vm.deadline = now;
        feed.add(vm);
        feed.logic.runsAlready(vm, machine);
        seen(w -> w.runsAlready(vm, r.name));
        r.link.adopt(held.name(), vm.placed);
        placeTaken(vm.placed);
        owners.put(vm, held.client());
        String id = vm.id.startsWith(held.client() + "/") ? owned(vm, held.client()) : vm.id;
        sessions.found(held.client(), id, Answer.bound(id, r.name, held.name().number(), Duration.ZERO),
                now);
        talkOf(held.client());
    }

    @Override
    public void probed(Machine machine, boolean ok, Duration took) {
        inputs.behind(() -> {
            feed.logic.probed(machine, ok, ok, took);
            seen(w -> w.probed(reaches.get(machine).name, ok, took));
        });
    }

    @Override
    public void note(Machine machine, String text) {
        line(Level.INFO, text, null, machine);
    }

    private void line(Level level, String text, Vm vm, Machine machine) {
        var event = LOG.atLevel(level).addKeyValue("placer", name);
        if (vm != null) {
            event = event.addKeyValue("vm", vm.id);
        }
        if (machine != null) {
            event = event.addKeyValue("machine", reaches.get(machine).name);
        }
        event.log(text);
    }

    // ---- Ends ------------------------------------------------------------------------------------------

    /** Takes nothing new; done when each VM in hand has its answer, and by then at the latest. */
    CompletableFuture<Void> stop(Duration within) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            stopped = done;
            enter(() -> {
                feed.logic.stops();
                seen(Watch::stops);
            });
            enter(groups::stops);
            at(within.multipliedBy(3).dividedBy(4), () -> {
                for (Reach r : reaches.values()) {
                    for (Claim c : List.copyOf(r.machine.waitingClaims)) {
                        giveUp(c, End.TIMEOUT);
                    }
                }
            });
        });
        return done;
    }

    int inHand() {
        return sessions.inHand();
    }

    int streamsOpen() {
        int n = 0;
        for (Reach r : reaches.values()) {
            n += r.link.phase() == Link.Phase.GREETED ? 1 : 0;
        }
        return n;
    }

    void close() {
        if (notes != null) {
            notes.close();
        }
        for (Reach r : reaches.values()) {
            r.stream.close("the placer ends");
        }
    }
}
