package fordridge.emulator.machine;

import java.time.Duration;

/**
 * A VM as a scheduler offers it to a machine.
 *
 * @param priority the priority; a VM of higher priority may preempt VMs of lower priority
 * @param runTime how long the VM runs; zero if it runs until it is stopped
 */
public record VmOffer(
    HostedAttemptId attempt,
    String priorityClass,
    String tenant,
    String client,
    long service,
    Resources requested,
    int priority,
    Duration runTime) {

  /** Requested cores and memory. */
  public record Resources(double cores, double memory) {}
}
