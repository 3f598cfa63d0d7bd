package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.NO_DUPLICATE_EFFECT;
import static fordridge.emulator.invariant.Recordings.assertKept;
import static fordridge.emulator.invariant.Recordings.assertViolated;
import static fordridge.emulator.invariant.Recordings.cancel;
import static fordridge.emulator.invariant.Recordings.check;
import static fordridge.emulator.invariant.Recordings.machineResponse;
import static fordridge.emulator.invariant.Recordings.offer;
import static fordridge.emulator.invariant.Recordings.request;

import java.io.IOException;
import net.jqwik.api.Example;

class DuplicateEffectInvariantTest {
  @Example
  void retryOfANonIdempotentVmThatMayHaveRunIsAViolation() throws IOException {
    assertViolated(
        check(
            request(1000, "v", "once"),
            offer(2000, "m1", "v", 0, "once"),
            "1500000 m1 cut placer=p",
            offer(1600000, "m2", "v", 1, "once"),
            "1700000 o errored vm=v"),
        NO_DUPLICATE_EFFECT,
        "may have run");
  }

  @Example
  void rejectionOfANonIdempotentVmThatRanIsAViolation() throws IOException {
    assertViolated(
        check(
            request(1000, "v", "once"),
            offer(2000, "m1", "v", 0, "once"),
            machineResponse(3000, "m1", "started", "v", 0, "flavour=once"),
            "9000 o denied vm=v"),
        NO_DUPLICATE_EFFECT,
        "rejected though");
  }

  @Example
  void secondStartOfANonIdempotentVmIsAViolation() throws IOException {
    assertViolated(
        check(
            request(1000, "v", "once"),
            offer(2000, "m1", "v", 0, "once"),
            machineResponse(3000, "m1", "started", "v", 0, "flavour=once"),
            offer(4000, "m2", "v", 1, "once"),
            machineResponse(5000, "m2", "started", "v", 1, "flavour=once"),
            "6000 o bound vm=v"),
        NO_DUPLICATE_EFFECT,
        "was started 2 times");
  }

  @Example
  void offerWhileAnotherAttemptIsOutstandingIsAViolation() throws IOException {
    assertViolated(
        check(
            request(1000, "v", "safe"),
            offer(2000, "m1", "v", 0, "safe"),
            offer(3000, "m2", "v", 1, "safe"),
            "6000 o denied vm=v"),
        NO_DUPLICATE_EFFECT,
        "while attempt 0 is outstanding");
  }

  @Example
  void offerShortlyBeforeTheDeadlineOfAnotherIsAViolationWithoutACancellation() throws IOException {
    assertViolated(
        check(
            request(1000, "v", "safe"),
            offer(2000, "m1", "v", 0, "safe"),
            offer(900000, "m2", "v", 1, "safe"),
            "1600000 o denied vm=v"),
        NO_DUPLICATE_EFFECT,
        "while attempt 0 is outstanding");
  }

  @Example
  void offerShortlyBeforeTheDeadlineOfAnotherPassesIfACancellationFollows() throws IOException {
    assertKept(
        check(
            request(1000, "v", "safe"),
            offer(2000, "m1", "v", 0, "safe"),
            offer(900000, "m2", "v", 1, "safe"),
            cancel(901000, "m1", "v", 0),
            "1600000 o denied vm=v"));
  }

  @Example
  void offerOutsideTheDeduplicationDomainIsAViolation() throws IOException {
    assertViolated(
        check(
            request(1000, "v", "key"),
            offer(2000, "m1", "v", 0, "key"),
            offer(1200000, "m3", "v", 1, "key"),
            "1300000 o errored vm=v"),
        NO_DUPLICATE_EFFECT,
        "outside its deduplication domain");
  }

  @Example
  void offerAfterTheDeduplicationWindowIsAViolation() throws IOException {
    assertViolated(
        check(
            request(1000, "v", "key"),
            offer(2000, "m1", "v", 0, "key"),
            offer(2300000, "m2", "v", 1, "key"),
            "2400000 o errored vm=v"),
        NO_DUPLICATE_EFFECT,
        "after its deduplication window");
  }

  @Example
  void offerWithinTheDeduplicationDomainAndWindowPasses() throws IOException {
    assertKept(
        check(
            request(1000, "v", "key"),
            offer(2000, "m1", "v", 0, "key"),
            offer(1200000, "m2", "v", 1, "key"),
            "1300000 o errored vm=v"));
  }
}
