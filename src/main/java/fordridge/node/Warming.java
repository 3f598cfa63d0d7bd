package fordridge.node;

import fordridge.door.Door;
import fordridge.feed.Feed;
import fordridge.jsonl.Front;
import fordridge.state.Claim;
import fordridge.state.Claim.End;
import fordridge.state.Claim.Why;
import fordridge.state.Machine;
import fordridge.state.Terms;
import fordridge.state.Vm;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * Has a module of its own and the codec of lines work for a moment before the placer listens. On a part of a core a
 * JVM that has compiled nothing yet reads its first asks most of a second late, and by then hundreds have come.
 */
final class Warming implements Door, Front.Desk {
    private static final int VMS = 260;
    private static final int MACHINES = 12;

    private final Deque<Runnable> follows = new ArrayDeque<>();
    private final Feed<String> feed = new Feed<>(this, Feed::number);
    private Duration now = Duration.ofSeconds(1);
    private int answers;

    /** At most {@code most} long; the result is how many asks were gone through. */
    static int run(Configuration p, Duration most) {
        Warming w = new Warming();
        long until = System.nanoTime() + most.toNanos();
        w.begin(p.seed, p.terms);
        String flavour = new Terms(p.terms).text("lanes.0.name", "");
        EmbeddedChannel channel = new EmbeddedChannel();
        Front.embed(w, channel.pipeline());
        for (int i = 0; i < VMS && System.nanoTime() < until; i++) {
            w.one(i, flavour);
            String id = String.format("%016x", i);
            channel.writeInbound(Unpooled.copiedBuffer("{\"t\":\"new\",\"ref\":\"" + id + "\",\"f\":{\"class\":\"" + flavour
                    + "\",\"left\":\"1500\",\"key\":\"" + id + "\",\"extras\":\"cores:1;memory:2;service:" + id
                    + "\"},\"d\":\"c=\\r\\nm=\"}\n", StandardCharsets.UTF_8));
            for (io.netty.buffer.ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
                b.release();
            }
        }
        channel.finishAndReleaseAll();
        return w.answers;
    }

    private void begin(long seed, Map<String, Object> values) {
        feed.logic.at(now);
        feed.logic.start(seed, values);
        Terms terms = new Terms(values);
        List<Feed.Line<String>> lines = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            int kind = i % Math.max(1, terms.list("kinds").size());
            lines.add(new Feed.Line<>("m" + i, terms.text("zone", ""), String.valueOf(terms.list("kinds").get(kind)), 0,
                    terms.item("extra.cpuOfKind", kind, 1), terms.item("extra.memoryByKind", kind, 1),
                    Machine.Listing.LIVE, null));
        }
        feed.list(true, false, lines);
    }

    private void one(int i, String flavour) {
        now = now.plusMillis(40);
        feed.logic.at(now);
        Vm vm = new Vm("vm" + i);
        vm.flavour = flavour;
        vm.service = i % 7;
        vm.cores = 1;
        vm.memory = 1;
        vm.arrivedAt = now;
        vm.deadline = now.plusSeconds(4);
        feed.add(vm);
        feed.logic.arrives(vm);
        while (!follows.isEmpty()) {
            follows.removeFirst().run();
        }
        Machine m = feed.machine("m" + i % MACHINES);
        feed.report(m, m.cores / 2, m.memory / 2, 0.5, now);
        feed.logic.reported(m);
    }

    @Override
    public void claim(Claim c, Duration within) {
        follows.addLast(() -> {
            feed.logic.bound(c);
            feed.logic.usesCores(c, 0.5);
            feed.logic.usesMemory(c, 0.5);
            now = now.plusMillis(1);
            feed.logic.at(now);
            feed.logic.ended(c, End.DONE, Why.UNTOLD, true);
            feed.forget(c.vm);
        });
    }

    @Override
    public void deny(Vm vm, Duration retryAfter) {
        feed.forget(vm);
    }

    @Override
    public void error(Vm vm) {
        feed.forget(vm);
    }

    @Override
    public void move(Vm vm) {
    }

    @Override
    public void cancel(Claim claim) {
    }

    @Override
    public void probe(Machine m) {
        follows.addLast(() -> feed.logic.probed(m, true, true, Duration.ofMillis(2)));
    }

    @Override
    public void wake(Duration in) {
        follows.addLast(feed.logic::woken);
    }

    @Override
    public void log(String line) {
    }

    @Override
    public void follow(boolean on) {
    }

    @Override
    public void lookup() {
    }

    @Override
    public void asks(Front.Owner owner, String id, Map<String, Object> fields, String description) {
        answers++;
        owner.write("up", id, -1, description);
    }

    @Override
    public void ends(Front.Owner owner, String id, int cause) {
    }

    @Override
    public boolean ready() {
        return false;
    }

    @Override
    public void closed(Front.Owner owner) {
    }

    @Override
    public boolean busy(Front.Owner owner) {
        return false;
    }
}
