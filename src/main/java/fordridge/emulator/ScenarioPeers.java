package fordridge.emulator;

import java.util.List;
import java.util.Optional;

/**
 * The emulated peers of a scenario.
 *
 * @param machines that are in the fleet; spare machines move here as they come up
 * @param etcd if the machine list is published there
 */
record ScenarioPeers(
    List<EmulatedMachine> machines,
    List<EmulatedMachine> spares,
    List<EmulatedClient> clients,
    EmulatedRegistry registry,
    Optional<EmulatedEtcd> etcd) {}
