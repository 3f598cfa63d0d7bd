package fordridge.emulator.machine;

import java.util.Map;

/** The components that the parts of a machine's model share. */
record MachineContext(
    MachineSpec spec,
    Map<String, UsageProfile> usageProfiles,
    ActiveFaults faults,
    EventQueue events,
    MachineRandom random,
    HostedVms vms,
    VmLifecycle lifecycle,
    MachineListener listener) {}
