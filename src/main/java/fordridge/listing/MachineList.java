package fordridge.listing;

import fordridge.state.Machine.Listing;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;

/** Where the list of machines comes from. Whatever stands behind it gives whole lists, each newer than the last. */
public interface MachineList extends AutoCloseable {
    /** One machine; {@code started} is null for long ago, and changes only when the machine starts anew. */
    record Entry(String name, InetSocketAddress address, String kind, String zone, int cell, Listing listing,
            double freeCores, double freeMemory, Instant started) { }

    /** A whole list: what it does not name is gone. */
    record Snapshot(long version, List<Entry> entries) { }

    /** The latest list that could be read. */
    Snapshot latest();

    /** Tells of each newer list, on a thread of its own; the taker hands it to its loop. */
    void follow(Consumer<Snapshot> taker);

    @Override
    void close();
}
