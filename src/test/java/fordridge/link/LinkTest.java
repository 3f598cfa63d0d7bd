package fordridge.link;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.state.Chance;
import fordridge.state.Claim;
import fordridge.state.Claim.End;
import fordridge.state.Claim.Why;
import fordridge.state.Machine;
import fordridge.state.Vm;
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

class LinkTest {
    /** A line and a fate that keep what they were told, and complain of what may never happen. */
    private static final class World implements Link.Line, Link.Fate {
        final Machine machine = new Machine(7);
        final Link link = new Link(machine, new Link.Manners(ms(250), ms(5000), ms(100), ms(2000), ms(400), ms(250), 3,
                false), this, this, new Chance(1));
        final List<String> acts = new ArrayList<>();
        final Map<Claim, End> ends = new HashMap<>();
        final Set<Claim> bound = new HashSet<>();
        final Set<Link.Name> offered = new HashSet<>();
        final List<Link.Held> adopted = new ArrayList<>();
        boolean open;
        boolean ready = true;
        Duration now = Duration.ZERO;
        int made;

        static Duration ms(long n) {
            return Duration.ofMillis(n);
        }

        Claim offer(boolean mayRepeat) {
            Vm vm = new Vm("vm" + made++);
            Claim c = new Claim(vm, machine, 0, now);
            vm.claims.add(c);
            link.offer(c, name(c), mayRepeat, ms(1000), now);
            return c;
        }

        static Link.Name name(Claim c) {
            return new Link.Name(c.vm.id, 0);
        }

        void holding(long incarnation, Link.Held... held) {
            link.holding(incarnation, List.of(held), now);
        }

        static Link.Held held(Claim c, Link.Held.State state) {
            return new Link.Held(name(c), state, "f", 1, "", 1, 1, "owner");
        }

        void pass(long millis) {
            Duration end = now.plus(ms(millis));
            for (Duration due = link.due(); due != null && due.compareTo(end) <= 0; due = link.due()) {
                now = due.compareTo(now) > 0 ? due : now;
                link.tick(now);
            }
            now = end;
        }

        @Override
        public void connect() {
            assertThat(open).as("one stream at a time").isFalse();
            open = true;
            acts.add("connect");
        }

        @Override
        public void close(String why) {
            open = false;
            acts.add("close");
        }

        void breaks() {
            open = false;
            link.broke("test", now);
        }

        @Override
        public boolean ready() {
            return ready;
        }

        @Override
        public void offer(Claim claim, Link.Name name, Duration within) {
            assertThat(claim.end).as("offered after its end").isNull();
            assertThat(offered.add(name)).as("offered twice").isTrue();
        }

        @Override
        public void cancel(Link.Name name) {
            acts.add("cancel " + name.vm());
        }

        @Override
        public void stop(Link.Name name) {
            acts.add("stop " + name.vm());
        }

        @Override
        public void probe() {
            acts.add("probe");
        }

        @Override
        public void bound(Claim claim, boolean running) {
            assertThat(claim.end).as("bound after its end").isNull();
            bound.add(claim);
        }

        @Override
        public void ended(Claim claim, End end, Why why) {
            assertThat(claim.end).as("a second end").isNull();
            claim.end = end;
            ends.put(claim, end);
        }

        @Override
        public void runsAlready(Link.Held held, Machine m) {
            adopted.add(held);
        }

        @Override
        public void probed(Machine m, boolean ok, Duration took) {
            acts.add("probed " + ok);
        }

        @Override
        public void cleared(Claim claim) {
            assertThat(claim.end).as("cleared before it was given up").isNotNull();
        }

        @Override
        public void note(Machine m, String text) {
        }
    }

    @Example
    void anOfferThatWasNeverWrittenNeverRan() {
        World w = new World();
        Claim c = w.offer(false);
        w.breaks();
        assertThat(c.end).isEqualTo(End.UNREACHABLE);
        assertThat(w.offered).isEmpty();
    }

    @Example
    void aMachineThatNeverSpeaksIsGivenUp() {
        World w = new World();
        Claim c = w.offer(false);
        w.pass(260);
        assertThat(c.end).isEqualTo(End.UNREACHABLE);
        assertThat(w.acts).contains("close");
    }

    @Example
    void aRepeatableOneMayHaveRunAtOnceAndIsCalledOffOnReturn() {
        World w = new World();
        Claim c = w.offer(true);
        w.holding(1);
        w.breaks();
        assertThat(c.end).isEqualTo(End.RESET);
        w.pass(150);
        w.holding(1, World.held(c, Link.Held.State.RUNNING));
        assertThat(w.acts).contains("cancel vm0");
        assertThat(w.bound).isEmpty();
    }

    @Example
    void aOneShotWaitsForTheStreamToComeBackAndGoesOn() {
        World w = new World();
        Claim c = w.offer(false);
        w.holding(1);
        w.breaks();
        assertThat(c.end).isNull();
        w.pass(150);
        w.holding(1, World.held(c, Link.Held.State.RUNNING));
        assertThat(w.bound).contains(c);
        assertThat(c.end).isNull();
    }

    @Example
    void aOneShotThatTheMachineNeverGotIsFree() {
        World w = new World();
        Claim c = w.offer(false);
        w.holding(1);
        w.breaks();
        w.pass(150);
        w.holding(1);
        assertThat(c.end).isEqualTo(End.MOOT);
        assertThat(c.neverRan()).isTrue();
    }

    @Example
    void aOneShotOnAMachineThatStartedAnewMayHaveRun() {
        World w = new World();
        Claim c = w.offer(false);
        w.holding(1);
        w.breaks();
        w.pass(150);
        w.holding(2);
        assertThat(c.end).isEqualTo(End.RESET);
    }

    @Example
    void aOneShotWhoseStreamStaysAwayMayHaveRun() {
        World w = new World();
        Claim c = w.offer(false);
        w.holding(1);
        w.breaks();
        w.pass(410);
        assertThat(c.end).isEqualTo(End.RESET);
    }

    @Example
    void whatRunsIsLostOnlyOnTheMachinesWordOrTheLists() {
        World w = new World();
        Claim stays = w.offer(true);
        Claim lost = w.offer(true);
        w.holding(1);
        w.link.started(World.name(stays), w.now);
        w.link.started(World.name(lost), w.now);
        w.breaks();
        w.pass(60);
        assertThat(stays.end).isNull();
        w.pass(60);
        w.holding(1, World.held(stays, Link.Held.State.RUNNING));
        assertThat(stays.end).isNull();
        assertThat(lost.end).isEqualTo(End.RESET);
        w.breaks();
        w.link.listed(true, w.now);
        assertThat(stays.end).isEqualTo(End.RESET);
    }

    @Example
    void theLinesBoundIsAFullLine() {
        World w = new World();
        w.ready = false;
        for (int i = 0; i < 3; i++) {
            assertThat(w.offer(true).end).isNull();
        }
        w.holding(1);
        assertThat(w.offer(true).end).isEqualTo(End.FULL);
        w.ready = true;
        w.link.ready(w.now);
        assertThat(w.offered.size()).isEqualTo(3);
    }

    @Example
    void aDrainTakesBackWhatIsDecidedButNotWritten() {
        World w = new World();
        w.ready = false;
        Claim c = w.offer(false);
        w.holding(1);
        w.link.drains();
        assertThat(c.end).isEqualTo(End.MOOT);
        w.ready = true;
        w.link.ready(w.now);
        assertThat(w.offered).isEmpty();
    }

    @Example
    void anAnswerThatCrossesOurCancelIsNotHeard() {
        World w = new World();
        Claim c = w.offer(false);
        w.holding(1);
        assertThat(w.link.giveUp(c, w.now)).isFalse();
        c.end = End.TIMEOUT;
        w.link.started(World.name(c), w.now);
        w.link.finished(World.name(c), End.CANCELLED, Why.UNTOLD, w.now);
        assertThat(w.bound).isEmpty();
        assertThat(w.link.claims()).isEqualTo(0);
    }

    @Example
    void whatAnEarlierLifeLeftRunningIsAdoptedAndItsLineCalledOff() {
        World w = new World();
        w.link.call(w.now);
        w.holding(4, new Link.Held(new Link.Name("old", 2), Link.Held.State.RUNNING, "f", 1, "", 1, 1, "o"),
                new Link.Held(new Link.Name("queued", 0), Link.Held.State.IN_LINE, "f", 1, "", 1, 1, "o"));
        assertThat(w.adopted.size()).isEqualTo(1);
        assertThat(w.acts).contains("cancel queued");
    }

    @Example
    void waitsBetweenTriesGrowAndOffersMeanwhileAreRefusedAtOnce() {
        World w = new World();
        List<Long> tries = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            while (w.link.phase() == Link.Phase.WAITING) {
                assertThat(w.offer(true).end).isEqualTo(End.UNREACHABLE);
                w.pass(20);
            }
            tries.add(w.now.toMillis());
            w.offer(true);
            w.breaks();
        }
        for (int i = 2; i < tries.size(); i++) {
            assertThat(tries.get(i) - tries.get(i - 1)).isGreaterThan((tries.get(i - 1) - tries.get(i - 2)) * 9 / 10);
        }
        assertThat(tries.get(5) - tries.get(4)).isLessThan(2100L);
    }

    /** A machine that keeps the contract, and any order of breaks, answers and lists: no claim is left in doubt. */
    @Property(tries = 400, seed = "77")
    void everyClaimEndsOnceAndNeverRunIsTrue(@ForAll long seed) {
        World w = new World();
        Random r = new Random(seed);
        Map<Link.Name, Link.Held.State> there = new HashMap<>();
        Set<Link.Name> ran = new HashSet<>();
        List<Claim> all = new ArrayList<>();
        long incarnation = 1;
        Set<Link.Name> taken = new HashSet<>();
        for (int i = 0; i < 120; i++) {
            // Offers reach the machine while the stream stands; some are lost with it.
            for (Link.Name n : w.offered) {
                if (taken.add(n) && (w.open || r.nextBoolean())) {
                    there.put(n, Link.Held.State.IN_LINE);
                }
            }
            Claim c = all.isEmpty() ? null : all.get(r.nextInt(all.size()));
            Link.Name n = c == null ? null : World.name(c);
            switch (r.nextInt(9)) {
                case 0, 1 -> all.add(w.offer(r.nextBoolean()));
                case 2 -> {
                    if (w.link.phase() == Link.Phase.CONNECTING) {
                        List<Link.Held> held = new ArrayList<>();
                        there.forEach((k, s) -> held.add(new Link.Held(k, s, "f", 1, "", 1, 1, "o")));
                        w.link.holding(incarnation, held, w.now);
                    }
                }
                case 3 -> {
                    if (n != null && there.get(n) == Link.Held.State.IN_LINE) {
                        there.put(n, Link.Held.State.RUNNING);
                        ran.add(n);
                        if (w.link.phase() == Link.Phase.GREETED && r.nextInt(3) > 0) {
                            w.link.started(n, w.now);
                        }
                    }
                }
                case 4 -> {
                    if (n != null && there.get(n) == Link.Held.State.IN_LINE) {
                        there.put(n, Link.Held.State.REFUSED);
                        if (w.link.phase() == Link.Phase.GREETED) {
                            w.link.refused(n, Why.NO_CORES, w.now);
                        }
                    }
                }
                case 5 -> {
                    if (w.open) {
                        w.breaks();
                        if (r.nextInt(4) == 0) {
                            incarnation++;
                            there.clear();
                        }
                    }
                }
                case 6 -> {
                    if (c != null && c.end == null && !w.bound.contains(c)) {
                        boolean never = w.link.giveUp(c, w.now);
                        w.ended(c, never ? End.UNREACHABLE : End.TIMEOUT, Why.UNTOLD);
                        there.computeIfPresent(n, (k, s) -> s == Link.Held.State.IN_LINE ? Link.Held.State.REFUSED : s);
                    }
                }
                case 7 -> w.ready = r.nextInt(4) > 0;
                default -> w.pass(r.nextInt(300));
            }
            for (Claim o : all) {
                assertThat(o.neverRan() && ran.contains(World.name(o))).as("said never to have run, but ran").isFalse();
            }
        }
        if (w.open) {
            w.breaks();
        }
        w.link.listed(true, w.now);
        for (Claim o : all) {
            assertThat(o.end).as("left in doubt").isNotNull();
        }
    }
}
