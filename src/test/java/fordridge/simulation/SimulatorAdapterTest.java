package fordridge.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

/** Handling of batches from the simulator and the replies to them. */
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
  private String reply;
  private String errors;

  private int drill(String lines) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int code =
        new SimulatorAdapter(
                new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)),
                out,
                new PrintStream(err, true))
            .run();
    reply = out.toString(StandardCharsets.UTF_8);
    errors = err.toString(StandardCharsets.UTF_8);
    return code;
  }

  @Example
  void arrivalIsOfferedToAMachine() throws Exception {
    assertThat(drill(CREATE + ARRIVAL)).isEqualTo(0);
    assertThat(reply.contains("\"msg\":\"propose\",\"req\":\"r1\",\"machine\":42"))
        .as(reply)
        .isTrue();
    assertThat(reply.lines().count()).isEqualTo(2);
  }

  /** A load report that comes with an outcome is gossiped to the other schedulers. */
  @Example
  void gossipIsSentAndReceived() throws Exception {
    String gossiping =
        CREATE.replace(
            "\"extra\":{", "\"nInstances\":2,\"caps\":{\"peerMessages\":true},\"extra\":{");
    String ended =
        "{\"clockUs\":7000000,\"n\":3,\"groups\":[{\"placerId\":0,\"input\":[{\"msg\":\"noteFrom\",\"src\":1,"
            + "\"data\":\"not a gossip message\"},{\"msg\":\"response\",\"req\":\"r1\",\"seqNo\":0,\"machine\":42,"
            + "\"rc\":200,\"elapsedUs\":1,\"noMore\":true,\"healthInfo\":{\"x0\":4,\"x1\":8}}]}]}\n";
    assertThat(drill(gossiping + ARRIVAL + ended)).isEqualTo(0);
    assertThat(reply.contains("\"msg\":\"memoTo\",\"addressee\":\"*\",\"data\":\""))
        .as(reply)
        .isTrue();
    assertThat(drill(CREATE + ARRIVAL + ended)).isEqualTo(0);
    assertThat(reply.contains("memoTo")).as(reply).isFalse();
  }

  @Example
  void eventsOfUnknownVmsAreIgnored() throws Exception {
    String late =
        "{\"clockUs\":6000000,\"n\":2,\"groups\":[{\"placerId\":0,\"input\":[{\"msg\":\"response\","
            + "\"req\":\"r9\",\"seqNo\":0,\"machine\":42,\"rc\":200,\"elapsedUs\":1,\"noMore\":true},"
            + "{\"msg\":\"clientGone\",\"req\":\"r9\"},{\"msg\":\"due\",\"handle\":1}]}]}\n";
    assertThat(drill(CREATE + late)).isEqualTo(0);
  }

  @Example
  void malformedLineEndsTheProgramWithOneErrorLine() throws Exception {
    assertThat(drill("{\"clockUs\":5,\n")).isEqualTo(1);
    assertThat(errors.lines().count()).isEqualTo(1);
    assertThat(drill("{\"clockUs\":\"x\",\"n\":1,\"groups\":[]}\n")).isEqualTo(1);
    assertThat(errors.contains("clockUs")).as(errors).isTrue();
    assertThat(reply).isEqualTo("");
    assertThat(drill(CREATE + ARRIVAL.replace("\"wantCores\":1,", "\"wantCores\":\"much\",")))
        .isEqualTo(1);
    assertThat(errors.contains("line 2") && errors.contains("wantCores")).as(errors).isTrue();
  }

  @Example
  void failureOfASchedulerIsReportedInItsReply() throws Exception {
    assertThat(drill(CREATE + ARRIVAL.replace("\"profile\":\"f\"", "\"profile\":\"unheard-of\"")))
        .isEqualTo(0);
    assertThat(reply.contains("\"msg\":\"broken\"")).as(reply).isTrue();
  }
}
