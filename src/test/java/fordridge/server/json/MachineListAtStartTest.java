package fordridge.server.json;

import static fordridge.server.json.JsonTestPeers.id;
import static fordridge.server.json.JsonTestPeers.listEvent;
import static fordridge.server.json.JsonTestPeers.machineEntry;
import static fordridge.server.json.JsonTestPeers.request;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.server.json.JsonTestPeers.LineConnection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Changes of the machine list between the creation of the configuration and the first request. */
class MachineListAtStartTest {
  /**
   * Delays the drain until after the warm-up, when the scheduler waits for nothing but the machine
   * list.
   */
  private static final Executor DELAYED_EXECUTOR =
      CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS);

  @Example
  void machineDrainedDuringTheStartIsNotOfferedTheFirstRequest() throws Exception {
    try (JsonTestPeers peers = new JsonTestPeers()) {
      peers.create(peers.configuration());
      peers.runAtLog("warmed up with", () -> DELAYED_EXECUTOR.execute(() -> announceDrain(peers)));

      peers.server.start();
      LineConnection client = peers.connectClient();
      client.send(request(1, "a", "700", "cores:1;memory:1;service:1", "any"));

      assertThat(client.receive(id(1))).contains("\"down\"").contains("\"c\":34");
      assertThat(peers.machine.findRequest(id(1))).isNull();
    }
  }

  private static void announceDrain(JsonTestPeers peers) {
    try {
      LineConnection watch = peers.machineList.accept();
      watch.send(listEvent(4, false, machineEntry("s-1", peers.machine.port(), "DRAINING")));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
