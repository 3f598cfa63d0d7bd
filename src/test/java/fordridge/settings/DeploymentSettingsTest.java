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
  private static final String VALID_SETTINGS =
      """
      kinds = [{ name = std, cores = 8, memory = 16 }]
      flavours = [{ name = f, effect = rebuildable, build_target = 600ms, build_timeout = 5s }]
      """;

  private static File file(String text) throws IOException {
    Path path = Files.createTempFile("fordridge", ".conf");
    path.toFile().deleteOnExit();
    return Files.writeString(path, text).toFile();
  }

  private static List<String> readErrors(String text) throws IOException {
    try {
      DeploymentSettings.read(file(text));
      return List.of();
    } catch (InvalidSettingsException e) {
      return e.messages();
    }
  }

  @Example
  void validSettingsAreReadWithDefaults() throws Exception {
    DeploymentSettings deployment = DeploymentSettings.read(file(VALID_SETTINGS));
    assertThat(deployment.priorityClasses().get("f").isIdempotent()).isTrue();
    SchedulerSettings scheduler = SchedulerSettingsMapper.of(deployment, 3);
    assertThat(scheduler.priorityClasses().get(0).retrySafety()).isEqualTo(RetrySafety.IDEMPOTENT);
    assertThat(scheduler.priorityClasses().get(0).startObjective())
        .isEqualTo(Duration.ofMillis(600));
    assertThat(scheduler.position()).isEqualTo(3);
    assertThat(scheduler.machineKinds().get(0).cores()).isEqualTo(8.0);
  }

  @Example
  void missingRetrySafetyDefaultsToTheStrictest() throws Exception {
    DeploymentSettings deployment =
        DeploymentSettings.read(file(VALID_SETTINGS.replace("effect = rebuildable, ", "")));
    assertThat(SchedulerSettingsMapper.of(deployment, 0).priorityClasses().get(0).retrySafety())
        .isEqualTo(RetrySafety.NON_IDEMPOTENT);
  }

  @Example
  void allErrorsAreReportedWithLineKeyActualAndAllowedValue() throws Exception {
    List<String> errors =
        readErrors(
            VALID_SETTINGS
                + "placer.max_open = many\nplacer.answr_margin = 60ms\nmachines.line = 0\n"
                + "machines.idle = 15\ncluster.yes = perhaps\n");
    assertThat(errors.size()).isEqualTo(5);
    assertThat(errors)
        .anyMatch(l -> l.contains(":3: placer.max_open: found many") && l.contains("allowed"));
    assertThat(errors)
        .anyMatch(
            l ->
                l.contains(":4: placer.answr_margin: unknown key")
                    && l.contains("placer.answer_margin"));
    assertThat(errors).anyMatch(l -> l.contains(":5: machines.line: found 0"));
    assertThat(errors)
        .anyMatch(l -> l.contains(":6: machines.idle: found 15") && l.contains("250ms"));
    assertThat(errors)
        .anyMatch(
            l -> l.contains(":7: cluster.yes: found 'perhaps'") && l.contains("running, accepted"));
  }

  @Example
  void inconsistentValuesAreRejected() throws Exception {
    assertThat(readErrors(VALID_SETTINGS.replace("effect", "kind = huge, effect")))
        .anyMatch(l -> l.contains("kind 'huge'"));
    assertThat(readErrors(VALID_SETTINGS.replace("600ms", "6s")))
        .anyMatch(l -> l.contains("past its build_timeout"));
    assertThat(
            readErrors(
                VALID_SETTINGS
                    + "customers = [{name = a, share = 0.7}, {name = b, share = 0.6}]\n"))
        .anyMatch(l -> l.contains("shares of 1.3"));
    assertThat(readErrors(VALID_SETTINGS + "placer { position = 4, placers = 3 }\n"))
        .anyMatch(l -> l.contains("placer.position"));
    assertThat(readErrors(VALID_SETTINGS + "flavours = ${flavours} [{ name = f }]\n"))
        .anyMatch(l -> l.contains("twice"));
  }

  /** The defaults equal the fixed values that were used before these settings existed. */
  @Example
  void clusterSettingsReachTheSchedulerAndKeepTheirDefaults() throws Exception {
    SchedulerSettings scheduler =
        SchedulerSettingsMapper.of(DeploymentSettings.read(file(VALID_SETTINGS)), 0);
    assertThat(scheduler.attempts().sendsRetryAfter()).isTrue();
    assertThat(scheduler.monitoring().gossipAllowed()).isFalse();
    assertThat(scheduler.discovery().mode()).isEqualTo(SchedulerSettings.DiscoveryMode.PUSH);
    assertThat(scheduler.discovery().pollInterval()).isEqualTo(Duration.ofSeconds(10));
    scheduler =
        SchedulerSettingsMapper.of(
            DeploymentSettings.read(
                file(
                    VALID_SETTINGS
                        + "cluster { retry_after = false, list_comes = ask, "
                        + "ask_within = 20s, notes = true, mean_cores = 1.5 }\nprices.note = 0.01\n")),
            0);
    assertThat(scheduler.attempts().sendsRetryAfter()).isFalse();
    assertThat(scheduler.monitoring().gossipAllowed()).isTrue();
    assertThat(scheduler.discovery().mode()).isEqualTo(SchedulerSettings.DiscoveryMode.WATCH);
    assertThat(scheduler.discovery().pollInterval()).isEqualTo(Duration.ofSeconds(20));
    assertThat(scheduler.capacity().meanVmCores()).isEqualTo(1.5);
    assertThat(scheduler.prices().gossipMessage()).isEqualTo(0.01);
  }

  @Example
  void invalidClusterSettingsAreRejected() throws Exception {
    assertThat(readErrors(VALID_SETTINGS + "cluster.list_comes = shout\n"))
        .anyMatch(l -> l.contains("push, ask"));
    assertThat(readErrors(VALID_SETTINGS + "cluster { list_comes = ask, ask_within = 1s }\n"))
        .anyMatch(l -> l.contains("cluster.ask_within: found 1000ms"));
    assertThat(readErrors(VALID_SETTINGS + "placer.notes.to = [here]\n"))
        .anyMatch(l -> l.contains("'here'"));
    assertThat(readErrors(VALID_SETTINGS + "placer.notes.to = [\"127.0.0.1:70000\"]\n"))
        .anyMatch(l -> l.contains("70000"));
    assertThat(readErrors(VALID_SETTINGS + "placer.placers = 2\ncluster.notes = true\n"))
        .anyMatch(l -> l.contains("placer.notes.to: found none"));
    assertThat(readErrors(VALID_SETTINGS + "cluster.mean_cores = 0\n"))
        .anyMatch(l -> l.contains("cluster.mean_cores"));
  }

  @Example
  void syntaxErrorIsReportedWithItsLine() throws Exception {
    assertThat(readErrors("kinds = [\n{ name = x\n"))
        .anyMatch(l -> l.contains("fordridge") && l.contains(": 3"));
    assertThatThrownBy(() -> DeploymentSettings.read(new File("/nowhere.conf")))
        .hasMessageContaining("no such file");
  }

  @Example
  void machineListErrorsAreReportedWithTheirLine() throws Exception {
    DeploymentSettings deployment = DeploymentSettings.read(file(VALID_SETTINGS));
    String validList =
        "version = 1\nmachines = [\n{ name = a, address = \"127.0.0.1:1\", kind = std, state = live }\n]\n";
    assertThat(MachineListFile.read(file(validList), deployment, 1).entries().size()).isEqualTo(1);
    assertThatThrownBy(
            () ->
                MachineListFile.read(
                    file(validList.replace("kind = std", "kind = odd")), deployment, 1))
        .hasMessageContaining(":3: machines[0].kind: found 'odd'");
    assertThatThrownBy(
            () ->
                MachineListFile.read(file(validList.replace("127.0.0.1:1", "here")), deployment, 1))
        .hasMessageContaining("host:port");
  }

  @Example
  void sharedSettingsUpdateIsAppliedOrRejectedAsAWhole() throws Exception {
    DeploymentSettings ownSettings = DeploymentSettings.read(file(VALID_SETTINGS));
    DeploymentSettings updated =
        SettingsUpdate.apply(
            ownSettings,
            ownSettings,
            "cluster.most_claims = 2\nflavours = [{ name = f, effect = rebuildable, "
                + "build_target = 800ms, build_timeout = 6s }, { name = g, effect = one-shot }]");
    assertThat(updated.cluster().maxAttempts()).isEqualTo(2);
    assertThat(updated.priorityClasses().keySet()).containsExactly("f", "g");
    assertThatThrownBy(() -> SettingsUpdate.apply(ownSettings, updated, "cluster.most_claims = 2"))
        .hasMessageContaining("flavour 'g' is missing");
    assertThatThrownBy(
            () ->
                SettingsUpdate.apply(
                    ownSettings, ownSettings, "flavours = [{ name = f, effect = one-shot }]"))
        .hasMessageContaining("changes its effect");
    assertThatThrownBy(() -> SettingsUpdate.apply(ownSettings, ownSettings, "placer.name = other"))
        .hasMessageContaining("each placer's own");
    assertThatThrownBy(
            () -> SettingsUpdate.apply(ownSettings, ownSettings, "cluster.most_claims = none"))
        .hasMessageContaining("most_claims");
    assertThatThrownBy(() -> SettingsUpdate.apply(ownSettings, ownSettings, "cluster {"))
        .hasMessageContaining("1");
  }
}
