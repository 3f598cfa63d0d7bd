package fordridge.emulator;

import fordridge.settings.PriorityClassSettings;

/**
 * A service and the properties of its VMs.
 *
 * @param number identifies the service
 * @param shape the resources that each VM requests
 * @param meanLifeSeconds mean run time of the VMs
 */
record ServiceProfile(
    long number,
    PriorityClassSettings priorityClass,
    String tenant,
    ScenarioPlan.Shape shape,
    double meanLifeSeconds) {}
