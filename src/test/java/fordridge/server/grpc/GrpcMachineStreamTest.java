package fordridge.server.grpc;

import static fordridge.server.grpc.GrpcTestPeers.awaitUntil;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.server.grpc.GrpcTestPeers.ClientPeer;
import fordridge.server.grpc.GrpcTestPeers.MachinePeer;
import fordridge.v1.ClaimName;
import fordridge.v1.Ended;
import fordridge.v1.Finished;
import fordridge.v1.FromMachine;
import fordridge.v1.Held;
import fordridge.v1.PlacerMessage.BodyCase;
import fordridge.v1.Started;
import fordridge.v1.ToMachine;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

/**
 * Machines that are slow, disconnect or violate the protocol, with a real scheduler on loopback.
 */
class GrpcMachineStreamTest {
  @Example
  void silentMachineDoesNotKeepOthersFromAccepting() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      peers.machines.get(0).onOffer = offer -> {};
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 30; i++) {
        client.request("v" + i, "safe");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 30);
      assertThat(peers.machines.get(1).offers.size()).isEqualTo(30);
    }
  }

  /**
   * Guards against counting offers beyond the queue limit of a stream that is not established yet
   * as faults of the machine.
   */
  @Example
  void fullQueueOfUnsentOffersIsNotCountedAsFaultOfMachine() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      MachinePeer machine = peers.machines.get(0);
      machine.withholdsInventory = true;
      peers.startScheduler("machines.line = 4");
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 30; i++) {
        client.request("v" + i, "safe");
      }
      awaitUntil(() -> peers.scheduler.pendingRequests() == 30 && machine.toScheduler != null);
      machine.sendInventory();
      awaitUntil(() -> client.count(BodyCase.BOUND) + client.count(BodyCase.DENIED) == 30);
      assertThat(client.count(BodyCase.DENIED)).isZero();
      assertThat(machine.offers.size()).isEqualTo(30);
    }
  }

  @Example
  void nonIdempotentVmWithoutOutcomeFailsAndItsAttemptIsCancelled() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      AtomicInteger offerCount = new AtomicInteger();
      peers.machines.forEach(machine -> machine.onOffer = offer -> offerCount.incrementAndGet());
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.ERRORED) == 1);
      assertThat(offerCount.get()).isEqualTo(1);
      assertThat(client.count(BodyCase.DENIED)).isEqualTo(0);
      // The cancellation releases what the machine has reserved for the attempt.
      awaitUntil(
          () ->
              peers.machines.stream()
                  .anyMatch(machine -> machine.received.stream().anyMatch(ToMachine::hasCancel)));
    }
  }

  @Example
  void vmThatEndsBeforeItsAcceptanceFailsAndIsNotPlacedAgain() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      peers.machines.forEach(
          machine ->
              machine.onOffer =
                  offer ->
                      machine.send(
                          FromMachine.newBuilder()
                              .setFinished(
                                  Finished.newBuilder()
                                      .setClaim(offer.getClaim())
                                      .setHow(Finished.How.DONE)
                                      .setRan(true))
                              .build()));
      ClientPeer client = peers.client("c").open(true).hello().request("v", "safe");
      awaitUntil(() -> client.count(BodyCase.ERRORED) == 1);
      assertThat(peers.machines.stream().mapToInt(machine -> machine.offers.size()).sum())
          .isEqualTo(1);
      assertThat(client.count(BodyCase.BOUND) + client.count(BodyCase.DENIED)).isZero();
    }
  }

  @Example
  void vmFoundRunningAfterReconnectIsAccepted() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("machines { unsure = 10s, retry_least = 20ms }");
      peers.machines.forEach(
          machine ->
              machine.onOffer =
                  offer -> {
                    machine.addToInventory(offer.getClaim(), Held.State.RUNNING);
                    machine.breakStream();
                  });
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      assertThat(peers.machines.stream().mapToInt(machine -> machine.offers.size()).sum())
          .isEqualTo(1);
    }
  }

  @Example
  void vmNotFoundAfterReconnectIsPlacedAgain() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("machines { unsure = 10s, retry_least = 20ms }");
      AtomicInteger offerCount = new AtomicInteger();
      peers.machines.forEach(
          machine ->
              machine.onOffer =
                  offer -> {
                    if (offerCount.getAndIncrement() == 0) {
                      machine.breakStream();
                    } else {
                      machine.reportStarted(offer);
                    }
                  });
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      assertThat(peers.machines.stream().mapToInt(machine -> machine.offers.size()).sum())
          .isEqualTo(2);
    }
  }

  @Example
  void nonIdempotentVmOnMachineThatStaysUnreachableFails() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("machines.unsure = 200ms");
      AtomicInteger offerCount = new AtomicInteger();
      peers.machines.forEach(
          machine ->
              machine.onOffer =
                  offer -> {
                    offerCount.incrementAndGet();
                    machine.close();
                  });
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.ERRORED) == 1);
      assertThat(offerCount.get()).isEqualTo(1);
    }
  }

  @Example
  void vmOnRestartedMachineIsReportedLost() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("machines.retry_least = 20ms");
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      MachinePeer machine = peers.machines.get(0);
      machine.restart();
      machine.breakStream();
      awaitUntil(() -> client.count(BodyCase.ENDED) == 1);
      assertThat(client.received.get(client.received.size() - 1).getEnded().getHow())
          .isEqualTo(Ended.How.LOST);
    }
  }

  @Example
  void drainingMachineGetsNoMoreOffers() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      ClientPeer client = peers.client("c").open(true).hello().request("first", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      peers.writeMachineList("m0 draining");
      awaitUntil(() -> peers.scheduler.machineListVersion() > 1);
      int offersBefore = peers.machines.get(0).offers.size();
      for (int i = 0; i < 20; i++) {
        client.request("v" + i, "safe");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 21);
      assertThat(peers.machines.get(0).offers.size()).isEqualTo(offersBefore);
    }
  }

  @Example
  void machineThatNeverSendsItsInventoryFailsNoVm() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1);
        ServerSocket silentServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      peers.startScheduler("machines.connect_timeout = 700ms");
      peers.writeMachineList(
          "",
          "{ name = mute, address = \"127.0.0.1:"
              + silentServer.getLocalPort()
              + "\", kind = k, state = live, free_cores = 500, free_memory = 500 }");
      awaitUntil(() -> peers.scheduler.machineListVersion() > 1);
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 10; i++) {
        client.request("v" + i, "once");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) + client.count(BodyCase.DENIED) == 10);
      assertThat(client.count(BodyCase.ERRORED)).isEqualTo(0);
      assertThat(client.count(BodyCase.BOUND)).isGreaterThan(0);
    }
  }

  @Example
  void machineThatViolatesProtocolDoesNotKeepOthersFromAccepting() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      MachinePeer violatingMachine = peers.machines.get(0);
      violatingMachine.onOffer = offer -> violatingMachine.send(FromMachine.getDefaultInstance());
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 10; i++) {
        client.request("v" + i, "safe");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 10);
    }
  }

  @Example
  void repeatedStartIsReportedOnce() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      MachinePeer machine = peers.machines.get(0);
      machine.onOffer =
          offer -> {
            machine.reportStarted(offer);
            machine.reportStarted(offer);
            machine.send(
                FromMachine.newBuilder()
                    .setStarted(
                        Started.newBuilder()
                            .setClaim(ClaimName.newBuilder().setVm("nobody's").setNumber(9)))
                    .build());
          };
      ClientPeer client =
          peers.client("c").open(true).hello().request("v", "once").request("w", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 2);
      assertThat(client.received.size()).isEqualTo(3);
    }
  }
}
