package fordridge.link;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.state.Claim;
import fordridge.state.Claim.End;
import fordridge.state.Claim.Why;
import fordridge.state.Machine;
import fordridge.state.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class TrunkTest {
    /** A line and a fate that keep what they were told, and complain of what may never happen. */
    private static final class World implements Trunk.Line, Trunk.Fate {
        final Machine machine = new Machine(7);
        final Trunk trunk = new Trunk(machine, new Trunk.Manners(ms(250), ms(3000)), this, this);
        final List<Trunk.Connection> open = new ArrayList<>();
        final Map<Trunk.Connection, List<String>> said = new LinkedHashMap<>();
        final Map<Claim, End> ends = new HashMap<>();
        final Map<Claim, String> bound = new HashMap<>();
        final List<Boolean> probes = new ArrayList<>();
        Duration now = ms(10_000);
        int most = 100;
        int made;
        boolean again;

        static Duration ms(long n) {
            return Duration.ofMillis(n);
        }

        Claim offer() {
            Claim c = new Claim(new Vm("vm" + made++), machine, 0, now);
            c.vm.claims.add(c);
            trunk.offer(c, ms(1000), again, now);
            return c;
        }

        /** A claim whose set-up a connection has carried. */
        Claim carried() {
            Claim c = offer();
            for (Trunk.Connection s : List.copyOf(open)) {
                trunk.connected(s, now);
            }
            return c;
        }

        Claim standing() {
            Claim c = carried();
            trunk.stands(last(), c.vm.id, "d", now);
            return c;
        }

        Trunk.Connection last() {
            return open.get(open.size() - 1);
        }

        void pass(long millis) {
            Duration until = now.plus(ms(millis));
            while (now.compareTo(until) < 0) {
                now = now.plus(ms(50));
                trunk.tick(now);
                Scarcity.relieve(List.of(trunk), open.size(), most, now);
            }
        }

        @Override
        public boolean mayOpen() {
            return open.size() < most;
        }

        @Override
        public void open(Trunk.Connection s) {
            open.add(s);
            said.put(s, new ArrayList<>());
        }

        @Override
        public void close(Trunk.Connection s) {
            open.remove(s);
        }

        @Override
        public void setUp(Trunk.Connection s, Claim claim, Duration within) {
            assertThat(ends).doesNotContainKey(claim);
            said.get(s).add("new " + claim.vm.id);
        }

        @Override
        public void giveUp(Trunk.Connection s, String vm) {
            said.get(s).add("given up " + vm);
        }

        @Override
        public void cut(Trunk.Connection s, String vm) {
            said.get(s).add("cut " + vm);
        }

        @Override
        public void probe(Trunk.Connection s) {
            said.get(s).add("probe");
        }

        @Override
        public void bound(Claim claim, String description) {
            assertThat(ends).doesNotContainKey(claim);
            assertThat(bound.put(claim, description)).isNull();
            claim.boundAt = now;
        }

        @Override
        public void ended(Claim claim, End end, Why why) {
            assertThat(ends.put(claim, end)).as("a second end of " + claim.vm.id).isNull();
            claim.end = end;
        }

        @Override
        public void probed(Machine m, boolean ok, boolean told, Duration took) {
            probes.add(ok);
        }
    }

    @Example
    void whatNoConnectionHasCarriedNeverRan() {
        World w = new World();
        Claim refused = w.offer();
        w.trunk.failed(w.last(), true, w.now);
        assertThat(w.ends.get(refused)).isEqualTo(End.UNREACHABLE);
        Claim slow = w.offer();
        w.pass(300);
        assertThat(w.ends.get(slow)).isEqualTo(End.UNREACHABLE);
        Claim givenUp = w.offer();
        w.trunk.giveUp(givenUp, End.TIMEOUT, w.now);
        assertThat(w.ends.get(givenUp)).isEqualTo(End.UNREACHABLE);
    }

    @Example
    void aConnectionThatBreaksEndsWhatItCarriesAndNothingElse() {
        World w = new World();
        Claim stands = w.standing();
        Claim one = w.carried();
        Trunk.Connection broken = w.last();
        Claim other = w.carried();
        assertThat(w.last()).isNotSameAs(broken);
        w.trunk.broke(broken, w.now);
        assertThat(w.ends).containsOnlyKeys(one).containsEntry(one, End.RESET);
        w.trunk.stands(w.last(), other.vm.id, "d", w.now);
        assertThat(w.bound).containsOnlyKeys(stands, other);
    }

    @Example
    void lateRepeatedAndUnknownWordsArePassedOver() {
        World w = new World();
        Claim c = w.carried();
        Trunk.Connection s = w.last();
        w.trunk.stands(s, "of somebody else", "x", w.now);
        w.trunk.stands(s, c.vm.id, "d", w.now);
        w.trunk.stands(s, c.vm.id, "d again", w.now);
        assertThat(w.bound).containsExactly(Map.entry(c, "d"));
        w.trunk.ended(s, c.vm.id, End.FULL, null, Why.UNTOLD, w.now);
        assertThat(w.ends).isEmpty();
        w.trunk.ended(s, c.vm.id, End.RESET, End.DONE, Why.UNTOLD, w.now);
        w.trunk.ended(s, c.vm.id, End.RESET, End.DONE, Why.UNTOLD, w.now);
        assertThat(w.ends).containsExactly(Map.entry(c, End.DONE));
    }

    @Example
    void aConnectionOnWhichASetUpWasGivenUpCarriesNoOther() {
        World w = new World();
        Claim c = w.carried();
        Trunk.Connection s = w.last();
        w.trunk.giveUp(c, End.TIMEOUT, w.now);
        assertThat(w.said.get(s)).containsExactly("new vm0", "given up vm0");
        assertThat(w.open).doesNotContain(s);
        w.trunk.stands(s, c.vm.id, "late", w.now);
        assertThat(w.bound).isEmpty();
        assertThat(w.ends).containsExactly(Map.entry(c, End.TIMEOUT));
    }

    @Example
    void toldThatItDrainsWhatWaitsIsTakenBackAndWhatIsOutIsNot() {
        World w = new World();
        Claim out = w.carried();
        Claim waits = w.offer();
        w.trunk.listed(Machine.Listing.DRAINING, w.now);
        assertThat(w.ends).containsExactly(Map.entry(waits, End.MOOT));
        Claim late = w.offer();
        assertThat(w.ends.get(late)).as("decided before it was told").isEqualTo(End.MOOT);
        w.trunk.stands(w.open.get(0), out.vm.id, "d", w.now);
        assertThat(w.bound).containsOnlyKeys(out);
    }

    @Example
    void whatStandsIsLostWhenNobodyListens() {
        World w = new World();
        Claim c = w.standing();
        w.trunk.broke(w.last(), w.now);
        w.open.clear();
        w.pass(300);
        w.trunk.failed(w.last(), true, w.now);
        assertThat(w.ends).as("one refusal may be chance").isEmpty();
        w.pass(300);
        w.trunk.failed(w.last(), true, w.now);
        assertThat(w.ends).containsExactly(Map.entry(c, End.RESET));
    }

    @Example
    void whatStandsIsLostOnAMachineThatIsSilentAndLetsNothingComeUp() {
        World w = new World();
        Claim c = w.standing();
        w.pass(4000);
        assertThat(w.ends).isEmpty();
        w.pass(1500);
        assertThat(w.ends).containsExactly(Map.entry(c, End.RESET));
        assertThat(w.open).isEmpty();
    }

    @Example
    void whatStandsOnAMachineThatIsSilentButThereGoesOn() {
        World w = new World();
        w.standing();
        for (int i = 0; i < 100; i++) {
            w.pass(100);
            for (Trunk.Connection s : List.copyOf(w.open)) {
                w.trunk.connected(s, w.now);
            }
        }
        assertThat(w.ends).isEmpty();
        assertThat(w.open.size()).isLessThanOrEqualTo(4);
    }

    @Example
    void aNewStartEndsWhatStoodBeforeIt() {
        World w = new World();
        Claim before = w.standing();
        w.now = w.now.plusMillis(100);
        Claim after = w.standing();
        w.trunk.restarted(w.now.minusMillis(50));
        assertThat(w.ends).containsExactly(Map.entry(before, End.RESET));
        assertThat(w.trunk.claim(after.vm.id)).isSameAs(after);
    }

    @Example
    void anOwnersEndIsPassedOnAndConcludedWithoutAWordToo() {
        World w = new World();
        Claim c = w.standing();
        w.trunk.stop(c, w.now);
        w.trunk.stop(c, w.now);
        assertThat(w.said.get(w.last())).containsExactly("new vm0", "cut vm0");
        w.pass(1600);
        assertThat(w.ends).containsExactly(Map.entry(c, End.CANCELLED));
    }

    /** Guards a cut that was said on no connection: the machine went on with a VM that nobody owns. */
    @Example
    void anOwnersEndThatNoConnectionCouldCarryIsPassedOnByTheNext() {
        World w = new World();
        Claim c = w.standing();
        w.trunk.broke(w.last(), w.now);
        w.open.clear();
        w.trunk.stop(c, w.now);
        w.pass(300);
        w.trunk.connected(w.last(), w.now);
        assertThat(w.said.get(w.last())).containsExactly("cut vm0");
        w.trunk.ended(w.last(), c.vm.id, End.RESET, End.CANCELLED, Why.UNTOLD, w.now);
        assertThat(w.ends).containsExactly(Map.entry(c, End.CANCELLED));
    }

    /** Guards two resets in a row of connections just up, taken for a machine where nobody listens. */
    @Example
    void aConnectionThatBreaksAsItComesUpSaysNothingOfTheMachine() {
        World w = new World();
        w.standing();
        w.trunk.broke(w.last(), w.now);
        w.open.clear();
        for (int i = 0; i < 3; i++) {
            Claim c = w.offer();
            w.trunk.broke(w.last(), w.now);
            assertThat(w.ends.get(c)).as("no connection had carried it").isEqualTo(End.UNREACHABLE);
        }
        assertThat(w.trunk.standing()).isEqualTo(1);
    }

    @Example
    void withoutADescriptorLeftSetUpsShareAConnection() {
        World w = new World();
        w.most = 1;
        Claim one = w.carried();
        Claim two = w.offer();
        assertThat(w.said.get(w.last())).containsExactly("new vm0", "new vm1");
        w.trunk.broke(w.last(), w.now);
        w.open.clear();
        assertThat(w.ends).containsOnlyKeys(one, two);
        w.most = 0;
        assertThat(w.ends.get(w.offer())).isEqualTo(End.MOOT);
    }

    @Example
    void anOpenConnectionCarriesWhatMayBeSentAgainAndNoOneShot() {
        World w = new World();
        w.standing();
        w.pass(500);
        w.trunk.heard(w.now);
        w.pass(500);
        w.offer();
        assertThat(w.open).as("half a second after it was used it proves nothing").hasSize(2);
        w.again = true;
        w.offer();
        assertThat(w.open).as("the machine was heard from of late").hasSize(2);
        assertThat(w.said.get(w.open.get(0))).containsExactly("new vm0", "new vm2");
    }

    @Example
    void aProbeWithoutAnAnswerFails() {
        World w = new World();
        w.trunk.probe(w.now);
        w.trunk.connected(w.last(), w.now);
        assertThat(w.said.get(w.last())).containsExactly("probe");
        w.pass(300);
        assertThat(w.probes).containsExactly(false);
    }

    /** Whatever happens in whatever order: each claim ends at most once, stands at most once, and nothing is left. */
    @Property(tries = 300, seed = "1313")
    void everyClaimEndsOnce(@ForAll long seed) {
        World w = new World();
        Random r = new Random(seed);
        List<Claim> claims = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Trunk.Connection s = w.said.isEmpty() ? null
                    : new ArrayList<>(w.said.keySet()).get(r.nextInt(w.said.size()));
            Claim c = claims.isEmpty() ? null : claims.get(r.nextInt(claims.size()));
            switch (r.nextInt(11)) {
                case 0, 1 -> claims.add(w.offer());
                case 2 -> w.pass(r.nextInt(400));
                case 3 -> w.trunk.listed(r.nextInt(3) == 0 ? Machine.Listing.DRAINING : Machine.Listing.LIVE, w.now);
                default -> {
                    if (s == null || c == null) {
                        continue;
                    }
                    switch (r.nextInt(9)) {
                        case 0, 1 -> w.trunk.connected(s, w.now);
                        case 2 -> w.trunk.failed(s, r.nextBoolean(), w.now);
                        case 3 -> w.trunk.broke(s, w.now);
                        case 4, 5 -> w.trunk.stands(s, c.vm.id, "d", w.now);
                        case 6 -> w.trunk.ended(s, c.vm.id, End.FULL, r.nextBoolean() ? End.DONE : null, Why.UNTOLD,
                                w.now);
                        case 7 -> w.trunk.stop(c, w.now);
                        default -> {
                            if (c.out() && c.boundAt == null) {
                                w.trunk.giveUp(c, End.TIMEOUT, w.now);
                            }
                        }
                    }
                }
            }
        }
        w.trunk.listed(Machine.Listing.GONE, w.now);
        assertThat(w.ends.keySet()).containsExactlyInAnyOrderElementsOf(claims);
        assertThat(w.trunk.over()).isTrue();
    }
}
