package fordridge.membership;

import fordridge.model.Machine.Lifecycle;

/**
 * A change of one machine.
 *
 * @param machine the machine's last record, also of a machine that is gone
 * @param isNewMachine whether another machine, or a new incarnation, appeared under a known name
 */
public record MachineUpdate(
    String name, Lifecycle lifecycle, MachineRecord machine, boolean isNewMachine) {}
