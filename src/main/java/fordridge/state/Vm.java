package fordridge.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One ask to have a VM placed, and the VM itself once it is. */
public final class Vm {
    /** The name it bears at the door; the module only hands it back. */
    public final String id;
    public String flavour;
    public String customer = "";
    public long service;
    public double cores;
    public double memory;
    public boolean cameBack;
    public Duration arrivedAt;
    public Duration deadline;
    /** Expected life, null where not told. */
    public Duration lasts;
    public final List<Claim> claims = new ArrayList<>();
    public Claim placed;
    /** Among which VMs it is held, null when it is not; its place in that order, and when it is given up. */
    Held.Group heldIn;
    long heldAs;
    int heldRank;
    Duration giveUpAt;
    /** Final answer given, or the end told. */
    public boolean over;
    /** Stopped by a move of ours; what follows is no fault of the machine. */
    public boolean moved;

    public Vm(String id) {
        this.id = id;
    }

    /** What refusals of one customer's VMs of one flavour are booked under. */
    public String kin() {
        return customer + " " + flavour;
    }

    /** Its latest claim, or null. */
    public Claim last() {
        return claims.isEmpty() ? null : claims.get(claims.size() - 1);
    }

    public int out() {
        int n = 0;
        for (Claim c : claims) {
            if (c.out()) {
                n++;
            }
        }
        return n;
    }
}
