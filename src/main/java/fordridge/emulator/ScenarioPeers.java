package fordridge.emulator;

import java.util.List;
import java.util.Optional;

/**
 * The emulated peers of a scenario.
 *
 * @param machines the machines of the fleet; spare machines are added when they join
 * @param spares machines that can join the fleet later
 * @param etcd the emulated etcd, if the machine list is published there
 */
record ScenarioPeers(
    List<EmulatedMachine> machines,
    List<EmulatedMachine> spares,
    List<EmulatedClient> clients,
    EmulatedRegistry registry,
    Optional<EmulatedEtcd> etcd) {}
