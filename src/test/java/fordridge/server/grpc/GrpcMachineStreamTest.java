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

/** Machines that are slow, break off or misbehave, against a real scheduler on loopback. */
class GrpcMachineStreamTest {
  @Example
  void aSilentMachineDoesNotKeepOthersFromAccepting() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      peers.machines.get(0).onOffer = o -> {};
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 30; i++) {
        client.request("v" + i, "safe");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 30);
      assertThat(peers.machines.get(1).offers.size()).isEqualTo(30);
    }
  }

  /** A machine used to be distrusted for more offers than its stream, not up yet, could queue. */
  @Example
  void aFullQueueOfUnsentOffersIsNoFaultOfTheMachine() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      MachinePeer machine = peers.machines.get(0);
      machine.holdsInventoryBack = true;
      peers.startScheduler("machines.line = 4");
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 30; i++) {
        client.request("v" + i, "safe");
      }
      awaitUntil(() -> peers.scheduler.pendingRequests() == 30 && machine.out != null);
      machine.sendInventory();
      awaitUntil(() -> client.count(BodyCase.BOUND) + client.count(BodyCase.DENIED) == 30);
      assertThat(client.count(BodyCase.DENIED)).isZero();
      assertThat(machine.offers.size()).isEqualTo(30);
    }
  }

  @Example
  void aNonIdempotentVmWithoutAnOutcomeFailsAndItsAttemptIsCancelled() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      AtomicInteger started = new AtomicInteger();
      peers.machines.forEach(m -> m.onOffer = o -> started.incrementAndGet());
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.ERRORED) == 1);
      assertThat(started.get()).isEqualTo(1);
      assertThat(client.count(BodyCase.DENIED)).isEqualTo(0);
      // The attempt is cancelled, so that the machine reserves nothing for it.
      awaitUntil(
          () ->
              peers.machines.stream()
                  .anyMatch(m -> m.received.stream().anyMatch(ToMachine::hasCancel)));
    }
  }

  @Example
  void aVmThatIsOverBeforeItsAcceptanceFailsAndIsNotPlacedAgain() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      peers.machines.forEach(
          m ->
              m.onOffer =
                  o ->
                      m.send(
                          FromMachine.newBuilder()
                              .setFinished(
                                  Finished.newBuilder()
                                      .setClaim(o.getClaim())
                                      .setHow(Finished.How.DONE)
                                      .setRan(true))
                              .build()));
      ClientPeer client = peers.client("c").open(true).hello().request("v", "safe");
      awaitUntil(() -> client.count(BodyCase.ERRORED) == 1);
      assertThat(peers.machines.stream().mapToInt(m -> m.offers.size()).sum()).isEqualTo(1);
      assertThat(client.count(BodyCase.BOUND) + client.count(BodyCase.DENIED)).isZero();
    }
  }

  @Example
  void aVmFoundRunningAfterAReconnectIsAccepted() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("machines { unsure = 10s, retry_least = 20ms }");
      peers.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    m.addToInventory(o.getClaim(), Held.State.RUNNING);
                    m.breakStream();
                  });
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      assertThat(peers.machines.stream().mapToInt(m -> m.offers.size()).sum()).isEqualTo(1);
    }
  }

  @Example
  void aVmNotFoundAfterAReconnectIsPlacedAgain() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("machines { unsure = 10s, retry_least = 20ms }");
      AtomicInteger cuts = new AtomicInteger();
      peers.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    if (cuts.getAndIncrement() == 0) {
                      m.breakStream();
                    } else {
                      m.reportStarted(o);
                    }
                  });
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      assertThat(peers.machines.stream().mapToInt(m -> m.offers.size()).sum()).isEqualTo(2);
    }
  }

  @Example
  void aNonIdempotentVmOnAMachineThatStaysAwayFails() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("machines.unsure = 200ms");
      AtomicInteger offers = new AtomicInteger();
      peers.machines.forEach(
          m ->
              m.onOffer =
                  o -> {
                    offers.incrementAndGet();
                    m.close();
                  });
      ClientPeer client = peers.client("c").open(true).hello().request("v", "once");
      awaitUntil(() -> client.count(BodyCase.ERRORED) == 1);
      assertThat(offers.get()).isEqualTo(1);
    }
  }

  @Example
  void aVmOnARestartedMachineIsReportedLost() throws Exception {
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
  void aDrainingMachineGetsNoMoreOffers() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      ClientPeer client = peers.client("c").open(true).hello().request("first", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      peers.writeMachineList("m0 draining");
      awaitUntil(() -> peers.scheduler.machineListVersion() > 1);
      int before = peers.machines.get(0).offers.size();
      for (int i = 0; i < 20; i++) {
        client.request("v" + i, "safe");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 21);
      assertThat(peers.machines.get(0).offers.size()).isEqualTo(before);
    }
  }

  @Example
  void aMachineThatNeverSendsItsInventoryFailsNoVm() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1);
        ServerSocket mute = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      peers.startScheduler("machines.connect_timeout = 700ms");
      peers.writeMachineList(
          "",
          "{ name = mute, address = \"127.0.0.1:"
              + mute.getLocalPort()
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
  void aMachineThatViolatesTheProtocolDoesNotKeepOthersFromAccepting() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2)) {
      peers.startScheduler("");
      MachinePeer odd = peers.machines.get(0);
      odd.onOffer = o -> odd.send(FromMachine.getDefaultInstance());
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 10; i++) {
        client.request("v" + i, "safe");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 10);
    }
  }

  @Example
  void aRepeatedStartIsReportedOnce() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      MachinePeer machine = peers.machines.get(0);
      machine.onOffer =
          o -> {
            machine.reportStarted(o);
            machine.reportStarted(o);
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
