package fordridge.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.emulator.invariant.Figure;
import java.io.File;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.Map;
import net.jqwik.api.Example;

class ScenarioTest {
  /** Real placers against stand-ins through some of every kind of trouble, judged in full. */
  @Example
  void theSmallBadDayKeepsTheFiveRules() throws Exception {
    File out = Files.createTempDirectory("day").toFile();
    Scenario.Outcome o =
        Scenario.play(
            new File("deploy/days/small.conf"),
            Map.of(),
            out,
            new PrintStream(OutputStream.nullOutputStream()));
    assertThat(o.verdict().violations()).as(o.verdict().text()).isEmpty();
    assertThat(o.asked()).isGreaterThan(300);
    assertThat(o.verdict().figures().get(Figure.NON_IDEMPOTENT_STARTS)).isGreaterThan(10);
    assertThat(o.inTime()).as(o.table()).isGreaterThan(0.5);
  }
}
