package fordridge.server.grpc;

import static fordridge.server.grpc.GrpcTestPeers.awaitUntil;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.observability.Metrics.ShadowDifference;
import fordridge.server.grpc.GrpcTestPeers.ClientPeer;
import fordridge.server.grpc.GrpcTestPeers.MachinePeer;
import fordridge.settings.InvalidSettingsException;
import fordridge.v1.ClaimName;
import fordridge.v1.ClientMessage;
import fordridge.v1.Held;
import fordridge.v1.PlacerMessage.BodyCase;
import java.nio.file.Files;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** A shadow scheduler beside a real scheduler, with scripted peers on loopback. */
class GrpcShadowTest {
  /** A request with that many microseconds left; 0 for the whole start deadline. */
  private static ClientMessage requestWithCores(String vm, double cores, long timeLeftUs) {
    ClientMessage.Builder request = ClientPeer.requestMessage(vm, "safe", timeLeftUs);
    request.getWantBuilder().setCores(cores);
    return request.build();
  }

  private static double shadowDifferences(GrpcTestPeers peers) {
    return Stream.of(ShadowDifference.values())
        .mapToDouble(peers.scheduler.metrics()::shadowDifferences)
        .sum();
  }

  private static void startWithShadow(GrpcTestPeers peers, String settings) throws Exception {
    Files.writeString(peers.folder.toPath().resolve("next.conf"), settings);
    peers.startScheduler("watch.terms = next.conf");
  }

  @Example
  void sameSettingsCountNoDifferences() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(3)) {
      startWithShadow(peers, "cluster.most_claims = 3");
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 30; i++) {
        client.request("v" + i, i % 3 == 0 ? "once" : "safe");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 30);
      client.toScheduler.onNext(requestWithCores("big", 999, 1_000_000));
      awaitUntil(() -> client.count(BodyCase.DENIED) == 1);
      assertThat(shadowDifferences(peers)).isEqualTo(0);
    }
  }

  /** The shadow knows the VMs of an earlier incarnation and the constraints, like the primary. */
  @Example
  void sameSettingsCountNoDifferencesWithConstraintsAndAfterRestart() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(3)) {
      Files.writeString(peers.folder.toPath().resolve("next.conf"), "cluster.most_claims = 3");
      Files.writeString(
          peers.folder.toPath().resolve("rules.txt"),
          "rule few: flavour safe require spread at most 4 per machine;\n");
      MachinePeer machine = peers.machines.get(0);
      machine.addToInventory(
          ClaimName.newBuilder().setVm("c/old").setNumber(1).build(), Held.State.RUNNING);
      peers.startScheduler("watch.terms = next.conf\nconstraints.file = rules.txt");
      awaitUntil(() -> peers.scheduler.establishedStreams() > 0 && machine.streamCount() == 1);
      ClientPeer client = peers.client("c").open(true).hello().request("old", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      for (int i = 0; i < 9; i++) {
        int expectedAcceptances = i + 2;
        client.request("v" + i, "safe");
        awaitUntil(() -> client.count(BodyCase.BOUND) >= expectedAcceptances);
      }
      assertThat(peers.machines.stream().mapToInt(x -> x.offers.size()).max().getAsInt())
          .isLessThanOrEqualTo(4);
      assertThat(shadowDifferences(peers)).isEqualTo(0);
    }
  }

  /**
   * The primary's decisions do not change; that the shadow would hold a VM back and would give no
   * retry-after is counted.
   */
  @Example
  void differencesAreCountedByKindAndChangeNoDecision() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      startWithShadow(
          peers,
          "cluster { free_in_list = false, retry_after = false, list_comes = ask, ask_within = 10s }");
      ClientPeer client = peers.client("c").open(true).hello();
      client.toScheduler.onNext(requestWithCores("fits", 15, 0));
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      client.toScheduler.onNext(requestWithCores("big", 999, 1_000_000));
      awaitUntil(() -> client.count(BodyCase.DENIED) == 1);
      assertThat(
              client.received.stream()
                  .filter(message -> message.getBodyCase() == BodyCase.DENIED)
                  .findFirst()
                  .get()
                  .getDenied()
                  .getRetryAfterUs())
          .isGreaterThan(0);
      awaitUntil(
          () -> peers.scheduler.metrics().shadowDifferences(ShadowDifference.RETRY_AFTER) == 1);
      assertThat(peers.scheduler.metrics().shadowDifferences(ShadowDifference.HOLD)).isEqualTo(1);
      assertThat(peers.scheduler.metrics().shadowDifferences(ShadowDifference.LIST_ASK))
          .isEqualTo(1);
      assertThat(peers.scheduler.metrics().shadowDifferences(ShadowDifference.MACHINE))
          .isEqualTo(0);
      assertThat(peers.scheduler.metrics().scrape())
          .contains("fordridge_watch_otherwise_total{kind=\"hold\"} 1.0");
    }
  }

  @Example
  void shadowSettingsAreValidatedBeforeStart() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      assertThatThrownBy(() -> startWithShadow(peers, "cluster.list_comes = shout"))
          .isInstanceOf(InvalidSettingsException.class)
          .hasMessageContaining("watch.terms")
          .hasMessageContaining("push, ask");
      assertThatThrownBy(() -> peers.startScheduler("watch.terms = nowhere.conf"))
          .hasMessageContaining("no such file");
    }
  }
}
