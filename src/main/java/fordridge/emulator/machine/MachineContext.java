package fordridge.emulator.machine;

import java.util.Map;

/** What the parts of one machine's model share. */
record MachineContext(
    MachineSpec spec,
    Map<String, UsageProfile> usageProfiles,
    ActiveFaults faults,
    EventQueue events,
    MachineRandom random,
    HostedVms vms,
    VmLifecycle lifecycle,
    MachineListener listener) {}
