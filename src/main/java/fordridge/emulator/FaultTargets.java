package fordridge.emulator;

import fordridge.emulator.machine.MachineSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Draws the machines and clients that a fault hits; the same for the same seed. */
final class FaultTargets {
  private final ScenarioPeers peers;

  FaultTargets(ScenarioPeers peers) {
    this.peers = peers;
  }

  /**
   * A share of the machines that the registry knows to be there. If the fault has a scope, those
   * that share it with the first one drawn come first; the loss of a zone hits exactly those.
   */
  List<EmulatedMachine> machines(ScenarioFault fault, Random random) {
    List<EmulatedMachine> candidates = new ArrayList<>(peers.machines());
    candidates.removeIf(peers.registry()::isGone);
    Collections.shuffle(candidates, random);
    int count = Math.max(1, (int) Math.round(fault.share() * candidates.size()));
    if (fault.scope() != ScenarioFault.Scope.ANY) {
      String firstGroup = group(fault, candidates.get(0));
      candidates.sort(
          (a, b) ->
              Boolean.compare(
                  !group(fault, a).equals(firstGroup), !group(fault, b).equals(firstGroup)));
      if (fault.kind() == FaultKind.ZONE_LOSS) {
        count =
            (int)
                candidates.stream()
                    .filter(machine -> group(fault, machine).equals(firstGroup))
                    .count();
      }
    }
    return candidates.subList(0, Math.min(count, candidates.size()));
  }

  private static String group(ScenarioFault fault, EmulatedMachine machine) {
    MachineSpec.Labels labels = machine.spec().labels();
    return switch (fault.scope()) {
      case ZONE -> labels.zone();
      case CELL -> labels.zone() + labels.cell();
      case KIND, ANY -> labels.kind();
    };
  }

  /** A share of the clients, each drawn by itself. */
  List<EmulatedClient> clients(ScenarioFault fault, Random random) {
    List<EmulatedClient> targets = new ArrayList<>();
    for (EmulatedClient client : peers.clients()) {
      if (random.nextDouble() < fault.share()) {
        targets.add(client);
      }
    }
    return targets;
  }
}
