package fordridge.server.json;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * The start script replaces itself with the scheduler's JVM, whose heap the configuration bounds.
 */
class ServeScriptTest {
  private static final Path BASH = Path.of("/bin/bash");

  /** The process ids of the script and of the JVM that it started, and the JVM's arguments. */
  private record StartedProcess(long scriptPid, long jvmPid, List<String> arguments) {}

  /**
   * Runs the script with a path that holds only a java command, which prints its pid and arguments.
   */
  private static StartedProcess start(Path dir, String configuration)
      throws IOException, InterruptedException {
    Path java = dir.resolve("java");
    Files.writeString(java, "#!" + BASH + "\nprintf '%s\\n' $$ \"$@\"\n");
    Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwx------"));
    Path file = dir.resolve("config.json");
    Files.writeString(file, configuration);
    ProcessBuilder builder =
        new ProcessBuilder(BASH.toString(), "deploy/serve.sh").redirectErrorStream(true);
    builder.environment().clear();
    builder.environment().put("PATH", dir.toString());
    builder.environment().put("LB_CONFIG", file.toString());
    Process process = builder.start();
    List<String> output =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .lines()
            .toList();
    assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
    return new StartedProcess(
        process.pid(), Long.parseLong(output.get(0)), output.subList(1, output.size()));
  }

  @Example
  void scriptExecsTheSchedulerWithAQuarterOfTheMemoryAsHeap() throws Exception {
    Path dir = Files.createTempDirectory("serve");
    String[][] memoryAndHeapMb = {
      {"32", "10"}, {"64", "16"}, {"100", "25"}, {"192", "32"}, {"2048", "32"}
    };
    for (String[] expected : memoryAndHeapMb) {
      StartedProcess started =
          start(
              dir,
              "{\"known\":{\"entries\":[{\"x\":"
                  + "1".repeat(20_000)
                  + "}]},\"limits\":{\"cores\":0.5,\n\"memory_mb\": "
                  + expected[0]
                  + ",\"sockets\":576}}");
      String heap = expected[1] + "m";
      assertThat(started.jvmPid())
          .as("the JVM runs in the script's process")
          .isEqualTo(started.scriptPid());
      assertThat(started.arguments())
          .contains("-Xmx" + heap, "-Xms" + heap, "fordridge.Main", "serve");
    }
    assertThat(start(dir, "").arguments())
        .as("the default heap; the scheduler reports the error in the configuration")
        .contains("-Xmx16m", "serve");
  }
}
