package fordridge.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.emulator.invariant.Statistic;
import java.io.File;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.Map;
import net.jqwik.api.Example;

class ScenarioTest {
  /**
   * Runs real schedulers against emulated peers while machine, fleet and client faults are active.
   */
  @Example
  void smallScenarioKeepsTheInvariants() throws Exception {
    File folder = Files.createTempDirectory("scenario").toFile();
    Scenario.Outcome outcome =
        Scenario.run(
            new File("deploy/days/small.conf"),
            Map.of(),
            folder,
            new PrintStream(OutputStream.nullOutputStream()));
    assertThat(outcome.report().violations()).as(outcome.report().text()).isEmpty();
    assertThat(outcome.requested()).isGreaterThan(300);
    assertThat(outcome.report().statistics().get(Statistic.NON_IDEMPOTENT_STARTS))
        .isGreaterThan(10);
    assertThat(outcome.inTimeShare()).as(outcome.table()).isGreaterThan(0.5);
  }
}
