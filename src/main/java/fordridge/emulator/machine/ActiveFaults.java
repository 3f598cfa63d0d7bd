package fordridge.emulator.machine;

import java.time.Duration;
import java.util.Optional;

/** The faults in force at a machine. Not thread-safe: to be changed on the machine's thread. */
public final class ActiveFaults {
  /** Whose offers a throttle refuses. */
  public enum ThrottleSubject {
    TENANT,
    PRIORITY_CLASS
  }

  /**
   * Refuses offers of a tenant or a priority class without a reason above a rate.
   *
   * @param name of the tenant or priority class
   * @param ratePerSecond offers that pass in any second, at least one
   * @param delay how long a refusal takes
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

  /** Work takes this many times as long; 1 ends it. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  double failureProbability() {
    return failureProbability;
  }

  /** Offers fail at once with this probability; 0 ends it. */
  public void setFailureProbability(double probability) {
    failureProbability = probability;
  }

  boolean isPaused() {
    return isPaused;
  }

  /** A paused machine does nothing, and makes up for it later. */
  public void setPaused(boolean paused) {
    isPaused = paused;
  }

  Optional<Throttle> throttle() {
    return throttle;
  }

  /** Replaces the throttle. */
  public void setThrottle(Throttle newThrottle) {
    throttle = Optional.of(newThrottle);
  }

  /** Ends the throttle. */
  public void clearThrottle() {
    throttle = Optional.empty();
  }

  double neighbourCoresShare() {
    return neighbourCoresShare;
  }

  /** Another program takes this share of the cores; 0 ends it. */
  public void setNeighbourCoresShare(double share) {
    neighbourCoresShare = share;
  }

  double usageFactor() {
    return usageFactor;
  }

  /** VMs use this many times as much; 1 ends it. */
  public void setUsageFactor(double factor) {
    usageFactor = factor;
  }
}
