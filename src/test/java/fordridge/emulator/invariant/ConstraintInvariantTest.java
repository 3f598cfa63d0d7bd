package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Recordings.check;
import static fordridge.emulator.invariant.Recordings.constraints;
import static fordridge.emulator.invariant.Recordings.machineResponse;
import static fordridge.emulator.invariant.Recordings.offer;
import static fordridge.emulator.invariant.Recordings.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;

class ConstraintInvariantTest {
  /**
   * The violations of a recording in which VM a runs on m1, then VM b is offered to m2 in the same
   * zone.
   */
  private static long violationsOfTwoVmsInAZone(String constraintText) throws IOException {
    return violations(
        check(
            constraints(0, constraintText),
            request(1000, "a", "safe"),
            request(1000, "b", "safe"),
            offer(2000, "m1", "a", 0, "safe"),
            machineResponse(3000, "m1", "started", "a", 0, ""),
            offer(4000, "m2", "b", 0, "safe")));
  }

  private static long violations(InvariantReport report) {
    return report.violations().stream()
        .filter(violation -> violation.invariant() == Invariant.TENANT_CONSTRAINTS_RESPECTED)
        .count();
  }

  @Example
  void antiAffinityInTheSameDomainIsAViolation() throws IOException {
    assertThat(violationsOfTwoVmsInAZone("rule r: all require apart all per zone;")).isEqualTo(1);
  }

  @Example
  void antiAffinityInAnotherDomainPasses() throws IOException {
    assertThat(violationsOfTwoVmsInAZone("rule r: all require apart all per machine;")).isZero();
  }

  @Example
  void moreThanTheSpreadLimitIsAViolation() throws IOException {
    assertThat(violationsOfTwoVmsInAZone("rule r: flavour safe require spread at most 1 per cell;"))
        .isEqualTo(1);
  }

  @Example
  void overallSpreadLimitIsDividedAmongTheSchedulers() throws IOException {
    assertThat(violationsOfTwoVmsInAZone("rule r: all require spread at most 4 per zone overall;"))
        .isZero();
    assertThat(violationsOfTwoVmsInAZone("rule r: all require spread at most 2 per zone overall;"))
        .as("a scheduler's share is one")
        .isEqualTo(1);
  }

  @Example
  void affinityInAnotherDomainIsAViolation() throws IOException {
    assertThat(violationsOfTwoVmsInAZone("rule r: all require near flavour safe per machine;"))
        .isEqualTo(1);
  }

  @Example
  void machineWithoutTheRequiredLabelIsAViolation() throws IOException {
    assertThat(violationsOfTwoVmsInAZone("rule r: all require on machine m1;")).isEqualTo(1);
  }

  @Example
  void preferenceIsNeverAViolation() throws IOException {
    assertThat(violationsOfTwoVmsInAZone("rule r: all prefer 3 on machine m1;")).isZero();
  }

  @Example
  void endedVmNoLongerCounts() throws IOException {
    assertThat(
            violations(
                check(
                    constraints(0, "rule r: all require apart all per zone;"),
                    request(1000, "a", "safe"),
                    request(1000, "b", "safe"),
                    offer(2000, "m1", "a", 0, "safe"),
                    machineResponse(3000, "m1", "started", "a", 0, ""),
                    machineResponse(3500, "m1", "finished", "a", 0, "how=DONE"),
                    offer(4000, "m2", "b", 0, "safe"))))
        .isZero();
  }

  @Example
  void offerAllowedByAJustReplacedSetPasses() throws IOException {
    assertThat(
            violations(
                check(
                    constraints(0, "rule r: all require on machine m1;"),
                    constraints(3000, "rule r: all require on machine m2;"),
                    request(1000, "a", "safe"),
                    offer(3500, "m1", "a", 0, "safe"))))
        .isZero();
  }

  @Example
  void offerAllowedOnlyByALongReplacedSetIsAViolation() throws IOException {
    assertThat(
            violations(
                check(
                    constraints(0, "rule r: all require on machine m1;"),
                    constraints(3000, "rule r: all require on machine m2;"),
                    request(1000, "a", "safe"),
                    offer(3_000_000, "m1", "a", 0, "safe"))))
        .isEqualTo(1);
  }
}
