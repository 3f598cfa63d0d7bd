package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.SLOW_START_RESPECTED;

import fordridge.emulator.record.RecordedEvent;

/**
 * Checks that a machine that is warming up gets no more offers within its overload span than its
 * limit.
 */
final class SlowStartInvariant {
  private final ObservedState state;
  private final Findings findings;

  SlowStartInvariant(ObservedState state, Findings findings) {
    this.state = state;
    this.findings = findings;
  }

  void attemptOffered(ObservedAttempt attempt) {
    ObservedMachine machine = state.machine(attempt.machine);
    long nowUs = attempt.offeredAtUs;
    if (!machine.isWarmingUp(nowUs)) {
      return;
    }
    int offers = machine.addWarmUpOffer(nowUs);
    double limit = machine.warmUpOfferLimit(nowUs);
    findings.recordMaximum(Statistic.MAX_OFFERS_DURING_WARM_UP, offers);
    if (offers > limit) {
      findings.addViolation(
          SLOW_START_RESPECTED,
          offers
              + " offers to "
              + machine.name
              + " within the overload span, "
              + Math.round(machine.ageUs(nowUs) / 1e4) / 100.0
              + " s after it came up; its limit is "
              + Math.round(limit * 10) / 10.0);
    }
  }

  void machineOverloaded(RecordedEvent event) {
    findings.addViolation(
        SLOW_START_RESPECTED, event.source() + " was overloaded while warming up");
  }
}
