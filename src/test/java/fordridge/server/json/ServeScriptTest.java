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
 * The script that the platform starts: one process from first to last, bounded by the told memory.
 */
class ServeScriptTest {
  private static final Path BASH = Path.of("/bin/bash");

  /**
   * Runs it with nothing on its path but a java that says what it was started with; the process id
   * comes first.
   */
  private static List<String> start(Path dir, String config, long[] pid)
      throws IOException, InterruptedException {
    Path java = dir.resolve("java");
    Files.writeString(java, "#!" + BASH + "\nprintf '%s\\n' $$ \"$@\"\n");
    Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwx------"));
    Path told = dir.resolve("config.json");
    Files.writeString(told, config);
    ProcessBuilder b =
        new ProcessBuilder(BASH.toString(), "deploy/serve.sh").redirectErrorStream(true);
    b.environment().clear();
    b.environment().put("PATH", dir.toString());
    b.environment().put("LB_CONFIG", told.toString());
    Process p = b.start();
    pid[0] = p.pid();
    List<String> said =
        new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    assertThat(p.waitFor(10, TimeUnit.SECONDS)).isTrue();
    return said;
  }

  @Example
  void itBecomesThePlacerAndStartsNoOtherProgram() throws Exception {
    Path dir = Files.createTempDirectory("serve");
    long[] pid = new long[1];
    for (String[] c :
        new String[][] {{"32", "10"}, {"64", "16"}, {"100", "25"}, {"192", "32"}, {"2048", "32"}}) {
      List<String> said =
          start(
              dir,
              "{\"known\":{\"entries\":[{\"x\":"
                  + "1".repeat(20_000)
                  + "}]},\"limits\":{\"cores\":0.5,\n\"memory_mb\": "
                  + c[0]
                  + ",\"sockets\":576}}",
              pid);
      assertThat(said.get(0)).as("exec, so the same process").isEqualTo(Long.toString(pid[0]));
      assertThat(said)
          .contains("-Xmx" + c[1] + "m", "-Xms" + c[1] + "m", "fordridge.Main", "serve");
    }
    List<String> untold = start(dir, "", pid);
    assertThat(untold)
        .as("the placer itself says what is wrong with it")
        .contains("-Xmx16m", "serve");
  }
}
