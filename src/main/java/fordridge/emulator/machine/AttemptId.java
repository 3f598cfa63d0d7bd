package fordridge.emulator.machine;

/** Names a placement attempt: the scheduler, its VM, and the attempt's number for that VM. */
public record AttemptId(String scheduler, String vm, int number) {}
