package fordridge.emulator;

import fordridge.emulator.machine.MachineSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Selects the machines and clients that a fault affects; the same seed gives the same ones. */
final class FaultTargets {
  private final ScenarioPeers peers;

  FaultTargets(ScenarioPeers peers) {
    this.peers = peers;
  }

  /**
   * Draws the fault's share of the machines that are not gone in the registry. If the fault has a
   * scope, machines with the same label as the first one drawn are preferred; a zone loss affects
   * exactly the machines of that group.
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

  /** Draws each client independently, with the fault's share as the probability. */
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
