package fordridge.membership;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.membership.Believed.Item;
import fordridge.state.Machine.Listing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class BelievedTest {
    private static final Keys AT = new Keys("/c");
    private static final Duration T = Duration.ZERO;

    private static Item machine(String name, long mod, long create, long incarnation) {
        return new Item(AT.machine(name), Item.Kind.MACHINE, name, mod, create, new Believed.Machine("h:1", "k", "", 0,
                8, 16, 8, 16, incarnation, 0), null, "", null);
    }

    private static Item drain(String name, long mod, long create) {
        return new Item(AT.drain(name), Item.Kind.DRAIN, name, mod, create, null, new Believed.Drain(""), "", null);
    }

    private static Item gone(Item i, long mod) {
        return new Item(i.key(), i.kind(), i.name(), mod, 0, null, null, "", null);
    }

    private static void snapshot(Believed b, long revision, Item... items) {
        b.snapshotBegins(1, revision, T);
        b.snapshotPage(List.of(items), T);
        b.snapshotEnds(T);
    }

    private static Believed begun(Item... items) {
        Believed b = new Believed(Duration.ofSeconds(2));
        snapshot(b, 10, items);
        return b;
    }

    private static Map<String, Listing> state(Believed b) {
        b.takeChanges(AT);
        Map<String, Listing> m = new TreeMap<>();
        for (Believed.Line l : b.all()) {
            if (l.listing() != Listing.GONE) {
                m.put(l.name(), l.listing());
            }
        }
        return m;
    }

    @Example
    void aDeleteAndARemakeInTheGapIsAnotherMachine() {
        Believed b = begun(machine("a", 5, 5, 1), machine("b", 6, 6, 1));
        b.takeChanges(AT);
        b.cutOff();
        snapshot(b, 40, machine("a", 33, 33, 1));
        List<Believed.Line> changes = b.takeChanges(AT);
        assertThat(changes).anyMatch(l -> l.name().equals("a") && l.anew());
        assertThat(changes).anyMatch(l -> l.name().equals("b") && l.listing() == Listing.GONE);
    }

    @Example
    void aDrainThatArrivesJustAsTheMachineReturnsColdHolds() {
        Believed b = begun(machine("a", 5, 5, 1));
        b.takeChanges(AT);
        b.event(drain("a", 12, 12), false, T);
        b.event(machine("a", 13, 5, 2), false, T);
        List<Believed.Line> changes = b.takeChanges(AT);
        assertThat(changes.size()).isEqualTo(1);
        assertThat(changes.get(0).listing()).isEqualTo(Listing.DRAINING);
        assertThat(changes.get(0).anew()).isTrue();
    }

    @Example
    void drainUndrainDrainInOneBatchEndsDraining() {
        Believed b = begun(machine("a", 5, 5, 1));
        b.event(drain("a", 11, 11), false, T);
        b.event(gone(drain("a", 0, 0), 12), true, T);
        b.event(drain("a", 13, 13), false, T);
        assertThat(state(b)).containsEntry("a", Listing.DRAINING);
    }

    @Example
    void anOlderWordNeverUndoesANewerOne() {
        Believed b = begun(machine("a", 5, 5, 1), drain("a", 9, 9));
        b.event(gone(drain("a", 0, 0), 8), true, T);
        assertThat(state(b)).containsEntry("a", Listing.DRAINING);
        b.event(gone(drain("a", 0, 0), 14), true, T);
        b.event(drain("a", 13, 13), false, T);
        assertThat(state(b)).containsEntry("a", Listing.LIVE);
    }

    @Example
    void aBadRecordIsSaidAndTheLastGoodOneStands() {
        Believed b = begun(machine("a", 5, 5, 1));
        b.event(new Item(AT.machine("a"), Item.Kind.MACHINE, "a", 12, 5, null, null, "", "no address"), false, T);
        assertThat(state(b)).containsEntry("a", Listing.LIVE);
        assertThat(b.takeComplaints()).anyMatch(c -> c.contains("/c/machines/a") && c.contains("no address"));
        b.event(new Item(AT.drain("a"), Item.Kind.DRAIN, "a", 13, 13, null, null, "", "not JSON"), false, T);
        assertThat(state(b)).as("a drain that cannot be read is a drain").containsEntry("a", Listing.DRAINING);
    }

    @Example
    void aRestoredStoreIsSaidAndTakenAnew() {
        Believed b = begun(machine("a", 8, 8, 1), machine("b", 9, 9, 1));
        snapshot(b, 4, machine("a", 4, 4, 1));
        assertThat(b.takeComplaints()).anyMatch(c -> c.contains("went back from revision 10 to 4"));
        assertThat(state(b)).containsOnlyKeys("a");
        b.event(drain("a", 5, 5), false, T);
        assertThat(state(b)).containsEntry("a", Listing.DRAINING);
    }

    @Example
    void silenceMakesItOldAndProofMakesItGood() {
        Believed b = begun();
        assertThat(b.silent(Duration.ofMillis(1900))).isFalse();
        assertThat(b.silent(Duration.ofMillis(2000))).isTrue();
        assertThat(b.footing()).isEqualTo(Believed.Footing.OLD);
        b.progress(10, Duration.ofMillis(2100));
        assertThat(b.footing()).isEqualTo(Believed.Footing.FOLLOWING);
    }

    /** Two registrations that expire at once may both be of placers that live: no share rises before they are out. */
    @Example
    void aShrinkingCountRaisesNoShareEarly() {
        Headcount h = new Headcount(1, Duration.ofSeconds(10));
        assertThat(h.heard(5, T)).isEqualTo(5);
        assertThat(h.heard(3, Duration.ofSeconds(1))).isEqualTo(5);
        assertThat(h.heard(5, Duration.ofSeconds(3))).isEqualTo(5);
        assertThat(h.heard(3, Duration.ofSeconds(4))).isEqualTo(5);
        assertThat(h.heard(3, Duration.ofSeconds(23))).isEqualTo(5);
        h.cutOff();
        assertThat(h.heard(2, Duration.ofSeconds(25))).isEqualTo(5);
        assertThat(h.heard(4, Duration.ofSeconds(30))).isEqualTo(5);
        assertThat(h.heard(3, Duration.ofSeconds(45))).as("the most seen while waiting").isEqualTo(4);
    }

    /** Any legal run of events, repeats, gaps and snapshots ends equal to the store, and no drain is forgotten. */
    @Property(tries = 500, seed = "321")
    void endsEqualToTheStore(@ForAll long seed) {
        Random r = new Random(seed);
        Believed b = new Believed(Duration.ofSeconds(2));
        Map<String, Item> store = new HashMap<>();
        List<Item> log = new ArrayList<>();
        List<Boolean> deleted = new ArrayList<>();
        long revision = 1;
        int sent = 0;
        boolean following = false;
        for (int i = 0; i < 150; i++) {
            String name = "m" + r.nextInt(5);
            if (r.nextInt(3) > 0) {
                revision++;
                boolean drain = r.nextBoolean();
                String key = drain ? AT.drain(name) : AT.machine(name);
                Item old = store.get(key);
                boolean delete = old != null && r.nextInt(3) == 0;
                long create = old == null ? revision : old.createRevision();
                Item it = drain ? drain(name, revision, create) : machine(name, revision, create, 1 + r.nextInt(2));
                if (delete) {
                    store.remove(key);
                } else {
                    store.put(key, it);
                }
                log.add(delete ? gone(it, revision) : it);
                deleted.add(delete);
            }
            if (!following || r.nextInt(25) == 0) {
                // A gap: what was not sent is never sent; a snapshot, perhaps with events after it sent twice.
                b.cutOff();
                b.snapshotBegins(1, revision, T);
                b.snapshotPage(List.copyOf(store.values()), T);
                b.snapshotEnds(T);
                sent = Math.max(0, log.size() - r.nextInt(4));
                following = true;
            }
            int some = r.nextInt(4);
            for (int k = 0; k < some && sent < log.size(); k++) {
                b.event(log.get(sent), deleted.get(sent), T);
                sent++;
            }
            if (r.nextInt(4) == 0) {
                b.takeChanges(AT);
            }
        }
        while (sent < log.size()) {
            b.event(log.get(sent), deleted.get(sent), T);
            sent++;
        }
        Map<String, Listing> expected = new TreeMap<>();
        store.values().stream().filter(x -> x.kind() == Item.Kind.MACHINE).forEach(x -> expected.put(x.name(),
                store.containsKey(AT.drain(x.name())) ? Listing.DRAINING : Listing.LIVE));
        assertThat(state(b)).isEqualTo(expected);
    }
}
