package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.SLOW_START_RESPECTED;

import fordridge.emulator.record.RecordedEvent;

/** No machine that is warming up gets more offers in its overload span than it withstands. */
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
    int offers = machine.countWarmingOffer(nowUs);
    double limit = machine.warmingOfferLimit(nowUs);
    findings.maximum(Figure.MOST_OFFERS_WHILE_WARMING, offers);
    if (offers > limit) {
      findings.violated(
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
    findings.violated(SLOW_START_RESPECTED, event.source() + " was overloaded while warming up");
  }
}
