package fordridge.server.grpc;

import static fordridge.server.grpc.GrpcTestPeers.awaitUntil;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.server.grpc.GrpcTestPeers.ClientPeer;
import fordridge.server.grpc.GrpcTestPeers.MachinePeer;
import fordridge.v1.ExplainRequest;
import fordridge.v1.OperatingGrpc;
import fordridge.v1.PlacerMessage.BodyCase;
import fordridge.v1.ToMachine;
import java.util.List;
import net.jqwik.api.Example;

/** Groups of VMs at a real scheduler with scripted peers on loopback. */
class GrpcGroupTest {
  @Example
  void acceptancesAreReportedOnlyOnceAllMembersAreAccepted() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      peers.machines.forEach(m -> m.onOffer = o -> {});
      ClientPeer client = peers.client("c").open(true).hello();
      client.requestInGroup("g", 3, "a", "safe").requestInGroup("g", 3, "b", "once");
      client.request("alone", "safe");
      awaitUntil(() -> peers.machines.stream().mapToInt(m -> m.offers.size()).sum() == 1);
      client.requestInGroup("g", 3, "c", "safe");
      awaitUntil(() -> peers.machines.stream().mapToInt(m -> m.offers.size()).sum() == 4);
      for (MachinePeer m : peers.machines) {
        m.offers.stream()
            .filter(o -> !o.getClaim().getVm().equals("c/b"))
            .forEach(m::reportStarted);
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      peers.machines.forEach(
          m ->
              m.offers.stream()
                  .filter(o -> o.getClaim().getVm().equals("c/b"))
                  .forEach(m::reportStarted));
      awaitUntil(() -> client.count(BodyCase.BOUND) == 4);
    }
  }

  @Example
  void aGroupWithARejectedMemberIsStoppedAsAWhole() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("cluster.most_claims = 1");
      peers.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    if (o.getClaim().getVm().equals("c/bad")) {
                      return;
                    }
                    m.reportStarted(o);
                  });
      ClientPeer client = peers.client("c").open(true).hello();
      client
          .requestInGroup("g", 3, "a", "safe")
          .requestInGroup("g", 3, "b", "once")
          .requestInGroup("g", 3, "bad", "safe");
      awaitUntil(() -> peers.machines.stream().mapToInt(m -> m.offers.size()).sum() == 3);
      peers.machines.forEach(
          m ->
              m.offers.stream()
                  .filter(o -> o.getClaim().getVm().equals("c/bad"))
                  .forEach(m::reject));
      awaitUntil(() -> client.count(BodyCase.DENIED) == 2 && client.count(BodyCase.ERRORED) == 1);
      assertThat(client.count(BodyCase.BOUND)).isEqualTo(0);
      awaitUntil(
          () ->
              peers.machines.stream()
                      .flatMap(m -> m.received.stream())
                      .filter(ToMachine::hasStop)
                      .count()
                  == 2);
      assertThat(
              client.received.stream()
                  .filter(x -> x.hasErrored())
                  .findFirst()
                  .get()
                  .getErrored()
                  .getVm())
          .isEqualTo("b");
    }
  }

  @Example
  void aGroupThatNeverCompletesIsRejectedInTime() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      ClientPeer client = peers.client("c").open(true).hello();
      client
          .requestInGroup("g", 3, "a", "safe")
          .requestInGroup("g", 3, "b", "once")
          .requestInGroup("g", 4, "x", "safe");
      awaitUntil(() -> client.count(BodyCase.DENIED) == 3);
      assertThat(peers.machines.get(0).offers).isEmpty();
      assertThat(
              client.received.stream()
                  .anyMatch(
                      m ->
                          m.hasDenied() && m.getDenied().getReason().contains("begun with size 3")))
          .isTrue();
    }
  }

  @Example
  void anIncompleteGroupIsRejectedOnShutdown() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      ClientPeer client = peers.client("c").open(true).hello();
      client
          .requestInGroup("g", 3, "a", "safe")
          .requestInGroup("g", 3, "b", "once")
          .request("alone", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      long from = System.nanoTime();
      assertThat(peers.scheduler.shutdown()).isTrue();
      awaitUntil(() -> client.count(BodyCase.DENIED) == 2);
      assertThat(System.nanoTime() - from)
          .as("well before their own deadlines")
          .isLessThan(3_000_000_000L);
    }
  }

  @Example
  void aGroupWithAffinityGoesToOneMachineOrIsRejectedIfNoneIsLargeEnough() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(3)) {
      peers.writeConstraints(
          """
          rule one: flavour once require near flavour once per machine;
          rule other: flavour safe require spread at most 9 per machine;
          """);
      peers.startScheduler("constraints.file = rules.txt");
      ClientPeer client = peers.client("c").open(true).hello();
      for (String vm : List.of("a", "b", "c")) {
        client.requestInGroup("g", 3, vm, "once");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 3);
      assertThat(peers.machines.stream().filter(m -> !m.offers.isEmpty()).count()).isEqualTo(1);
      for (int i = 0; i < 3; i++) {
        client.requestInGroup("h", 3, "h" + i, "once", 9);
      }
      awaitUntil(() -> client.count(BodyCase.DENIED) == 3);
      assertThat(client.received.get(client.received.size() - 1).getDenied().getReason())
          .contains("rule 'one' (near flavour once per machine) and the size of the machines");
      assertThat(peers.machines.stream().mapToInt(m -> m.offers.size()).sum())
          .as("no member was offered")
          .isEqualTo(3);
    }
  }

  @Example
  void aConstraintThatChangesWhileAGroupIsPlacedHoldsForItsOtherMembers() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.writeConstraints("rule any: all require spread at most 9 per machine;\n");
      peers.startScheduler("constraints.file = rules.txt");
      peers.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    if (!o.getClaim().getVm().equals("c/late")) {
                      m.reportStarted(o);
                    }
                  });
      ClientPeer client = peers.client("c").open(true).hello();
      client.requestInGroup("g", 2, "early", "safe").requestInGroup("g", 2, "late", "once");
      awaitUntil(() -> peers.machines.stream().mapToInt(m -> m.offers.size()).sum() == 2);
      MachinePeer mine =
          peers.machines.get(0).offers.stream()
                  .anyMatch(o -> o.getClaim().getVm().equals("c/early"))
              ? peers.machines.get(0)
              : peers.machines.get(1);
      peers.writeConstraints("rule off: flavour once require apart flavour safe per machine;\n");
      awaitUntil(
          () -> {
            var why =
                OperatingGrpc.newBlockingStub(client.channel())
                    .explain(ExplainRequest.newBuilder().setFlavour("once").setService(1).build());
            return why.getSpotsList().stream().anyMatch(x -> !x.getAllowed());
          });
      // Rejected by the machine where the first runs, the second may go to the other machine only.
      for (MachinePeer m : peers.machines) {
        m.onOffer =
            o -> {
              if (m == mine) {
                m.reject(o);
              } else {
                m.reportStarted(o);
              }
            };
        m.offers.stream().filter(o -> o.getClaim().getVm().equals("c/late")).forEach(m::reject);
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 2 || client.count(BodyCase.DENIED) == 2);
      assertThat(
              client.received.stream()
                  .filter(x -> x.hasBound() && x.getBound().getVm().equals("late"))
                  .allMatch(x -> !x.getBound().getMachine().equals(mine.name)))
          .isTrue();
    }
  }
}
