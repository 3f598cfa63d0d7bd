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

/** Groups of VMs, with a real scheduler and scripted peers on loopback. */
class GrpcGroupTest {
  @Example
  void acceptancesAreReportedOnlyOnceAllMembersAreAccepted() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      peers.machines.forEach(machine -> machine.onOffer = offer -> {});
      ClientPeer client = peers.client("c").open(true).hello();
      client.requestInGroup("g", 3, "a", "safe").requestInGroup("g", 3, "b", "once");
      client.request("alone", "safe");
      awaitUntil(
          () -> peers.machines.stream().mapToInt(machine -> machine.offers.size()).sum() == 1);
      client.requestInGroup("g", 3, "c", "safe");
      awaitUntil(
          () -> peers.machines.stream().mapToInt(machine -> machine.offers.size()).sum() == 4);
      for (MachinePeer machine : peers.machines) {
        machine.offers.stream()
            .filter(offer -> !offer.getClaim().getVm().equals("c/b"))
            .forEach(machine::reportStarted);
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      peers.machines.forEach(
          machine ->
              machine.offers.stream()
                  .filter(offer -> offer.getClaim().getVm().equals("c/b"))
                  .forEach(machine::reportStarted));
      awaitUntil(() -> client.count(BodyCase.BOUND) == 4);
    }
  }

  @Example
  void groupWithRejectedMemberIsStopped() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("cluster.most_claims = 1");
      peers.machines.forEach(
          machine ->
              machine.onOffer =
                  offer -> {
                    if (offer.getClaim().getVm().equals("c/bad")) {
                      return;
                    }
                    machine.reportStarted(offer);
                  });
      ClientPeer client = peers.client("c").open(true).hello();
      client
          .requestInGroup("g", 3, "a", "safe")
          .requestInGroup("g", 3, "b", "once")
          .requestInGroup("g", 3, "bad", "safe");
      awaitUntil(
          () -> peers.machines.stream().mapToInt(machine -> machine.offers.size()).sum() == 3);
      peers.machines.forEach(
          machine ->
              machine.offers.stream()
                  .filter(offer -> offer.getClaim().getVm().equals("c/bad"))
                  .forEach(machine::reject));
      awaitUntil(() -> client.count(BodyCase.DENIED) == 2 && client.count(BodyCase.ERRORED) == 1);
      assertThat(client.count(BodyCase.BOUND)).isEqualTo(0);
      awaitUntil(
          () ->
              peers.machines.stream()
                      .flatMap(machine -> machine.received.stream())
                      .filter(ToMachine::hasStop)
                      .count()
                  == 2);
      assertThat(
              client.received.stream()
                  .filter(message -> message.hasErrored())
                  .findFirst()
                  .get()
                  .getErrored()
                  .getVm())
          .isEqualTo("b");
    }
  }

  @Example
  void groupThatNeverCompletesIsRejectedInTime() throws Exception {
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
                      message ->
                          message.hasDenied()
                              && message.getDenied().getReason().contains("begun with size 3")))
          .isTrue();
    }
  }

  @Example
  void incompleteGroupIsRejectedOnShutdown() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      ClientPeer client = peers.client("c").open(true).hello();
      client
          .requestInGroup("g", 3, "a", "safe")
          .requestInGroup("g", 3, "b", "once")
          .request("alone", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      long startNanos = System.nanoTime();
      assertThat(peers.scheduler.shutdown()).isTrue();
      awaitUntil(() -> client.count(BodyCase.DENIED) == 2);
      assertThat(System.nanoTime() - startNanos)
          .as("rejected well before the deadlines of the requests")
          .isLessThan(3_000_000_000L);
    }
  }

  @Example
  void groupWithAffinityIsPlacedOnOneMachineOrRejectedIfNoneIsLargeEnough() throws Exception {
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
      assertThat(peers.machines.stream().filter(machine -> !machine.offers.isEmpty()).count())
          .isEqualTo(1);
      for (int i = 0; i < 3; i++) {
        client.requestInGroup("h", 3, "h" + i, "once", 9);
      }
      awaitUntil(() -> client.count(BodyCase.DENIED) == 3);
      assertThat(client.received.get(client.received.size() - 1).getDenied().getReason())
          .contains("rule 'one' (near flavour once per machine) and the size of the machines");
      assertThat(peers.machines.stream().mapToInt(machine -> machine.offers.size()).sum())
          .as("no member of the second group was offered")
          .isEqualTo(3);
    }
  }

  @Example
  void constraintChangedDuringPlacementAppliesToRemainingMembers() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.writeConstraints("rule any: all require spread at most 9 per machine;\n");
      peers.startScheduler("constraints.file = rules.txt");
      peers.machines.forEach(
          machine ->
              machine.onOffer =
                  offer -> {
                    if (!offer.getClaim().getVm().equals("c/late")) {
                      machine.reportStarted(offer);
                    }
                  });
      ClientPeer client = peers.client("c").open(true).hello();
      client.requestInGroup("g", 2, "early", "safe").requestInGroup("g", 2, "late", "once");
      awaitUntil(
          () -> peers.machines.stream().mapToInt(machine -> machine.offers.size()).sum() == 2);
      MachinePeer firstMachine =
          peers.machines.get(0).offers.stream()
                  .anyMatch(offer -> offer.getClaim().getVm().equals("c/early"))
              ? peers.machines.get(0)
              : peers.machines.get(1);
      peers.writeConstraints("rule off: flavour once require apart flavour safe per machine;\n");
      awaitUntil(
          () -> {
            var explanation =
                OperatingGrpc.newBlockingStub(client.channel())
                    .explain(ExplainRequest.newBuilder().setFlavour("once").setService(1).build());
            return explanation.getSpotsList().stream().anyMatch(x -> !x.getAllowed());
          });
      // The machine that runs the first VM rejects the second, which may go to the other one only.
      for (MachinePeer machine : peers.machines) {
        machine.onOffer =
            offer -> {
              if (machine == firstMachine) {
                machine.reject(offer);
              } else {
                machine.reportStarted(offer);
              }
            };
        machine.offers.stream()
            .filter(offer -> offer.getClaim().getVm().equals("c/late"))
            .forEach(machine::reject);
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 2 || client.count(BodyCase.DENIED) == 2);
      assertThat(
              client.received.stream()
                  .filter(x -> x.hasBound() && x.getBound().getVm().equals("late"))
                  .allMatch(x -> !x.getBound().getMachine().equals(firstMachine.name)))
          .isTrue();
    }
  }
}
