package fordridge.emulator;

import java.time.Duration;
import java.util.Random;

/** Faults of clients and of their streams. */
final class ClientFaults {
  private static final int MIN_CUT_MILLIS = 20;

  private final ScenarioPeers peers;
  private final FaultTargets targets;
  private final FaultTimeline timeline;

  ClientFaults(ScenarioPeers peers, FaultTargets targets, FaultTimeline timeline) {
    this.peers = peers;
    this.targets = targets;
    this.timeline = timeline;
  }

  void begin(FaultPlan fault, Random random) {
    switch (fault.kind()) {
      case BURST -> burst(fault);
      case RECONNECT -> reconnect(fault);
      case CUT_CLIENTS -> cutStreams(fault, random);
      case CUT_BINDS -> cutAtAcceptances(fault, random);
      default -> throw new IllegalArgumentException("not a fault of clients: " + fault.kind());
    }
  }

  private void burst(FaultPlan fault) {
    for (EmulatedClient client : peers.clients()) {
      client.execute(() -> client.scaleRate(fault.size()));
    }
    timeline.after(
        fault.length(),
        () -> {
          for (EmulatedClient client : peers.clients()) {
            client.execute(() -> client.unscaleRate(fault.size()));
          }
        });
  }

  private void reconnect(FaultPlan fault) {
    for (EmulatedClient client : peers.clients()) {
      client.execute(() -> client.restartVms(fault.share(), fault.length()));
    }
  }

  private void cutStreams(FaultPlan fault, Random random) {
    Duration length = Duration.ofMillis((long) Math.max(MIN_CUT_MILLIS, fault.size()));
    for (EmulatedClient client : targets.clients(fault, random)) {
      client.execute(() -> client.stream().cut(length));
    }
  }

  private void cutAtAcceptances(FaultPlan fault, Random random) {
    for (EmulatedClient client : targets.clients(fault, random)) {
      client.execute(
          () -> client.stream().cutAtAcceptances(fault.sizeAtLeastOne(), fault.extraMillis()));
    }
  }
}
