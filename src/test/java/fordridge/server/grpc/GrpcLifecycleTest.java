package fordridge.server.grpc;

import static fordridge.server.grpc.GrpcTestPeers.awaitUntil;
import static fordridge.server.grpc.GrpcTestPeers.onlyOffer;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.server.grpc.GrpcTestPeers.ClientPeer;
import fordridge.server.grpc.GrpcTestPeers.MachinePeer;
import fordridge.settings.InvalidSettingsException;
import fordridge.v1.ClientMessage;
import fordridge.v1.FromMachine;
import fordridge.v1.PlacerMessage.BodyCase;
import fordridge.v1.Report;
import fordridge.v1.Want;
import java.io.File;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import net.jqwik.api.Example;

/** Start, shutdown, machine lists and gossip of a real scheduler on loopback. */
class GrpcLifecycleTest {
  @Example
  void aShutdownGivesEachPendingRequestItsFinalResponse() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("placer.stop_within = 2s");
      MachinePeer machine = peers.machines.get(0);
      machine.onOffer = o -> {};
      ClientPeer client = peers.client("c").open(true).hello().request("out", "once");
      onlyOffer(machine);
      client.to.onNext(
          ClientPeer.requestMessage("held", "safe", 0)
              .mergeFrom(
                  ClientMessage.newBuilder().setWant(Want.newBuilder().setCores(999)).build())
              .build());
      awaitUntil(() -> peers.scheduler.pendingRequests() == 2);
      assertThat(peers.scheduler.shutdown()).isTrue();
      awaitUntil(() -> client.count(BodyCase.ERRORED) + client.count(BodyCase.DENIED) == 2);
      assertThat(client.count(BodyCase.DENIED))
          .as("what was never offered is rejected")
          .isEqualTo(1);
    }
  }

  @Example
  void aMalformedMachineListLeavesTheLastGoodOneInForce() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("");
      Files.writeString(
          new File(peers.folder, "list.conf").toPath(), "version = 1\nmachines = [{\n");
      ClientPeer client = peers.client("c").open(true).hello().request("v", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      assertThat(peers.scheduler.machineListVersion()).isEqualTo(1);
      peers.writeMachineList("m0 gone");
      awaitUntil(() -> peers.scheduler.machineListVersion() == 2);
    }
  }

  @Example
  void anUnavailablePortOrMachineListPreventsTheStart() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(0);
        ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      assertThatThrownBy(() -> peers.startScheduler("placer.listen.port = " + taken.getLocalPort()))
          .hasMessageContaining(String.valueOf(taken.getLocalPort()));
      assertThatThrownBy(() -> peers.startScheduler("machines.list = nowhere.conf"))
          .isInstanceOf(InvalidSettingsException.class)
          .hasMessageContaining("nowhere.conf: no such file");
    }
  }

  /** An emulated peer receives gossip of a load report, and what it sends closes a machine. */
  @Example
  void gossipIsExchangedWithConfiguredPeersOnly() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2);
        DatagramSocket other = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      other.setSoTimeout(20_000);
      peers.startScheduler(
          "placer { placers = 2, notes.to = [\"127.0.0.1:"
              + other.getLocalPort()
              + "\"] }\n"
              + "cluster { notes = true, settle = 60s }");
      InetSocketAddress to =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), peers.scheduler.gossipPort(0));
      ClientPeer client = peers.client("c").open(true).hello();
      client.request("v", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      MachinePeer took = peers.machines.get(peers.machines.get(0).offers.isEmpty() ? 1 : 0);
      took.send(
          FromMachine.newBuilder()
              .setReport(Report.newBuilder().setSpareCores(8).setSpareMemory(32).setBusy(0.5))
              .build());
      DatagramPacket heard = new DatagramPacket(new byte[300], 300);
      other.receive(heard);
      String note = new String(heard.getData(), 0, heard.getLength(), StandardCharsets.UTF_8);
      assertThat(note.length()).isEqualTo(5);
      byte[] noAnswer = note.substring(0, 3).getBytes(StandardCharsets.UTF_8);
      stranger.send(new DatagramPacket(noAnswer, 3, to));
      other.send(new DatagramPacket(noAnswer, 3, to));
      awaitUntil(() -> peers.scheduler.metrics().gossipReceivedCount() == 1);
      int before = took.offers.size();
      client.request("w", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 2);
      assertThat(took.offers.size()).isEqualTo(before);
    }
  }

  /**
   * Where the list is fetched, the answer is the list that its source has: VMs are placed from the
   * start.
   */
  @Example
  void aFetchedMachineListIsAnswered() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("cluster.list_comes = ask");
      ClientPeer client = peers.client("c").open(true).hello();
      client.request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
    }
  }
}
