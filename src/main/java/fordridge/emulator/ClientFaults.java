package fordridge.emulator;

import java.time.Duration;
import java.util.Random;

/** Injects faults into clients and their streams to the schedulers. */
final class ClientFaults {
  private static final int MIN_DISCONNECT_MILLIS = 20;

  private final ScenarioPeers peers;
  private final FaultTargets targets;
  private final FaultTimeline timeline;

  ClientFaults(ScenarioPeers peers, FaultTargets targets, FaultTimeline timeline) {
    this.peers = peers;
    this.targets = targets;
    this.timeline = timeline;
  }

  void begin(ScenarioFault fault, Random random) {
    switch (fault.kind()) {
      case BURST -> burst(fault);
      case RECONNECT -> reconnect(fault);
      case CUT_CLIENTS -> cutStreams(fault, random);
      case CUT_BINDS -> cutAtAcceptances(fault, random);
      default ->
          throw new IllegalArgumentException(
              "fault kind "
                  + fault.kind()
                  + " does not apply to clients; valid kinds are BURST, RECONNECT, CUT_CLIENTS and"
                  + " CUT_BINDS");
    }
  }

  private void burst(ScenarioFault fault) {
    for (EmulatedClient client : peers.clients()) {
      client.execute(() -> client.scaleRate(fault.size()));
    }
    timeline.runAfter(
        fault.length(),
        () -> {
          for (EmulatedClient client : peers.clients()) {
            client.execute(() -> client.undoScaleRate(fault.size()));
          }
        });
  }

  private void reconnect(ScenarioFault fault) {
    for (EmulatedClient client : peers.clients()) {
      client.execute(() -> client.restartVms(fault.share(), fault.length()));
    }
  }

  private void cutStreams(ScenarioFault fault, Random random) {
    Duration disconnectTime =
        Duration.ofMillis((long) Math.max(MIN_DISCONNECT_MILLIS, fault.size()));
    for (EmulatedClient client : targets.clients(fault, random)) {
      client.execute(() -> client.stream().cut(disconnectTime));
    }
  }

  private void cutAtAcceptances(ScenarioFault fault, Random random) {
    for (EmulatedClient client : targets.clients(fault, random)) {
      client.execute(
          () -> client.stream().cutAtAcceptances(fault.sizeAtLeastOne(), fault.extraMillis()));
    }
  }
}
