package fordridge.constraint;

import fordridge.constraint.Rule.Domain;
import fordridge.constraint.Rule.Scope;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Finds in a set of rules what no placing could ever meet, before any VM is refused for it. Looks at one VM of each kind
 * that the rules tell apart, and names a smallest set of rules that clash.
 *
 * <p>By counts alone nothing is impossible for the first VM (near holds while there is none of the other, a spread has
 * room for one); so what can be said for good is: labels that no machine has together, and a VM that must be near what it
 * must also keep apart from, which could go nowhere as soon as one of those runs.
 */
public final class Sense {
    /** VMs of a kind that can go nowhere, and why. */
    public record Clash(String vms, List<Rule> rules, String what) {
        @Override
        public String toString() {
            return rules.stream().map(r -> "rule '" + r.name() + "' (line " + r.line() + ": " + r.clause() + ")")
                    .collect(Collectors.joining(" and ")) + " " + what + ", for VMs of " + vms;
        }
    }

    private Sense() {
    }

    /** All clashes; with no machines known yet only those that hold on any. */
    public static List<Clash> of(List<Rule> rules, Collection<Book.Spot> machines) {
        Book book;
        try {
            // Shares among placers do not bear on it.
            book = new Book(rules.stream().filter(r -> !(r.clause() instanceof Rule.Most)).toList(), 1);
        } catch (Book.Unkeepable e) {
            throw new IllegalStateException(e);
        }
        book.machines(machines);
        Map<String, Clash> found = new LinkedHashMap<>();
        for (String customer : values(rules, 0)) {
            for (String flavour : values(rules, 1)) {
                for (String service : values(rules, 2)) {
                    long number = service.isEmpty() ? -1 : Long.parseLong(service);
                    String vms = words(customer, flavour, service);
                    List<Rule> labels = book.conflict(customer, flavour, number);
                    if (!labels.isEmpty()) {
                        found.putIfAbsent(names(labels), new Clash(vms, labels, labels.size() == 1
                                ? "is met by no machine" : "are met by no machine together"));
                    }
                    nearAndApart(rules, customer, flavour, number, vms, found);
                }
            }
        }
        return List.copyOf(found.values());
    }

    private static void nearAndApart(List<Rule> rules, String customer, String flavour, long service, String vms,
            Map<String, Clash> found) {
        List<Rule> mine = rules.stream().filter(r -> r.required() && r.scope().covers(customer, flavour, service)).toList();
        for (Rule n : mine) {
            if (!(n.clause() instanceof Rule.Near near)) {
                continue;
            }
            for (Rule a : mine) {
                if (a.clause() instanceof Rule.Apart apart && within(near.other(), apart.other())
                        && atLeast(apart.per(), near.per())) {
                    found.putIfAbsent(names(List.of(n, a)), new Clash(vms, List.of(n, a),
                            "leave no place as soon as one of " + near.other() + " runs"));
                }
            }
        }
    }

    /** Every VM of the one scope is of the other. */
    private static boolean within(Scope part, Scope whole) {
        return within(part.customers(), whole.customers()) && within(part.flavours(), whole.flavours())
                && within(part.services(), whole.services());
    }

    private static boolean within(Set<String> part, Set<String> whole) {
        return whole.isEmpty() || !part.isEmpty() && whole.containsAll(part);
    }

    /** A domain of the first kind holds the whole of any of the second that it touches. */
    private static boolean atLeast(Domain large, Domain small) {
        return large.ordinal() >= small.ordinal();
    }

    /** Values that the rules speak of, and one that none speaks of. */
    private static Set<String> values(List<Rule> rules, int field) {
        Set<String> some = new TreeSet<>();
        some.add("");
        List<Scope> scopes = new ArrayList<>();
        for (Rule r : rules) {
            scopes.add(r.scope());
        }
        for (Scope s : scopes) {
            some.addAll(field == 0 ? s.customers() : field == 1 ? s.flavours() : s.services());
        }
        return some;
    }

    private static String names(List<Rule> rules) {
        return rules.stream().map(Rule::name).sorted().collect(Collectors.joining(" "));
    }

    private static String words(String customer, String flavour, String service) {
        String s = (customer.isEmpty() ? "" : " customer " + customer) + (flavour.isEmpty() ? "" : " flavour " + flavour)
                + (service.isEmpty() ? "" : " service " + service);
        return s.isEmpty() ? "any kind" : s.substring(1);
    }
}
