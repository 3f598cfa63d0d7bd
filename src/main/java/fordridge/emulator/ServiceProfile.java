package fordridge.emulator;

import fordridge.settings.PriorityClassSettings;

/**
 * A service and what its VMs request.
 *
 * @param number identifies the service
 * @param meanLifeSeconds of its VMs
 */
record ServiceProfile(
    long number,
    PriorityClassSettings priorityClass,
    String tenant,
    ScenarioPlan.Shape shape,
    double meanLifeSeconds) {}
