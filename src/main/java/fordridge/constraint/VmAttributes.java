package fordridge.constraint;

/** What constraints can select a VM by: its tenant, its priority class and its service's number. */
public record VmAttributes(String tenant, String priorityClass, long service) {}
