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
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;

/** More machines that hold VMs than connections: each is listened to in turns, and set-ups find a way. */
class ScarcityTest {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final int MACHINES = 208;
    private static final int MOST = 60;

    private Duration now = Duration.ofSeconds(10);
    private int open;
    private int closing;
    private int unsent;
    private final List<Runnable> nextTick = new ArrayList<>();

    private final class Place implements Trunk.Line, Trunk.Fate {
        final Machine machine;
        final Trunk trunk;
        final Map<Trunk.Connection, Boolean> connections = new HashMap<>();
        Duration longestUnheard = Duration.ZERO;
        Duration heard = now;

        Place(int i) {
            machine = new Machine(i);
            trunk = new Trunk(machine, new Trunk.Manners(Duration.ofMillis(250), Duration.ofSeconds(3)), this, this);
            trunk.adopt(new Claim(new Vm("runs" + i), machine, 0, now), now);
        }

        void looks() {
            if (!connections.isEmpty()) {
                heard = now;
            }
            Duration unheard = now.minus(heard);
            longestUnheard = unheard.compareTo(longestUnheard) > 0 ? unheard : longestUnheard;
        }

        @Override
        public boolean mayOpen() {
            return open < MOST;
        }

        @Override
        public void open(Trunk.Connection s) {
            open++;
            nextTick.add(() -> {
                connections.put(s, true);
                trunk.connected(s, now);
            });
        }

        @Override
        public void close(Trunk.Connection s) {
            connections.remove(s);
            closing++;
            nextTick.add(() -> {
                open--;
                closing--;
            });
        }

        @Override
        public void setUp(Trunk.Connection s, Claim claim, Duration within) {
            nextTick.add(() -> trunk.ended(s, claim.vm.id, End.FULL, null, Why.UNTOLD, now));
        }

        @Override
        public void giveUp(Trunk.Connection connection, String vm) {
        }

        @Override
        public void cut(Trunk.Connection connection, String vm) {
        }

        @Override
        public void probe(Trunk.Connection connection) {
        }

        @Override
        public void bound(Claim claim, String description) {
        }

        @Override
        public void ended(Claim claim, End end, Why why) {
            assertThat(claim.vm.id).as("nothing that runs is taken for lost").startsWith("new");
            unsent += end == End.MOOT ? 1 : 0;
        }

        @Override
        public void probed(Machine m, boolean ok, boolean told, Duration took) {
        }
    }

    @Example
    void everyMachineIsListenedToInTurnsAndSetUpsGoOut() {
        List<Place> places = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            places.add(new Place(i));
        }
        List<Trunk> trunks = places.stream().map(p -> p.trunk).toList();
        Random r = new Random(5);
        int offered = 0;
        for (int t = 0; t < 1200; t++) {
            now = now.plus(TICK);
            List<Runnable> due = List.copyOf(nextTick);
            nextTick.clear();
            due.forEach(Runnable::run);
            if (t > 20 && t % 2 == 0) {
                Place to = places.get(r.nextInt(MACHINES));
                Claim c = new Claim(new Vm("new" + offered++), to.machine, 0, now);
                c.vm.claims.add(c);
                to.trunk.offer(c, Duration.ofSeconds(1), t % 4 == 0, now);
            }
            trunks.forEach(x -> x.tick(now));
            Scarcity.relieve(trunks, open - closing, MOST, now);
            places.forEach(Place::looks);
            assertThat(open).isLessThanOrEqualTo(MOST);
        }
        assertThat(places).allSatisfy(p -> assertThat(p.longestUnheard).isLessThan(Duration.ofSeconds(7)));
        assertThat(unsent).as("of " + offered + " set-ups").isLessThan(offered / 50);
    }
}
