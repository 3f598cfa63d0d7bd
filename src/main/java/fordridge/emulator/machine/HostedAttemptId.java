package fordridge.emulator.machine;

/**
 * Identifies a placement attempt by its scheduler, its VM, and the attempt's number for that VM.
 */
public record HostedAttemptId(String scheduler, String vm, int number) {}
