package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.SPREAD_RESPECTED;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that no scheduler has more VMs of one service in a failure domain than the spread limit of
 * their priority class allows.
 */
final class SpreadInvariant {
  private record ServiceOfScheduler(String scheduler, long service) {}

  private final ObservedState state;
  private final Findings findings;
  private final Map<ServiceOfScheduler, Map<String, Integer>> countsByDomain = new HashMap<>();

  SpreadInvariant(ObservedState state, Findings findings) {
    this.state = state;
    this.findings = findings;
  }

  void attemptOffered(ObservedAttempt attempt) {
    Optional<RecordedPriorityClass> settings = spreadSettings(attempt);
    if (settings.isEmpty()) {
      return;
    }
    String domain = settings.get().spreadScope().domainName(state.machine(attempt.machine));
    int count = countsFor(attempt).merge(domain, 1, Integer::sum);
    findings.recordMaximum(Statistic.MAX_VMS_OF_A_SERVICE_IN_A_DOMAIN, count);
    if (count > settings.get().spreadLimit()) {
      findings.addViolation(
          SPREAD_RESPECTED,
          count
              + " VMs of service "
              + attempt.service
              + " of "
              + attempt.scheduler
              + " in "
              + domain);
    }
  }

  void attemptEnded(ObservedAttempt attempt) {
    spreadSettings(attempt)
        .ifPresent(
            settings -> {
              ObservedMachine machine = state.machine(attempt.machine);
              countsFor(attempt)
                  .merge(settings.spreadScope().domainName(machine), -1, Integer::sum);
            });
  }

  private Optional<RecordedPriorityClass> spreadSettings(ObservedAttempt attempt) {
    return state.priorityClass(attempt.priorityClass).filter(RecordedPriorityClass::isSpread);
  }

  private Map<String, Integer> countsFor(ObservedAttempt attempt) {
    return countsByDomain.computeIfAbsent(
        new ServiceOfScheduler(attempt.scheduler, attempt.service), key -> new HashMap<>());
  }
}
