package fordridge.door;

import fordridge.state.Claim;
import fordridge.state.Machine;
import fordridge.state.Vm;
import java.time.Duration;

/** All that the module can do to the world. Whoever feeds the module implements it. */
public interface Door {
    /** Offers the claim's VM to the claim's machine; zero {@code within} waits until the owner stops. */
    void claim(Claim claim, Duration within);

    /**
     * How much customers' rules speak against the VM's going there: infinite where one forbids it, 0 where nothing
     * does. Where there are no rules it is 0 throughout.
     */
    default double unfit(Vm vm, Machine machine) {
        return 0;
    }

    /** Whether any rule speaks of such VMs, so that one of its shape does not speak for others. */
    default boolean ruled(Vm vm) {
        return false;
    }

    /** Final answer: no, and asking again does no harm; zero gives no advice on when. */
    void deny(Vm vm, Duration retryAfter);

    /** Final answer: no promise about what ran. */
    void error(Vm vm);

    /** Stops a placed VM; its owner asks again. */
    void move(Vm vm);

    /** Gives up waiting for one claim. */
    void cancel(Claim claim);

    /** Asks a machine for a report. */
    void probe(Machine machine);

    /** Sends a note to every other placer; it may be late or lost. Only where the terms allow notes. */
    default void tell(String note) {
    }

    /** Asks to be woken once, this much later. */
    void wake(Duration in);

    /** Leaves a line for those on call. */
    void log(String line);

    /** Subscribes to changes of the list of machines, or ends that. */
    void follow(boolean on);

    /** Asks for the whole list once. */
    void lookup();
}
