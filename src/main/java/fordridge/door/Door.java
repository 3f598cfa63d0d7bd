package fordridge.door;

import fordridge.state.Claim;
import fordridge.state.Machine;
import fordridge.state.Vm;
import java.time.Duration;

/** All that the module can do to the world. Whoever feeds the module implements it. */
public interface Door {
    /** Offers the claim's VM to the claim's machine; zero {@code within} waits until the owner stops. */
    void claim(Claim claim, Duration within);

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

    /** Asks to be woken once, this much later. */
    void wake(Duration in);

    /** Leaves a line for those on call. */
    void log(String line);

    /** Subscribes to changes of the list of machines, or ends that. */
    void follow(boolean on);

    /** Asks for the whole list once. */
    void lookup();
}
