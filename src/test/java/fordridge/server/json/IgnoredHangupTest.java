package fordridge.server.json;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * A process that was started with SIGHUP ignored, as by nohup, can't be reloaded and reports that.
 */
class IgnoredHangupTest {
  private static String outputOf(String shellPrefix) throws IOException, InterruptedException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    ProcessBuilder builder =
        new ProcessBuilder(
            "/bin/sh",
            "-c",
            shellPrefix + "exec \"$0\" -cp \"$1\" fordridge.Main serve",
            java,
            System.getProperty("java.class.path"));
    builder.redirectErrorStream(true).environment().remove("LB_CONFIG");
    Process process = builder.start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
    return output;
  }

  @Example
  void ignoredHangupIsReportedAtStart() throws Exception {
    assertThat(outputOf("trap '' HUP; ")).contains("SIGHUP ignored");
    assertThat(outputOf("")).doesNotContain("SIGHUP ignored");
  }
}
