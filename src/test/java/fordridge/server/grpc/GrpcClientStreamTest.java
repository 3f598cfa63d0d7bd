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

/** Clients' streams and sessions, between a real scheduler and scripted peers on loopback. */
class GrpcClientStreamTest {
  @Example
  void anUnacknowledgedAcceptanceIsSentAgainOnResumeAndTheVmRunsOnce() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      ClientPeer client = peers.client("c").open(true).hello();
      String token = client.token();
      client.request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      // It came, but the client's process had not taken it in when its stream broke.
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
  void anAcceptanceDuringADisconnectIsSentOnResume() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      MachinePeer machine = peers.machines.get(0);
      machine.onOffer = o -> {};
      ClientPeer client = peers.client("c").open(true).hello();
      String token = client.token();
      client.request("v", "once");
      Offer o = onlyOffer(machine);
      client.breakStream();
      machine.reportStarted(o);
      client.received.clear();
      client.open(true).hello(token, 0);
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
    }
  }

  @Example
  void aStartThatCrossesAWithdrawalIsNotReported() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      MachinePeer machine = peers.machines.get(0);
      machine.onOffer = o -> {};
      ClientPeer client = peers.client("c").open(true).hello().request("v", "safe");
      Offer o = onlyOffer(machine);
      client.to.onNext(
          ClientMessage.newBuilder().setUnwant(Unwant.newBuilder().setVm("v")).build());
      awaitUntil(() -> machine.received.stream().anyMatch(ToMachine::hasCancel));
      machine.reportStarted(o);
      machine.onOffer = machine::reportStarted;
      client.request("w", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      assertThat(
              client.received.stream()
                  .anyMatch(x -> x.hasBound() && x.getBound().getVm().equals("v")))
          .isFalse();
    }
  }

  /**
   * The limits: at most sessions.unread responses unwritten, at most sessions.open requests
   * pending.
   */
  @Example
  void aClientThatNeverReadsIsNotReadFromWhileOthersAreServed() throws Exception {
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
      int taken = peers.machines.get(0).offers.size();
      assertThat(taken).isLessThan(1200);
      unreading.to.request(100_000);
      awaitUntil(() -> unreading.count(BodyCase.BOUND) > 0);
      awaitUntil(
          () -> {
            long seen = unreading.lastSequence();
            unreading.to.onNext(
                ClientMessage.newBuilder().setAck(Ack.newBuilder().setSeen(seen)).build());
            return seen >= 2000;
          });
    }
  }

  @Example
  void anOversizedMessageEndsItsStreamOnly() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("machines.max_message = 4KiB");
      ClientPeer big = peers.client("big").open(true).hello();
      big.token();
      ClientPeer client = peers.client("c").open(true).hello();
      big.request("x".repeat(9000), "safe");
      awaitUntil(() -> big.status != null);
      assertThat(big.status.getCode())
          .as(big.status.toString())
          .isEqualTo(Status.Code.RESOURCE_EXHAUSTED);
      client.request("v", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
    }
  }

  @Example
  void anInvalidMessageEndsItsStreamWithTheNameOfTheField() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      ClientPeer early = peers.client("early").open(true).request("v", "safe");
      awaitUntil(() -> early.status != null);
      assertThat(early.status.getCode()).isEqualTo(Status.Code.INVALID_ARGUMENT);
      assertThat(early.status.getDescription()).contains("hello");
      ClientPeer odd = peers.client("odd").open(true).hello();
      odd.token();
      odd.to.onNext(
          ClientMessage.newBuilder()
              .setWant(
                  Want.newBuilder().setVm("v").setFlavour("safe").setCores(Double.NaN).setMemory(1))
              .build());
      awaitUntil(() -> odd.status != null);
      assertThat(odd.status.getDescription()).contains("want.cores");
      ClientPeer ack = peers.client("ack").open(true).hello();
      ack.to.onNext(ClientMessage.newBuilder().setAck(Ack.newBuilder().setSeen(9)).build());
      awaitUntil(() -> ack.status != null);
      assertThat(ack.status.getDescription()).contains("9 was never sent");
      ClientPeer client =
          peers.client("c").open(true).hello().request("v", "unheard-of").request("w", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      awaitUntil(() -> client.count(BodyCase.DENIED) == 1);
    }
  }

  /** All pending at once: the event loop must stay quick for everyone else. */
  @Example
  void sixThousandPendingRequestsAllGetOneFinalResponse() throws Exception {
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
      // On a slow computer a response may be late, and a non-idempotent VM failed; but each VM has
      // one response.
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
