package fordridge.node;

import fordridge.jsonl.Json;
import fordridge.state.Terms;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Where this placer is posted: its name and address, its limits, the journal, and the terms that the module reads. */
public final class Configuration {
    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress journal;
    public final long seed;
    public final int sockets;
    /** As told, for the log. */
    public final Map<String, Object> limits;
    /** The number of the last event known at the start, and the events. */
    public final long pos;
    public final List<Object> known;
    public final Map<String, Object> terms = new HashMap<>();

    private Configuration(Map<String, Object> from) {
        name = Json.text(from, "name", "configuration");
        listen = address(Json.text(from, "listen", "configuration"));
        journal = address(Json.text(from, "journal", "configuration"));
        String hex = Json.text(from, "seed", "configuration");
        try {
            seed = Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new Json.Malformed("configuration: field 'seed' is not a number in hex: " + hex);
        }
        limits = Json.object(from.get("limits"), "configuration.limits");
        sockets = (int) Json.whole(limits, "sockets", "configuration.limits");
        if (sockets < 64) {
            throw new Json.Malformed("configuration.limits: too few sockets to serve with: " + sockets);
        }
        Map<String, Object> events = Json.object(from.get("known"), "configuration.known");
        pos = Json.whole(events, "pos", "configuration.known");
        known = Json.list(events, "entries", "configuration.known");
        Terms.flatten("", Json.object(from.get("settings"), "configuration.settings"), terms);
        if (!(terms.get("lanes") instanceof Long n) || n < 1) {
            throw new Json.Malformed("configuration.settings: no flavours under 'lanes'");
        }
    }

    /** Reads it whole, or says what is wrong with it. */
    public static Configuration read(Path file) throws IOException {
        return new Configuration(Json.line(Files.readString(file)));
    }

    static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        try {
            String host = hostPort.substring(0, Math.max(0, colon));
            if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:]+\\]?")) {
                throw new Json.Malformed("not an address and port: " + hostPort);
            }
            return new InetSocketAddress(host, Integer.parseInt(hostPort.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new Json.Malformed("not an address and port: " + hostPort);
        }
    }
}
