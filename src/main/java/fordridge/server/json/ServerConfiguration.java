package fordridge.server.json;

import fordridge.json.JsonFields;
import fordridge.model.SettingsValues;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Where this placer is posted: its name and address, its limits, the journal, and the terms that
 * the module reads.
 */
public final class ServerConfiguration {
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

  private ServerConfiguration(Map<String, Object> from) {
    name = JsonFields.text(from, "name", "configuration");
    listen = address(JsonFields.text(from, "listen", "configuration"));
    journal = address(JsonFields.text(from, "journal", "configuration"));
    String hex = JsonFields.text(from, "seed", "configuration");
    try {
      seed = Long.parseUnsignedLong(hex, 16);
    } catch (NumberFormatException e) {
      throw new JsonFields.MalformedInputException(
          "configuration: field 'seed' is not a number in hex: " + hex);
    }
    limits = JsonFields.object(from.get("limits"), "configuration.limits");
    sockets = (int) JsonFields.whole(limits, "sockets", "configuration.limits");
    if (sockets < 64) {
      throw new JsonFields.MalformedInputException(
          "configuration.limits: too few sockets to serve with: " + sockets);
    }
    Map<String, Object> events = JsonFields.object(from.get("known"), "configuration.known");
    pos = JsonFields.whole(events, "pos", "configuration.known");
    known = JsonFields.list(events, "entries", "configuration.known");
    SettingsValues.flatten(
        "", JsonFields.object(from.get("settings"), "configuration.settings"), terms);
    if (!(terms.get("lanes") instanceof Long n) || n < 1) {
      throw new JsonFields.MalformedInputException(
          "configuration.settings: no flavours under 'lanes'");
    }
  }

  /** Reads it whole, or says what is wrong with it. */
  public static ServerConfiguration read(Path file) throws IOException {
    return new ServerConfiguration(JsonFields.line(Files.readString(file)));
  }

  static InetSocketAddress address(String hostPort) {
    int colon = hostPort.lastIndexOf(':');
    try {
      String host = hostPort.substring(0, Math.max(0, colon));
      if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:]+\\]?")) {
        throw new JsonFields.MalformedInputException("not an address and port: " + hostPort);
      }
      return new InetSocketAddress(host, Integer.parseInt(hostPort.substring(colon + 1)));
    } catch (IllegalArgumentException e) {
      throw new JsonFields.MalformedInputException("not an address and port: " + hostPort);
    }
  }
}
