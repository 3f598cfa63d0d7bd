package fordridge.emulator;

import fordridge.settings.DeploymentSettings;

/**
 * A service and what its VMs request.
 *
 * @param number identifies the service
 * @param meanLifeSeconds of its VMs
 */
record ServiceProfile(
    long number,
    DeploymentSettings.PriorityClass priorityClass,
    String tenant,
    ScenarioPlan.Shape shape,
    double meanLifeSeconds) {}
