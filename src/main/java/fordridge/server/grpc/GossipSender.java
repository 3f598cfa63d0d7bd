package fordridge.server.grpc;

import fordridge.grpc.GossipSocket;
import fordridge.observability.Metrics;
import java.util.Optional;

/**
 * Sends this scheduler's gossip messages; drops them if no socket is set, as when gossip is off.
 */
final class GossipSender {
  private final Metrics metrics;
  private Optional<GossipSocket> socket = Optional.empty();

  GossipSender(Metrics metrics) {
    this.metrics = metrics;
  }

  void setSocket(GossipSocket newSocket) {
    socket = Optional.of(newSocket);
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
