package fordridge.server.grpc;

import fordridge.grpc.GossipSocket;
import fordridge.observability.Metrics;
import java.util.Optional;

/** Sends this scheduler's gossip once it has a socket; without one, gossip is off. */
final class Gossip {
  private final Metrics metrics;
  private Optional<GossipSocket> socket = Optional.empty();

  Gossip(Metrics metrics) {
    this.metrics = metrics;
  }

  void setSocket(GossipSocket opened) {
    socket = Optional.of(opened);
  }

  void send(String message) {
    if (socket.isPresent()) {
      socket.get().send(message);
      metrics.gossipSent();
    }
  }

  void close() {
    socket.ifPresent(GossipSocket::close);
  }
}
