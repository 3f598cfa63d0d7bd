package fordridge.emulator.machine;

import java.time.Duration;
import java.util.Optional;

/**
 * The faults that are injected into a machine. Not thread-safe: to be changed on the machine's
 * thread.
 */
public final class ActiveFaults {
  /** The attribute of an offer by which a throttle selects it. */
  public enum ThrottleSubject {
    TENANT,
    PRIORITY_CLASS
  }

  /**
   * A limit on the rate of offers of a tenant or priority class; offers above it are refused with
   * an unspecified reason.
   *
   * @param name the name of the tenant or priority class
   * @param ratePerSecond the offers that pass in any second; values below one count as one
   * @param delay the delay from the examination of an offer to its refusal
   */
  public record Throttle(
      ThrottleSubject subject, String name, double ratePerSecond, Duration delay) {
    boolean covers(VmOffer offer) {
      String subjectName =
          subject == ThrottleSubject.TENANT ? offer.tenant() : offer.priorityClass();
      return name.equals(subjectName);
    }
  }

  private double slowdown = 1;
  private double failureProbability;
  private boolean isPaused;
  private Optional<Throttle> throttle = Optional.empty();
  private double neighbourCoresShare;
  private double usageFactor = 1;

  double slowdown() {
    return slowdown;
  }

  /** Multiplies the duration of the machine's work by this factor; 1 ends the fault. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  double failureProbability() {
    return failureProbability;
  }

  /** Lets offers fail with this probability when they are examined; 0 ends the fault. */
  public void setFailureProbability(double probability) {
    failureProbability = probability;
  }

  boolean isPaused() {
    return isPaused;
  }

  /**
   * Pauses or resumes the machine. A paused machine does nothing; events that fell due run after it
   * resumes.
   */
  public void setPaused(boolean paused) {
    isPaused = paused;
  }

  Optional<Throttle> throttle() {
    return throttle;
  }

  /** Sets the throttle, replacing the previous one. */
  public void setThrottle(Throttle newThrottle) {
    throttle = Optional.of(newThrottle);
  }

  /** Removes the throttle. */
  public void clearThrottle() {
    throttle = Optional.empty();
  }

  double neighbourCoresShare() {
    return neighbourCoresShare;
  }

  /** Lets another program on the host take this share of the cores; 0 ends the fault. */
  public void setNeighbourCoresShare(double share) {
    neighbourCoresShare = share;
  }

  double usageFactor() {
    return usageFactor;
  }

  /** Multiplies the resource usage of VMs by this factor; 1 ends the fault. */
  public void setUsageFactor(double factor) {
    usageFactor = factor;
  }
}
