package fordridge.constraint;

/**
 * The attributes by which constraints select a VM: its tenant, its priority class and the number of
 * its service.
 */
public record VmAttributes(String tenant, String priorityClass, long service) {}
