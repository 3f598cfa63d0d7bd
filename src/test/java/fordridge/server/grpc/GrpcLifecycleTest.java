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

/** Start, shutdown, machine lists and gossip, with a real scheduler on loopback. */
class GrpcLifecycleTest {
  @Example
  void shutdownGivesEachPendingRequestItsFinalResponse() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("placer.stop_within = 2s");
      MachinePeer machine = peers.machines.get(0);
      machine.onOffer = offer -> {};
      ClientPeer client = peers.client("c").open(true).hello().request("out", "once");
      onlyOffer(machine);
      client.toScheduler.onNext(
          ClientPeer.requestMessage("held", "safe", 0)
              .mergeFrom(
                  ClientMessage.newBuilder().setWant(Want.newBuilder().setCores(999)).build())
              .build());
      awaitUntil(() -> peers.scheduler.pendingRequests() == 2);
      assertThat(peers.scheduler.shutdown()).isTrue();
      awaitUntil(() -> client.count(BodyCase.ERRORED) + client.count(BodyCase.DENIED) == 2);
      assertThat(client.count(BodyCase.DENIED))
          .as("the request that was never offered is rejected")
          .isEqualTo(1);
    }
  }

  @Example
  void malformedMachineListLeavesLastValidOneInForce() throws Exception {
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
  void unavailablePortOrMachineListPreventsStart() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(0);
        ServerSocket occupiedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      assertThatThrownBy(
              () -> peers.startScheduler("placer.listen.port = " + occupiedSocket.getLocalPort()))
          .hasMessageContaining(String.valueOf(occupiedSocket.getLocalPort()));
      assertThatThrownBy(() -> peers.startScheduler("machines.list = nowhere.conf"))
          .isInstanceOf(InvalidSettingsException.class)
          .hasMessageContaining("nowhere.conf: no such file");
    }
  }

  /**
   * A configured peer receives gossip of a load report. Its own gossip, that the machine did not
   * respond, keeps the next VM away from that machine; the same message from another socket is
   * ignored.
   */
  @Example
  void gossipIsExchangedWithConfiguredPeersOnly() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(2);
        DatagramSocket configuredPeer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        DatagramSocket unknownPeer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      configuredPeer.setSoTimeout(20_000);
      peers.startScheduler(
          "placer { placers = 2, notes.to = [\"127.0.0.1:"
              + configuredPeer.getLocalPort()
              + "\"] }\n"
              + "cluster { notes = true, settle = 60s }");
      InetSocketAddress gossipAddress =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), peers.scheduler.gossipPort(0));
      ClientPeer client = peers.client("c").open(true).hello();
      client.request("v", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
      MachinePeer firstMachine = peers.machines.get(peers.machines.get(0).offers.isEmpty() ? 1 : 0);
      firstMachine.send(
          FromMachine.newBuilder()
              .setReport(Report.newBuilder().setSpareCores(8).setSpareMemory(32).setBusy(0.5))
              .build());
      DatagramPacket datagram = new DatagramPacket(new byte[300], 300);
      configuredPeer.receive(datagram);
      String loadMessage =
          new String(datagram.getData(), 0, datagram.getLength(), StandardCharsets.UTF_8);
      assertThat(loadMessage.length()).isEqualTo(5);
      byte[] faultMessage = loadMessage.substring(0, 3).getBytes(StandardCharsets.UTF_8);
      unknownPeer.send(new DatagramPacket(faultMessage, 3, gossipAddress));
      configuredPeer.send(new DatagramPacket(faultMessage, 3, gossipAddress));
      awaitUntil(() -> peers.scheduler.metrics().gossipReceivedCount() == 1);
      int offersBefore = firstMachine.offers.size();
      client.request("w", "safe");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 2);
      assertThat(firstMachine.offers.size()).isEqualTo(offersBefore);
    }
  }

  /**
   * With settings under which the scheduler fetches the list, each fetch is answered with the
   * source's current list, so that VMs are placed from the start.
   */
  @Example
  void fetchOfMachineListIsAnswered() throws Exception {
    try (GrpcTestPeers peers = new GrpcTestPeers(1)) {
      peers.startScheduler("cluster.list_comes = ask");
      ClientPeer client = peers.client("c").open(true).hello();
      client.request("v", "once");
      awaitUntil(() -> client.count(BodyCase.BOUND) == 1);
    }
  }
}
