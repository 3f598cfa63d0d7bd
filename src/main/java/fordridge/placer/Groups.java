package fordridge.placer;

import fordridge.constraint.Book;
import fordridge.constraint.Plan;
import fordridge.group.Group;
import fordridge.session.Answer;
import fordridge.state.Vm;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The groups of one instance: which VM is in which, and what a group does to it. It decides nothing. */
final class Groups implements Group.Acts {
    /** What the instance does for a group. */
    interface Hands {
        /** Finds out whether these can go together; {@code then} is given the plan. */
        void plan(List<Vm> members, Consumer<Plan> then);

        void arrive(Vm vm);

        void say(Vm vm, Answer answer);

        void stop(Vm vm);

        /** Calls off what is out; whether it may have run. */
        boolean callOff(Vm vm);

        void forget(Vm vm);

        /** The VM's name as its owner knows it. */
        String owned(Vm vm);
    }

    private record Named(String client, String group) { }

    private static final class Kept {
        final Named named;
        final int size;
        int members;

        Kept(Named named, int size) {
            this.named = named;
            this.size = size;
        }
    }

    private final Hands hands;
    private final Map<Named, Group> groups = new HashMap<>();
    private final Map<String, Group> of = new HashMap<>();
    private final Map<Group, Kept> kept = new HashMap<>();
    private final Map<String, Vm> vms = new HashMap<>();
    private final Map<String, Answer> bound = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();
    /** How often rules or machines changed: a plan made before the last change is made anew. */
    private int changes;

    Groups(Hands hands) {
        this.hands = hands;
    }

    /** Puts a VM into its group; why not, or null. */
    String join(Vm vm, String client, String name, int size, boolean mayRepeat) {
        Named key = new Named(client, name);
        Group g = groups.computeIfAbsent(key, k -> new Group(name, size, this));
        Kept k = kept.computeIfAbsent(g, x -> new Kept(key, size));
        if (k.size != size) {
            return "group '" + name + "' was begun with size " + k.size + ", not " + size;
        }
        vms.put(vm.id, vm);
        of.put(vm.id, g);
        k.members++;
        if (g.joins(vm.id, mayRepeat)) {
            return null;
        }
        drop(vm);
        return "group '" + name + "' is full or over";
    }

    /** A member, also one that is held back; null for others. */
    Vm member(String id) {
        return vms.get(id);
    }

    Group of(Vm vm) {
        return of.get(vm.id);
    }

    /** Bound, and heard of by its owner once all are. */
    void bound(Vm vm, Answer answer) {
        bound.put(vm.id, answer);
        of.get(vm.id).bound(vm.id);
    }

    /** Time is nearly up for its first member. */
    void due(Vm vm) {
        Group g = of.get(vm.id);
        if (g != null) {
            g.gaveUp(g.complete() ? "not all were bound in time" : "not all of it were asked for in time");
            tidy(g);
        }
    }

    /** Lets go of a VM that was answered and is heard of no more. */
    void drop(Vm vm) {
        Group g = of.remove(vm.id);
        vms.remove(vm.id);
        bound.remove(vm.id);
        plans.remove(vm.id);
        if (g != null) {
            kept.get(g).members--;
            tidy(g);
        }
    }

    private void tidy(Group g) {
        Kept k = kept.get(g);
        if (k != null && g.over() && k.members == 0) {
            groups.remove(k.named);
            kept.remove(g);
        }
    }

    @Override
    public void whole(List<String> members) {
        Group g = of.get(members.get(0));
        List<Vm> some = members.stream().map(vms::get).toList();
        int asked = changes;
        hands.plan(some, plan -> {
            if (!members.stream().allMatch(id -> of.get(id) == g)) {
                return; // It ended while it was thought about.
            }
            if (asked != changes) {
                whole(members);
            } else if (plan.refusal() != null) {
                g.gaveUp(plan.refusal());
                tidy(g);
            } else {
                members.forEach(id -> plans.put(id, plan));
                g.go(plan.order());
            }
        });
    }

    /** What speaks against a machine for a member, by its group's plan. */
    double unfit(Vm vm, Book.Spot spot) {
        Plan plan = plans.get(vm.id);
        return plan == null ? 0 : plan.unfit(vm.id, spot);
    }

    /** Whether its plan settles what it is near to. */
    boolean settlesNear(Vm vm) {
        Plan plan = plans.get(vm.id);
        return plan != null && plan.settlesNear(vm.id);
    }

    /** Nobody joins any more: groups that are not all here are given up. */
    void stops() {
        for (Group g : List.copyOf(groups.values())) {
            if (!g.complete()) {
                g.gaveUp("the placer is stopping");
                tidy(g);
            }
        }
    }

    /** Rules or machines changed: what was planned no longer holds, and the rules alone go on. */
    void letGoOfPlans() {
        changes++;
        plans.clear();
    }

    @Override
    public void place(String id) {
        hands.arrive(vms.get(id));
    }

    @Override
    public void tellBound(String id) {
        hands.say(vms.get(id), bound.remove(id));
    }

    @Override
    public void stop(String id) {
        hands.stop(vms.get(id));
    }

    @Override
    public void callOff(String id) {
        Vm vm = vms.get(id);
        Group g = of.get(id);
        if (hands.callOff(vm)) {
            g.errored(id, "called off");
        } else {
            g.denied(id, "called off");
        }
    }

    @Override
    public void deny(String id, String why) {
        Vm vm = vms.get(id);
        hands.say(vm, Answer.denied(hands.owned(vm), Duration.ZERO, why));
        hands.forget(vm);
    }

    @Override
    public void error(String id, String why) {
        Vm vm = vms.get(id);
        hands.say(vm, Answer.errored(hands.owned(vm), why));
        hands.forget(vm);
    }
}
