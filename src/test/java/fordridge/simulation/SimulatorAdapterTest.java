package fordridge.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

class SimulatorAdapterTest {
  private static final String CREATE =
      "{\"clockUs\":5000000,\"n\":1,\"groups\":[{\"placerId\":0,\"input\":["
          + "{\"msg\":\"create\",\"entropy\":7,\"profileData\":{\"kinds\":[\"k\"],\"lanes\":[{\"name\":\"f\","
          + "\"semantics\":\"retryable\",\"promiseUs\":600000,\"giveUpUs\":5000000}],\"extra\":{\"cpuOfKind\":[8],"
          + "\"memoryByKind\":[16],\"freeInList\":true},\"newKey\":1}},{\"msg\":\"inventory\",\"slot\":3,\"lines\":"
          + "[{\"machine\":42,\"site\":\"z\",\"pod\":0,\"generationHw\":\"k\",\"lifecycle\":\"live\","
          + "\"freeCores\":8,\"memoryFree\":16}]},{\"msg\":\"discovery\",\"how\":\"disk\",\"stamp\":1,\"slot\":3}"
          + "]}]}\n";
  private static final String ARRIVAL =
      "{\"clockUs\":6000000,\"n\":2,\"groups\":[{\"placerId\":0,\"input\":["
          + "{\"msg\":\"arrival\",\"req\":\"r1\",\"profile\":\"f\",\"deployment\":9,\"wantCores\":1,\"mem\":1.5,"
          + "\"workload\":5,\"patienceLeftUs\":5000000,\"other\":[]}]}]}\n";
  private String said;
  private String complained;

  private int drill(String lines) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int code =
        new SimulatorAdapter(
                new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)),
                out,
                new PrintStream(err, true))
            .run();
    said = out.toString(StandardCharsets.UTF_8);
    complained = err.toString(StandardCharsets.UTF_8);
    return code;
  }

  @Example
  void anArrivalIsProposed() throws Exception {
    assertThat(drill(CREATE + ARRIVAL)).isEqualTo(0);
    assertThat(said.contains("\"msg\":\"propose\",\"req\":\"r1\",\"machine\":42"))
        .as(said)
        .isTrue();
    assertThat(said.lines().count()).isEqualTo(2);
  }

  /**
   * A report that comes with an outcome goes to the other placers; a note of theirs stands like
   * one.
   */
  @Example
  void notesPassBothWays() throws Exception {
    String noting =
        CREATE.replace(
            "\"extra\":{", "\"nInstances\":2,\"caps\":{\"peerMessages\":true},\"extra\":{");
    String over =
        "{\"clockUs\":7000000,\"n\":3,\"groups\":[{\"placerId\":0,\"input\":[{\"msg\":\"noteFrom\",\"src\":1,"
            + "\"data\":\"what it says nobody knows\"},{\"msg\":\"response\",\"req\":\"r1\",\"seqNo\":0,\"machine\":42,"
            + "\"rc\":200,\"elapsedUs\":1,\"noMore\":true,\"healthInfo\":{\"x0\":4,\"x1\":8}}]}]}\n";
    assertThat(drill(noting + ARRIVAL + over)).isEqualTo(0);
    assertThat(said.contains("\"msg\":\"memoTo\",\"addressee\":\"*\",\"data\":\""))
        .as(said)
        .isTrue();
    assertThat(drill(CREATE + ARRIVAL + over)).isEqualTo(0);
    assertThat(said.contains("memoTo")).as(said).isFalse();
  }

  @Example
  void whatIsNoLongerHeldIsPassedOver() throws Exception {
    String late =
        "{\"clockUs\":6000000,\"n\":2,\"groups\":[{\"placerId\":0,\"input\":[{\"msg\":\"response\","
            + "\"req\":\"r9\",\"seqNo\":0,\"machine\":42,\"rc\":200,\"elapsedUs\":1,\"noMore\":true},"
            + "{\"msg\":\"clientGone\",\"req\":\"r9\"},{\"msg\":\"due\",\"handle\":1}]}]}\n";
    assertThat(drill(CREATE + late)).isEqualTo(0);
  }

  @Example
  void badLinesEndItWithOnePlainLine() throws Exception {
    assertThat(drill("{\"clockUs\":5,\n")).isEqualTo(1);
    assertThat(complained.lines().count()).isEqualTo(1);
    assertThat(drill("{\"clockUs\":\"x\",\"n\":1,\"groups\":[]}\n")).isEqualTo(1);
    assertThat(complained.contains("clockUs")).as(complained).isTrue();
    assertThat(said).isEqualTo("");
    assertThat(drill(CREATE + ARRIVAL.replace("\"wantCores\":1,", "\"wantCores\":\"much\",")))
        .isEqualTo(1);
    assertThat(complained.contains("line 2") && complained.contains("wantCores"))
        .as(complained)
        .isTrue();
  }

  @Example
  void aFaultOfTheModuleIsReportedForItsInstance() throws Exception {
    assertThat(drill(CREATE + ARRIVAL.replace("\"profile\":\"f\"", "\"profile\":\"unheard-of\"")))
        .isEqualTo(0);
    assertThat(said.contains("\"msg\":\"broken\"")).as(said).isTrue();
  }
}
