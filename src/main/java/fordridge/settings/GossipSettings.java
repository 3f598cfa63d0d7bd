package fordridge.settings;

import java.util.List;

/**
 * Gossip between schedulers (key {@code cluster.notes}, block {@code placer.notes}).
 *
 * @param isEnabled whether schedulers exchange gossip
 * @param host local address at which gossip is received
 * @param port UDP port of the first instance; 0 for any free port
 * @param peers {@code host:port} of every other scheduler
 */
public record GossipSettings(boolean isEnabled, String host, int port, List<String> peers) {
  static GossipSettings read(ConfigReader reader) {
    return new GossipSettings(
        reader.bool("cluster.notes"),
        reader.string("placer.notes.host", Limits.MAX_HOST_LENGTH),
        reader.integer("placer.notes.port", 0, Limits.MAX_PORT),
        reader.strings("placer.notes.to"));
  }

  void check(ConfigReader reader, int schedulerCount) {
    for (String peer : peers) {
      if (!HostAndPort.isValid(peer)) {
        reader.reject("placer.notes.to", "'" + peer + "'", "host:port");
      }
    }
    if (isEnabled && schedulerCount > 1 && peers.isEmpty()) {
      reader.reject(
          "placer.notes.to", "none", "host:port of each other placer if cluster.notes is on");
    }
  }
}
