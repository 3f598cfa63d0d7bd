package fordridge.membership;

import fordridge.model.Machine.Lifecycle;

/**
 * A change of one machine in the machine list.
 *
 * @param machine the machine's last known record, even if the machine is gone
 * @param isNewMachine whether another machine or a new incarnation has taken over a known name
 */
public record MachineUpdate(
    String name, Lifecycle lifecycle, MachineRecord machine, boolean isNewMachine) {}
