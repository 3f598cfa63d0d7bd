package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Vm;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Properties of the scheduler under random sequences of legal inputs. */
class SchedulerPropertyTest {
  private static SchedulerFixture runRandomInputs(
      long seed, int machines, boolean isPushed, String scope, long schedulers) {
    SchedulerFixture fixture = new SchedulerFixture(isPushed, scope);
    fixture.values.put("nInstances", schedulers);
    Random random = new Random(seed);
    fixture.start(seed, machines);
    for (int i = 0; i < 250; i++) {
      fixture.randomInput(random);
      fixture.advance(Duration.ofMillis((schedulers > 100 ? 40L : 10L) * random.nextInt(12)));
    }
    fixture.advance(Duration.ofSeconds(6));
    return fixture;
  }

  @Property(tries = 150, seed = "4711")
  void legalInputsKeepTheInvariants(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 9) int machines,
      @ForAll boolean isPushed,
      @ForAll @IntRange(max = 2) int scope,
      @ForAll boolean manySchedulers) {
    SchedulerFixture fixture =
        runRandomInputs(
            seed,
            machines,
            isPushed,
            List.of("all", "zone", "cell").get(scope),
            manySchedulers ? 300 : 2);
    for (Vm vm : fixture.vms) {
      assertThat(fixture.finished.contains(vm) || vm.isFinished)
          .as(vm.id + " has no final response")
          .isTrue();
    }
  }

  @Property(tries = 20, seed = "4712")
  void sameSeedAndInputsGiveTheSameActions(@ForAll long seed) {
    assertThat(runRandomInputs(seed, 6, true, "cell", 2).actions)
        .isEqualTo(runRandomInputs(seed, 6, true, "cell", 2).actions);
  }
}
