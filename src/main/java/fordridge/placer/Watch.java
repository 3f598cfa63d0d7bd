package fordridge.placer;

import fordridge.door.Door;
import fordridge.feed.Feed;
import fordridge.obs.Meters;
import fordridge.settings.Deployment;
import fordridge.settings.ModuleTerms;
import fordridge.state.Claim;
import fordridge.state.Claim.End;
import fordridge.state.Claim.Why;
import fordridge.state.Machine;
import fordridge.state.Vm;
import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * A second module under the settings of a move to come. It hears what the placer's own module hears, acts on nothing,
 * and what it would have done otherwise is counted by kind: {@code machine} (another machine), {@code hold} (ours
 * placed at once, it would not), {@code place} (the other way round), {@code answer} (another final answer, or one
 * where ours placed), {@code retry_after}, and what ours does not do at all: {@code probe}, {@code note},
 * {@code list_ask}. A VM's fate on a machine is ours; where the two chose different machines it counts as if the
 * other had taken it too. So the counts tell of decisions, not of what would have come of them.
 */
final class Watch implements Door {
    /** A VM as the watching module has it, and what both said of it in the end. */
    private static final class Twin {
        final Vm real;
        final Vm own;
        String realAnswer;
        String ownAnswer;
        Duration realAdvice;
        Duration ownAdvice;

        Twin(Vm real, Vm own) {
            this.real = real;
            this.own = own;
        }
    }

    private final Feed<String> feed;
    private final Meters meters;
    private final Deployment now;
    private final BiConsumer<Duration, Runnable> later;
    private final Function<Machine, String> nameOf;
    private final Function<String, Machine> ours;
    /** Asked what customers' rules say of our VMs. */
    private final Door rules;
    private final Map<Vm, Twin> byReal = new IdentityHashMap<>();
    private final Map<Vm, Twin> byOwn = new IdentityHashMap<>();
    private final Map<Machine, String> names = new HashMap<>();

    Watch(Deployment now, Deployment next, int position, long seed, ToLongFunction<String> number, Meters meters,
            BiConsumer<Duration, Runnable> later, Function<Machine, String> nameOf, Function<String, Machine> ours,
            Door rules) {
        this.now = now;
        this.meters = meters;
        this.later = later;
        this.nameOf = nameOf;
        this.ours = ours;
        this.rules = rules;
        feed = new Feed<>(this, number);
        feed.logic.start(seed, ModuleTerms.of(next, position));
    }

    // ---- What the placer's own module heard ------------------------------------------------------------

    void at(Duration clock) {
        feed.logic.at(clock);
    }

    void shared(int among) {
        feed.logic.shared(among);
    }

    void list(boolean whole, boolean old, List<Feed.Line<String>> lines) {
        lines.forEach(l -> names.put(feed.machine(l.key()), l.key()));
        feed.list(whole, old, lines);
    }

    void report(String machine, double spareCores, double spareMemory, double busy, Duration at) {
        feed.report(feed.machine(machine), spareCores, spareMemory, busy, at);
    }

    void reported(String machine) {
        feed.logic.reported(machine == null ? null : feed.machine(machine));
    }

    void heard(String note) {
        feed.logic.heard(note);
    }

    void stops() {
        feed.logic.stops();
    }

    void probed(String machine, boolean ok, Duration took) {
        feed.logic.probed(feed.machine(machine), ok, ok, took);
    }

    private Twin twin(Vm real) {
        Vm own = new Vm(real.id);
        own.flavour = real.flavour;
        own.customer = real.customer;
        own.service = real.service;
        own.cores = real.cores;
        own.memory = real.memory;
        own.cameBack = real.cameBack;
        own.arrivedAt = real.arrivedAt;
        own.deadline = real.deadline;
        own.lasts = real.lasts;
        Twin t = new Twin(real, own);
        byReal.put(real, t);
        byOwn.put(own, t);
        feed.add(own);
        return t;
    }

    void runsAlready(Vm real, String machine) {
        feed.logic.runsAlready(twin(real).own, feed.machine(machine));
    }

    /** A new VM, before ours decides on it: what rules allow is as ours will find it. */
    void arrives(Vm real) {
        feed.logic.arrives(twin(real).own);
    }

    /** Ours has decided: what both did at once is compared. */
    void arrived(Vm real) {
        Twin t = byReal.get(real);
        if (t == null) {
            return;
        }
        Vm own = t.own;
        if (real.claims.isEmpty() != own.claims.isEmpty()) {
            meters.otherwise(own.claims.isEmpty() ? "hold" : "place");
        } else if (!own.claims.isEmpty() && !Objects.equals(nameOf.apply(real.claims.get(0).machine),
                names.get(own.claims.get(0).machine))) {
            meters.otherwise("machine");
        }
    }

    void bound(Vm real) {
        Twin t = byReal.get(real);
        Claim own = t == null ? null : out(t);
        if (own != null && own.boundAt == null) {
            feed.logic.bound(own);
        }
    }

    /** A note on a VM that runs. */
    void told(Vm real, BiConsumer<fordridge.Logic, Claim> what) {
        Twin t = byReal.get(real);
        if (t != null && t.own.placed != null && t.own.placed.out()) {
            what.accept(feed.logic, t.own.placed);
        }
    }

    void ended(Claim real, End end, Why why, boolean over) {
        Twin t = byReal.get(real.vm);
        if (t == null) {
            return;
        }
        Claim own = out(t);
        boolean sameMachine = own != null
                && Objects.equals(nameOf.apply(real.machine), names.get(own.machine));
        if (own != null && (over || sameMachine)) {
            feed.logic.ended(own, end, why, over);
        } else if (own != null && own.boundAt == null) {
            feed.logic.bound(own);
        }
        if (over) {
            drop(t);
        }
    }

    void left(Vm real) {
        Twin t = byReal.get(real);
        if (t != null) {
            Claim own = out(t);
            feed.logic.left(t.own);
            if (own != null) {
                feed.logic.ended(own, End.CANCELLED, Why.UNTOLD, true);
            }
            drop(t);
        }
    }

    /** Ours gave its final answer without a bind. */
    void answered(Vm real, String how, Duration advice) {
        Twin t = byReal.get(real);
        if (t != null) {
            t.realAnswer = how;
            t.realAdvice = advice;
            compare(t);
        }
    }

    private void compare(Twin t) {
        if (t.realAnswer == null && t.ownAnswer == null || !byReal.containsKey(t.real)) {
            return;
        }
        boolean ownPlaced = t.ownAnswer == null && out(t) != null;
        boolean realPlaced = t.realAnswer == null && t.real.out() > 0;
        if (ownPlaced || realPlaced) {
            meters.otherwise("answer");
            left(t.real);
        } else if (t.realAnswer != null && t.ownAnswer != null) {
            if (!t.realAnswer.equals(t.ownAnswer)) {
                meters.otherwise("answer");
            } else if (!t.realAdvice.equals(t.ownAdvice)) {
                meters.otherwise("retry_after");
            }
            drop(t);
        }
    }

    private static Claim out(Twin t) {
        Claim last = t.own.last();
        return last != null && last.out() ? last : null;
    }

    private void drop(Twin t) {
        if (out(t) == null && !t.own.over) {
            feed.logic.left(t.own);
        }
        byReal.remove(t.real);
        byOwn.remove(t.own);
        feed.forget(t.own);
    }

    // ---- What this one would do: nothing of it is done ------------------------------------------------

    @Override
    public void claim(Claim c, Duration within) {
        Twin t = byOwn.get(c.vm);
        if (t != null && t.realAnswer != null) {
            later.accept(Duration.ZERO, () -> compare(t));
        }
    }

    @Override
    public void deny(Vm own, Duration retryAfter) {
        answers(own, "denied", retryAfter);
    }

    @Override
    public void error(Vm own) {
        answers(own, "errored", Duration.ZERO);
    }

    private void answers(Vm own, String how, Duration advice) {
        Twin t = byOwn.get(own);
        if (t != null) {
            t.ownAnswer = how;
            t.ownAdvice = advice;
            later.accept(Duration.ZERO, () -> compare(t));
        }
    }

    @Override
    public void move(Vm own) {
        meters.otherwise("move");
    }

    /** Customers' rules speak to both alike. */
    @Override
    public double unfit(Vm own, Machine m) {
        Twin t = byOwn.get(own);
        return t == null ? 0 : rules.unfit(t.real, ours.apply(names.get(m)));
    }

    @Override
    public boolean ruled(Vm own) {
        Twin t = byOwn.get(own);
        return t != null && rules.ruled(t.real);
    }

    @Override
    public void cancel(Claim c) {
    }

    @Override
    public void probe(Machine m) {
        // Ours may ask in the same input, behind this; then its answer is this one's too.
        later.accept(Duration.ZERO, () -> {
            if (!ours.apply(names.get(m)).probing) {
                meters.otherwise("probe");
                // Nobody was asked: it is told neither of trouble nor of a report, and may ask again.
                later.accept(now.connectTimeout, () -> feed.logic.probed(m, true, false, now.connectTimeout));
            }
        });
    }

    @Override
    public void tell(String note) {
        if (!now.notes) {
            meters.otherwise("note");
        }
    }

    @Override
    public void wake(Duration in) {
        later.accept(in, feed.logic::woken);
    }

    @Override
    public void log(String line) {
    }

    @Override
    public void follow(boolean on) {
        if (now.listComes.equals("push")) {
            meters.otherwise("list_ask");
        }
        later.accept(Duration.ZERO, () -> feed.list(false, false, List.of()));
    }

    @Override
    public void lookup() {
    }
}
