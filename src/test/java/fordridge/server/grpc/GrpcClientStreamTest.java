package fordridge.server.grpc;

import static fordridge.server.grpc.GrpcTestPeers.awaitUntil;
import static fordridge.server.grpc.GrpcTestPeers.onlyOffer;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.server.grpc.GrpcTestPeers.ClientPeer;
import fordridge.server.grpc.GrpcTestPeers.MachinePeer;
import fordridge.v1.Ack;
import fordridge.v1.ClientMessage;
import fordridge.v1.Finished;
import fordridge.v1.FromMachine;
import fordridge.v1.Offer;
import fordridge.v1.PlacerMessage.BodyCase;
import fordridge.v1.ToMachine;
import fordridge.v1.Unwant;
import fordridge.v1.Want;
import io.grpc.Status;
import java.util.List;
import net.jqwik.api.Example;

/** Clients' streams and sessions, with a real scheduler and scripted peers on loopback. */
class GrpcClientStreamTest {
  @Example
  void unacknowledgedAcceptanceIsSentAgainOnResumeAndVmRunsOnce() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      ClientPeer client = peers.client("c").open(true).hello();
      String token = client.token();
      client.request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      // The acceptance arrived, but the client had not acknowledged it when the stream broke.
      client.breakStream();
      client.received.clear();
      client.open(true).hello(token, 0).request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      MachinePeer machine = peers.machines.get(0);
      machine.send(
          FromMachine.newBuilder()
              .setFinished(
                  Finished.newBuilder()
                      .setClaim(onlyOffer(machine).getClaim())
                      .setHow(Finished.How.DONE)
                      .setRan(true))
              .build());
      awaitUntil(() -> client.count(BodyCase.ENDED) == 1);
      assertThat(client.count(BodyCase.BOUND)).isEqualTo(1);
      assertThat(machine.offers.size()).isEqualTo(1);
    }
  }

  @Example
  void acceptanceDuringDisconnectIsSentOnResume() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      MachinePeer machine = peers.machines.get(0);
      machine.onOffer = offer -> {};
      ClientPeer client = peers.client("c").open(true).hello();
      String token = client.token();
      client.request("v", "once");
      Offer offer = onlyOffer(machine);
      client.breakStream();
      machine.reportStarted(offer);
      client.received.clear();
      client.open(true).hello(token, 0);
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
    }
  }

  @Example
  void startThatCrossesWithdrawalIsNotReported() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      MachinePeer machine = peers.machines.get(0);
      machine.onOffer = offer -> {};
      ClientPeer client = peers.client("c").open(true).hello().request("v", "safe");
      Offer offer = onlyOffer(machine);
      client.toScheduler.onNext(
          ClientMessage.newBuilder().setUnwant(Unwant.newBuilder().setVm("v")).build());
      awaitUntil(() -> machine.received.stream().anyMatch(ToMachine::hasCancel));
      machine.reportStarted(offer);
      machine.onOffer = machine::reportStarted;
      client.request("w", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      assertThat(
              client.received.stream()
                  .anyMatch(
                      message -> message.hasBound() && message.getBound().getVm().equals("v")))
          .isFalse();
    }
  }

  /**
   * The scheduler stops reading from a client with more than sessions.unread unwritten responses or
   * sessions.open pending requests.
   */
  @Example
  void clientThatNeverReadsIsNotReadFromWhileOthersAreServed() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("sessions { unread = 50, open = 100 }");
      ClientPeer unreading = peers.client("unreading").open(false).hello();
      unreading.token();
      String padding = "x".repeat(150);
      for (int i = 0; i < 2000; i++) {
        unreading.request(padding + i, "safe");
      }
      ClientPeer client = peers.client("c").open(true).hello();
      for (int i = 0; i < 20; i++) {
        client.request("v" + i, "safe");
      }
      awaitUntil(() -> client.count(BodyCase.BOUND) == 20);
      int offersBeforeReading = peers.machines.get(0).offers.size();
      assertThat(offersBeforeReading).isLessThan(1200);
      unreading.toScheduler.request(100_000);
      awaitUntil(() -> unreading.count(BodyCase.BOUND) > 0);
      awaitUntil(
          () -> {
            long lastSequence = unreading.lastSequence();
            unreading.toScheduler.onNext(
                ClientMessage.newBuilder().setAck(Ack.newBuilder().setSeen(lastSequence)).build());
            return lastSequence >= 2000;
          });
    }
  }

  @Example
  void oversizedMessageEndsOnlyItsStream() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("machines.max_message = 4KiB");
      ClientPeer oversizedClient = peers.client("big").open(true).hello();
      oversizedClient.token();
      ClientPeer client = peers.client("c").open(true).hello();
      oversizedClient.request("x".repeat(9000), "safe");
      awaitUntil(() -> oversizedClient.status != null);
      assertThat(oversizedClient.status.getCode())
          .as(oversizedClient.status.toString())
          .isEqualTo(Status.Code.RESOURCE_EXHAUSTED);
      client.request("v", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
    }
  }

  @Example
  void invalidMessageEndsItsStreamAndNamesTheField() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      ClientPeer clientWithoutHello = peers.client("early").open(true).request("v", "safe");
      awaitUntil(() -> clientWithoutHello.status != null);
      assertThat(clientWithoutHello.status.getCode()).isEqualTo(Status.Code.INVALID_ARGUMENT);
      assertThat(clientWithoutHello.status.getDescription()).contains("hello");
      ClientPeer clientWithInvalidCores = peers.client("odd").open(true).hello();
      clientWithInvalidCores.token();
      clientWithInvalidCores.toScheduler.onNext(
          ClientMessage.newBuilder()
              .setWant(
                  Want.newBuilder().setVm("v").setFlavour("safe").setCores(Double.NaN).setMemory(1))
              .build());
      awaitUntil(() -> clientWithInvalidCores.status != null);
      assertThat(clientWithInvalidCores.status.getDescription()).contains("want.cores");
      ClientPeer clientWithInvalidAck = peers.client("ack").open(true).hello();
      clientWithInvalidAck.toScheduler.onNext(
          ClientMessage.newBuilder().setAck(Ack.newBuilder().setSeen(9)).build());
      awaitUntil(() -> clientWithInvalidAck.status != null);
      assertThat(clientWithInvalidAck.status.getDescription()).contains("9 was never sent");
      ClientPeer client =
          peers.client("c").open(true).hello().request("v", "unheard-of").request("w", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      awaitUntil(() -> client.count(BodyCase.DENIED) == 1);
    }
  }

  /** Guards against an event loop that is overloaded by many simultaneously pending requests. */
  @Example
  void eachOfSixThousandPendingRequestsGetsOneFinalResponse() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(3)) {
      peers.startScheduler(
          "sessions { open = 10000, unread = 10000 }, placer { max_open = 10000, answer_margin = 500ms }");
      peers.machines.forEach(m -> m.onOffer = m::reject);
      ClientPeer client = peers.client("c").open(true).hello();
      client.token();
      for (int i = 0; i < 6000; i++) {
        client.request("v" + i, List.of("safe", "once").get(i % 2));
      }
      awaitUntil(() -> client.count(BodyCase.DENIED) + client.count(BodyCase.ERRORED) == 6000);
      // On a slow host an attempt may time out, so that a non-idempotent VM fails; but each VM
      // gets exactly one response.
      assertThat(
              client.received.stream()
                  .filter(m -> !m.hasWelcome())
                  .map(m -> m.hasDenied() ? m.getDenied().getVm() : m.getErrored().getVm())
                  .distinct()
                  .count())
          .isEqualTo(6000);
    }
  }
}
