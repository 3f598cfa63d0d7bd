package fordridge.server.grpc;

import static fordridge.server.grpc.GrpcTestPeers.awaitUntil;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.emulator.EmulatedEtcd;
import fordridge.server.grpc.GrpcTestPeers.ClientPeer;
import fordridge.server.grpc.GrpcTestPeers.MachinePeer;
import fordridge.settings.InvalidSettingsException;
import fordridge.v1.ExplainRequest;
import fordridge.v1.Finished;
import fordridge.v1.FromMachine;
import fordridge.v1.OperatingGrpc;
import fordridge.v1.PlacerMessage.BodyCase;
import net.jqwik.api.Example;

/** Tenants' constraints, with a real scheduler and scripted peers on loopback. */
class GrpcConstraintTest {
  @Example
  void constraintsAreEnforcedAndExplainedAndReplacedByNewVersion() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(3)) {
      peers.writeConstraints("rule one: flavour once require spread at most 1 per machine;\n");
      peers.startScheduler("constraints.file = rules.txt");
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 3; i++) {
        client.request("v" + i, "once");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 3);
      peers.machines.forEach(machine -> assertThat(machine.offers.size()).isEqualTo(1));
      var explanation =
          OperatingGrpc.newBlockingStub(client.channel())
              .explain(ExplainRequest.newBuilder().setFlavour("once").setService(1).build());
      assertThat(explanation.getSpotsList())
          .hasSize(3)
          .allMatch(
              spot ->
                  !spot.getAllowed()
                      && spot.getReasons(0).contains("rule 'one'")
                      && spot.getReasons(0).contains("1 in machine"));
      var ownExplanation =
          OperatingGrpc.newBlockingStub(client.channel())
              .explain(ExplainRequest.newBuilder().setVm("c/v0").build());
      assertThat(
              ownExplanation.getSpotsList().stream()
                  .filter(spot -> spot.getAllowed())
                  .map(spot -> spot.getMachine()))
          .as("a VM is not an obstacle to itself")
          .containsExactly(ownExplanation.getRunsOn());
      assertThatThrownBy(
              () ->
                  OperatingGrpc.newBlockingStub(client.channel())
                      .explain(ExplainRequest.newBuilder().setVm("c/none").build()))
          .hasMessageContaining("no VM 'c/none'");
      client.toScheduler.onNext(ClientPeer.requestMessage("fourth", "once", 600_000).build());
      awaitUntil(() -> client.count(BodyCase.DENIED) == 1);
      // An invalid version leaves the previous one in force; a valid one applies to placements
      // from then on.
      peers.writeConstraints("rule one: flavour nope require;\n");
      peers.writeConstraints("rule two: flavour once require spread at most 2 per machine;\n");
      awaitUntil(
          () -> {
            int bound = (int) client.count(BodyCase.BOUND);
            client.toScheduler.onNext(
                ClientPeer.requestMessage("w" + System.nanoTime(), "once", 300_000).build());
            return bound == 6;
          });
      peers.machines.forEach(machine -> assertThat(machine.offers.size()).isEqualTo(2));
    }
  }

  @Example
  void attemptWithUnknownOutcomeCountsForConstraintsUntilReleased() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.writeConstraints("rule away: flavour safe require apart flavour once per machine;\n");
      peers.startScheduler("constraints.file = rules.txt");
      peers.machines.forEach(machine -> machine.onOffer = offer -> {});
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.ERRORED) == 1);
      MachinePeer occupiedMachine =
          peers.machines.get(0).offers.isEmpty() ? peers.machines.get(1) : peers.machines.get(0);
      MachinePeer freeMachine =
          occupiedMachine == peers.machines.get(0) ? peers.machines.get(1) : peers.machines.get(0);
      peers.machines.forEach(machine -> machine.onOffer = machine::reportStarted);
      for (int i = 0; i < 10; i++) {
        client.request("w" + i, "safe");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 10);
      assertThat(occupiedMachine.offers.size())
          .as("nothing else is placed beside an attempt of unknown outcome")
          .isEqualTo(1);
      occupiedMachine.send(
          FromMachine.newBuilder()
              .setFinished(
                  Finished.newBuilder()
                      .setClaim(occupiedMachine.offers.get(0).getClaim())
                      .setHow(Finished.How.CANCELLED))
              .build());
      freeMachine.onOffer = freeMachine::reject;
      client.request("last", "safe");
      awaitUntil(() -> occupiedMachine.offers.size() == 2);
    }
  }

  /** The constraint was satisfiable when it was read; then its only machine left the list. */
  @Example
  void unsatisfiableRequestIsRejectedWithItsConstraints() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.writeConstraints("rule a: flavour once require on machine m1;\n");
      peers.startScheduler("constraints.file = rules.txt");
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      peers.writeMachineList("m1 gone");
      awaitUntil(
          () -> {
            client.toScheduler.onNext(
                ClientPeer.requestMessage("w" + System.nanoTime(), "once", 0).build());
            return client.count(BodyCase.DENIED) > 0;
          });
      String reason = client.received.get(client.received.size() - 1).getDenied().getReason();
      assertThat(reason).contains("rule 'a' (on machine m1)");
    }
  }

  @Example
  void settingsAndConstraintsFromStoreAreAppliedWhileRunning() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1);
        EmulatedEtcd etcd = new EmulatedEtcd()) {
      etcd.put(
          "/c/machines/m0",
          "{\"v\":2,\"address\":\"127.0.0.1:"
              + peers.machines.get(0).port
              + "\",\"kind\":\"k\",\"cores\":16,\"memory\":64}");
      peers.startScheduler(
          "machines.source = etcd, etcd { endpoints = [\"127.0.0.1:"
              + etcd.port()
              + "\"], prefix = \"/c\" }");
      ClientPeer client = peers.client("c").open(true).hello().request("v", "fresh");
      awaitUntil(() -> client.count(BodyCase.DENIED) == 1);
      String initialFlavours =
          "flavours = [{ name = safe, effect = rebuildable, build_target = 300ms, build_timeout = 4s }, "
              + "{ name = once, effect = one-shot, build_target = 300ms, build_timeout = 4s }";
      etcd.put("/c/terms/deployment", "flavours = [{ name = safe }]");
      etcd.put(
          "/c/terms/deployment", initialFlavours + ", { name = fresh, effect = rebuildable }]");
      awaitUntil(
          () -> {
            client.request("w" + System.nanoTime(), "fresh");
            return client.count(BodyCase.BOUND) > 0;
          });
      etcd.put("/c/terms/constraints", "rule none: flavour fresh require on machine elsewhere;");
      etcd.put(
          "/c/terms/constraints", "rule one: flavour once require spread at most 1 per machine;");
      awaitUntil(
          () -> {
            client.toScheduler.onNext(
                ClientPeer.requestMessage("x" + System.nanoTime(), "once", 300_000).build());
            return client.received.stream()
                    .filter(
                        message ->
                            message.hasDenied() && message.getDenied().getVm().startsWith("x"))
                    .count()
                > 0;
          });
    }
  }

  @Example
  void invalidOrUnsatisfiableConstraintsPreventStart() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.writeConstraints("rule a: flavour nope require on kind k;\n");
      assertThatThrownBy(() -> peers.startScheduler("constraints.file = rules.txt"))
          .isInstanceOf(InvalidSettingsException.class)
          .hasMessageContaining("no flavour 'nope'");
      peers.writeConstraints(
          "rule a: flavour once require on kind k;\nrule b: service 3 require on not kind k;\n");
      assertThatThrownBy(() -> peers.startScheduler("constraints.file = rules.txt"))
          .hasMessageContaining("rule 'b' (line 2: on not (kind k)) is met by no machine");
      peers.writeConstraints("rule a: flavour once require spread at most 1 per zone overall;\n");
      assertThatThrownBy(
              () -> peers.startScheduler("constraints.file = rules.txt, placer.placers = 5"))
          .hasMessageContaining("5 placers");
    }
  }
}
