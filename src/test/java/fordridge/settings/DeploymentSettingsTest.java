package fordridge.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.discovery.MachineListFile;
import fordridge.model.RetrySafety;
import fordridge.model.SchedulerSettings;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;

class DeploymentSettingsTest {
  private static final String GOOD =
      "kinds = [{ name = std, cores = 8, memory = 16 }]\n"
          + "flavours = [{ name = f, effect = rebuildable, build_target = 600ms, build_timeout = 5s }]\n";

  private static File file(String text) throws IOException {
    Path f = Files.createTempFile("fordridge", ".conf");
    f.toFile().deleteOnExit();
    return Files.writeString(f, text).toFile();
  }

  private static List<String> complaints(String text) throws IOException {
    try {
      DeploymentSettings.read(file(text));
      return List.of();
    } catch (InvalidSettingsException e) {
      return e.messages();
    }
  }

  @Example
  void goodOnesAreReadWithDefaults() throws Exception {
    DeploymentSettings d = DeploymentSettings.read(file(GOOD));
    assertThat(d.priorityClasses().get("f").isIdempotent()).isTrue();
    SchedulerSettings t = SchedulerSettingsMapper.of(d, 3);
    assertThat(t.priorityClasses().get(0).retrySafety()).isEqualTo(RetrySafety.IDEMPOTENT);
    assertThat(t.priorityClasses().get(0).startObjective()).isEqualTo(Duration.ofMillis(600));
    assertThat(t.position()).isEqualTo(3);
    assertThat(t.machineKinds().get(0).cores()).isEqualTo(8.0);
  }

  @Example
  void aForgottenEffectIsTheStrictest() throws Exception {
    DeploymentSettings d =
        DeploymentSettings.read(file(GOOD.replace("effect = rebuildable, ", "")));
    assertThat(SchedulerSettingsMapper.of(d, 0).priorityClasses().get(0).retrySafety())
        .isEqualTo(RetrySafety.NON_IDEMPOTENT);
  }

  @Example
  void everyErrorComesAtOnceWithPlaceKeyFoundAndAllowed() throws Exception {
    List<String> c =
        complaints(
            GOOD
                + "placer.max_open = many\nplacer.answr_margin = 60ms\nmachines.line = 0\n"
                + "machines.idle = 15\ncluster.yes = perhaps\n");
    assertThat(c.size()).isEqualTo(5);
    assertThat(c)
        .anyMatch(l -> l.contains(":3: placer.max_open: found many") && l.contains("allowed"));
    assertThat(c)
        .anyMatch(
            l ->
                l.contains(":4: placer.answr_margin: unknown key")
                    && l.contains("placer.answer_margin"));
    assertThat(c).anyMatch(l -> l.contains(":5: machines.line: found 0"));
    assertThat(c).anyMatch(l -> l.contains(":6: machines.idle: found 15") && l.contains("250ms"));
    assertThat(c)
        .anyMatch(
            l -> l.contains(":7: cluster.yes: found 'perhaps'") && l.contains("running, accepted"));
  }

  @Example
  void valuesAreHeldAgainstEachOther() throws Exception {
    assertThat(complaints(GOOD.replace("effect", "kind = huge, effect")))
        .anyMatch(l -> l.contains("kind 'huge'"));
    assertThat(complaints(GOOD.replace("600ms", "6s")))
        .anyMatch(l -> l.contains("past its build_timeout"));
    assertThat(
            complaints(GOOD + "customers = [{name = a, share = 0.7}, {name = b, share = 0.6}]\n"))
        .anyMatch(l -> l.contains("shares of 1.3"));
    assertThat(complaints(GOOD + "placer { position = 4, placers = 3 }\n"))
        .anyMatch(l -> l.contains("placer.position"));
    assertThat(complaints(GOOD + "flavours = ${flavours} [{ name = f }]\n"))
        .anyMatch(l -> l.contains("twice"));
  }

  /** What the module was told before these could be set stays what it is told by default. */
  @Example
  void theShapeOfADeploymentIsPassedOnAndItsDefaultsAreWhatHeldBefore() throws Exception {
    SchedulerSettings t = SchedulerSettingsMapper.of(DeploymentSettings.read(file(GOOD)), 0);
    assertThat(t.attempts().sendsRetryAfter()).isTrue();
    assertThat(t.monitoring().gossipAllowed()).isFalse();
    assertThat(t.discovery().mode()).isEqualTo(SchedulerSettings.DiscoveryMode.PUSH);
    assertThat(t.discovery().pollInterval()).isEqualTo(Duration.ofSeconds(10));
    t =
        SchedulerSettingsMapper.of(
            DeploymentSettings.read(
                file(
                    GOOD
                        + "cluster { retry_after = false, list_comes = ask, "
                        + "ask_within = 20s, notes = true, mean_cores = 1.5 }\nprices.note = 0.01\n")),
            0);
    assertThat(t.attempts().sendsRetryAfter()).isFalse();
    assertThat(t.monitoring().gossipAllowed()).isTrue();
    assertThat(t.discovery().mode()).isEqualTo(SchedulerSettings.DiscoveryMode.WATCH);
    assertThat(t.discovery().pollInterval()).isEqualTo(Duration.ofSeconds(20));
    assertThat(t.capacity().meanVmCores()).isEqualTo(1.5);
    assertThat(t.prices().gossipMessage()).isEqualTo(0.01);
  }

  @Example
  void theShapeOfADeploymentIsChecked() throws Exception {
    assertThat(complaints(GOOD + "cluster.list_comes = shout\n"))
        .anyMatch(l -> l.contains("push, ask"));
    assertThat(complaints(GOOD + "cluster { list_comes = ask, ask_within = 1s }\n"))
        .anyMatch(l -> l.contains("cluster.ask_within: found 1000ms"));
    assertThat(complaints(GOOD + "placer.notes.to = [here]\n")).anyMatch(l -> l.contains("'here'"));
    assertThat(complaints(GOOD + "placer.notes.to = [\"127.0.0.1:70000\"]\n"))
        .anyMatch(l -> l.contains("70000"));
    assertThat(complaints(GOOD + "placer.placers = 2\ncluster.notes = true\n"))
        .anyMatch(l -> l.contains("placer.notes.to: found none"));
    assertThat(complaints(GOOD + "cluster.mean_cores = 0\n"))
        .anyMatch(l -> l.contains("cluster.mean_cores"));
  }

  @Example
  void whatIsNoHoconIsSaidWithItsLine() throws Exception {
    assertThat(complaints("kinds = [\n{ name = x\n"))
        .anyMatch(l -> l.contains("fordridge") && l.contains(": 3"));
    assertThatThrownBy(() -> DeploymentSettings.read(new File("/nowhere.conf")))
        .hasMessageContaining("no such file");
  }

  @Example
  void aListIsCheckedLineByLine() throws Exception {
    DeploymentSettings d = DeploymentSettings.read(file(GOOD));
    String good =
        "version = 1\nmachines = [\n{ name = a, address = \"127.0.0.1:1\", kind = std, state = live }\n]\n";
    assertThat(MachineListFile.read(file(good), d, 1).entries().size()).isEqualTo(1);
    assertThatThrownBy(
            () -> MachineListFile.read(file(good.replace("kind = std", "kind = odd")), d, 1))
        .hasMessageContaining(":3: machines[0].kind: found 'odd'");
    assertThatThrownBy(() -> MachineListFile.read(file(good.replace("127.0.0.1:1", "here")), d, 1))
        .hasMessageContaining("host:port");
  }

  @Example
  void termsOfTheClusterAreLaidOverAndCheckedWhole() throws Exception {
    DeploymentSettings d = DeploymentSettings.read(file(GOOD));
    DeploymentSettings next =
        SettingsUpdate.apply(
            d,
            d,
            "cluster.most_claims = 2\nflavours = [{ name = f, effect = rebuildable, "
                + "build_target = 800ms, build_timeout = 6s }, { name = g, effect = one-shot }]");
    assertThat(next.cluster().maxAttempts()).isEqualTo(2);
    assertThat(next.priorityClasses().keySet()).containsExactly("f", "g");
    assertThatThrownBy(() -> SettingsUpdate.apply(d, next, "cluster.most_claims = 2"))
        .hasMessageContaining("flavour 'g' is missing");
    assertThatThrownBy(
            () -> SettingsUpdate.apply(d, d, "flavours = [{ name = f, effect = one-shot }]"))
        .hasMessageContaining("changes its effect");
    assertThatThrownBy(() -> SettingsUpdate.apply(d, d, "placer.name = other"))
        .hasMessageContaining("each placer's own");
    assertThatThrownBy(() -> SettingsUpdate.apply(d, d, "cluster.most_claims = none"))
        .hasMessageContaining("most_claims");
    assertThatThrownBy(() -> SettingsUpdate.apply(d, d, "cluster {")).hasMessageContaining("1");
  }
}
