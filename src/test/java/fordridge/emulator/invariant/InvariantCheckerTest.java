package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.DRAIN_RESPECTED;
import static fordridge.emulator.invariant.Invariant.SLOW_START_RESPECTED;
import static fordridge.emulator.invariant.Invariant.SPREAD_RESPECTED;
import static fordridge.emulator.invariant.Invariant.TIMELY_RESPONSE;
import static fordridge.emulator.invariant.Recordings.assertKept;
import static fordridge.emulator.invariant.Recordings.assertViolated;
import static fordridge.emulator.invariant.Recordings.check;
import static fordridge.emulator.invariant.Recordings.machineResponse;
import static fordridge.emulator.invariant.Recordings.offer;
import static fordridge.emulator.invariant.Recordings.request;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.emulator.record.InvalidRecordingException;
import java.io.File;
import java.io.IOException;
import net.jqwik.api.Example;

/**
 * A recording without a violation passes, and for each invariant a recording with a violation is
 * reported.
 */
class InvariantCheckerTest {
  @Example
  void recordingWithoutViolationPasses() throws IOException {
    assertKept(
        check(
            request(1000, "v", "once"),
            offer(2000, "m1", "v", 0, "once"),
            machineResponse(9000, "m1", "refused", "v", 0, "why=NO_CORES"),
            offer(10000, "m2", "v", 1, "once"),
            machineResponse(90000, "m2", "started", "v", 1, "flavour=once"),
            "91000 o bound vm=v machine=m2",
            machineResponse(900000, "m2", "finished", "v", 1, "how=DONE ran=true"),
            "901000 o ended vm=v how=DONE"));
  }

  @Example
  void requestWithoutResponseIsAViolation() throws IOException {
    assertViolated(check(request(1000, "v", "safe")), TIMELY_RESPONSE, "has no final response");
  }

  @Example
  void lateResponseIsAViolation() throws IOException {
    assertViolated(
        check(request(1000, "v", "safe"), "4200000 o denied vm=v"),
        TIMELY_RESPONSE,
        "after the deadline");
  }

  @Example
  void secondResponseIsAViolation() throws IOException {
    assertViolated(
        check(request(1000, "v", "safe"), "2000 o denied vm=v", "3000 o errored vm=v"),
        TIMELY_RESPONSE,
        "failed after rejected");
  }

  @Example
  void terminationNoticeForARejectedVmIsAViolation() throws IOException {
    assertViolated(
        check(request(1000, "v", "safe"), "2000 o denied vm=v", "3000 o ended vm=v"),
        TIMELY_RESPONSE,
        "termination notice without an accepted request");
  }

  @Example
  void responseWithoutRequestIsAViolation() throws IOException {
    assertViolated(check("2000 o denied vm=v"), TIMELY_RESPONSE, "not requested");
  }

  @Example
  void repeatedSequenceNumberIsAViolation() throws IOException {
    assertViolated(check("2000 o repeated seq=4"), TIMELY_RESPONSE, "repeated");
  }

  @Example
  void responseToAClientThatWasDisconnectedAtTheDeadlineMayBeLate() throws IOException {
    assertKept(
        check(
            request(1000, "v", "safe"),
            "3900000 o cut",
            "4300000 o welcome",
            "4310000 o denied vm=v"));
  }

  @Example
  void responseMayBeLateByTheLengthOfAnEmulatorStall() throws IOException {
    assertKept(
        check(
            request(1000, "v", "safe"), "4100000 rig stalled for=120000", "4130000 o denied vm=v"));
  }

  @Example
  void responseLateByMoreThanTheEmulatorStallIsAViolation() throws IOException {
    assertViolated(
        check(request(1000, "v", "safe"), "4100000 rig stalled for=60000", "4130000 o denied vm=v"),
        TIMELY_RESPONSE,
        "after the deadline");
  }

  @Example
  void stallOlderThanASecondDoesNotExcuseALateResponse() throws IOException {
    assertViolated(
        check(
            request(1000, "v", "safe"), "3000000 rig stalled for=900000", "4130000 o denied vm=v"),
        TIMELY_RESPONSE,
        "after the deadline");
  }

  @Example
  void offerToADrainingMachineAfterTheGracePeriodIsAViolation() throws IOException {
    assertViolated(
        check(
            "5000 registry listed machine=m1 state=draining",
            request(690000, "v", "safe"),
            offer(700000, "m1", "v", 0, "safe"),
            "800000 o denied vm=v"),
        DRAIN_RESPECTED,
        "after it was listed");
  }

  @Example
  void offerToADrainingMachineWithinTheGracePeriodPasses() throws IOException {
    assertKept(
        check(
            "5000 registry listed machine=m1 state=draining",
            request(1000, "v", "safe"),
            offer(300000, "m1", "v", 0, "safe"),
            "400000 o denied vm=v"));
  }

  @Example
  void offerLaterThanTheGracePeriodAfterTheDrainWasSentIsAViolation() throws IOException {
    assertViolated(
        check(
            "5000 etcd told placer=p machine=m1 of=drain closed=true",
            request(500000, "v", "safe"),
            offer(506000, "m1", "v", 0, "safe"),
            "600000 o denied vm=v"),
        DRAIN_RESPECTED,
        "after the change was sent");
  }

  @Example
  void storeSnapshotReplacesTheChangesSentBefore() throws IOException {
    assertKept(
        check(
            "5000 etcd told placer=p machine=m1 of=drain closed=true",
            "6000 etcd told-all placer=p",
            request(500000, "v", "safe"),
            offer(506000, "m1", "v", 0, "safe"),
            "600000 o denied vm=v"));
  }

  @Example
  void moreOffersThanTheWarmUpLimitAreAViolation() throws IOException {
    assertViolated(
        check(
            "1000 m1 born bears=2 multiple=2.0 over=1000000 from=0.1 warm=10000000 rate=5.0",
            request(1000, "a", "safe"),
            request(1000, "b", "safe"),
            request(1000, "c", "safe"),
            offer(2000, "m1", "a", 0, "safe"),
            offer(3000, "m1", "b", 0, "safe"),
            offer(4000, "m1", "c", 0, "safe"),
            "9000 o denied vm=a",
            "9000 o denied vm=b",
            "9000 o denied vm=c"),
        SLOW_START_RESPECTED,
        "its limit is 2");
  }

  @Example
  void overloadOfAMachineDuringWarmUpIsAViolation() throws IOException {
    assertViolated(check("1000 m1 fell"), SLOW_START_RESPECTED, "overloaded");
  }

  @Example
  void moreVmsOfAServiceInADomainThanTheSpreadLimitAreAViolation() throws IOException {
    assertViolated(
        check(
            request(1000, "a", "once"),
            request(1000, "b", "once"),
            offer(2000, "m1", "a", 0, "once"),
            offer(3000, "m1", "b", 0, "once"),
            "9000 o errored vm=a",
            "9000 o errored vm=b"),
        SPREAD_RESPECTED,
        "of service 1");
  }

  @Example
  void refusedOfferNoLongerCountsAgainstTheSpreadLimit() throws IOException {
    assertKept(
        check(
            request(1000, "a", "once"),
            request(1000, "b", "once"),
            offer(2000, "m1", "a", 0, "once"),
            machineResponse(2500, "m1", "refused", "a", 0, "why=NO_CORES"),
            offer(3000, "m1", "b", 0, "once"),
            "9000 o errored vm=a",
            "9000 o errored vm=b"));
  }

  @Example
  void recordingThatIsNotJsonFailsWithTheLineNumber() throws IOException {
    File file = Recordings.file("{\"t\":1,\"at\":\"x\",\"what\":\"y\"}\n{\"t\":\n");
    assertThatThrownBy(() -> InvariantChecker.check(file))
        .isInstanceOf(InvalidRecordingException.class)
        .hasMessageContaining("line 2");
  }
}
