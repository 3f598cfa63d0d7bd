package fordridge.etcd;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.emulator.EmulatedEtcd;
import io.etcd.jetcd.ByteSequence;
import io.etcd.jetcd.Client;
import io.etcd.jetcd.Watch;
import io.etcd.jetcd.kv.GetResponse;
import io.etcd.jetcd.op.Cmp;
import io.etcd.jetcd.op.CmpTarget;
import io.etcd.jetcd.op.Op;
import io.etcd.jetcd.options.DeleteOption;
import io.etcd.jetcd.options.GetOption;
import io.etcd.jetcd.options.PutOption;
import io.etcd.jetcd.options.WatchOption;
import io.etcd.jetcd.watch.WatchEvent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.awaitility.Awaitility;

/** A client that nobody here wrote finds the stand-in to speak as etcd does. */
class JetcdTest {
  private static ByteSequence b(String s) {
    return ByteSequence.from(s, StandardCharsets.UTF_8);
  }

  private static <T> T get(java.util.concurrent.CompletableFuture<T> f) throws Exception {
    return f.get(10, TimeUnit.SECONDS);
  }

  @Example
  void putGetTxnLeaseAndWatch() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd();
        Client client = Client.builder().endpoints("http://127.0.0.1:" + etcd.port()).build()) {
      List<String> seen = new CopyOnWriteArrayList<>();
      Watch.Watcher watcher =
          client
              .getWatchClient()
              .watch(
                  b("a/"),
                  WatchOption.builder().isPrefix(true).withPrevKV(true).build(),
                  r ->
                      r.getEvents()
                          .forEach(
                              e ->
                                  seen.add(
                                      e.getEventType()
                                          + " "
                                          + e.getKeyValue().getKey()
                                          + (e.getEventType() == WatchEvent.EventType.DELETE
                                              ? " was " + e.getPrevKV().getValue()
                                              : ""))));
      Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> etcd.watchers() == 1);
      for (int i = 0; i < 5; i++) {
        get(client.getKVClient().put(b("a/" + i), b("v" + i)));
      }
      GetResponse page =
          get(
              client
                  .getKVClient()
                  .get(
                      b("a/"),
                      GetOption.builder()
                          .isPrefix(true)
                          .withLimit(2)
                          .withSortField(GetOption.SortTarget.KEY)
                          .withSortOrder(GetOption.SortOrder.DESCEND)
                          .build()));
      assertThat(page.getKvs().size()).isEqualTo(2);
      assertThat(page.isMore()).isTrue();
      assertThat(page.getCount()).isEqualTo(5);
      assertThat(page.getKvs().get(0).getValue().toString()).isEqualTo("v4");
      long mod = page.getKvs().get(0).getModRevision();
      assertThat(
              get(client
                      .getKVClient()
                      .txn()
                      .If(new Cmp(b("a/4"), Cmp.Op.EQUAL, CmpTarget.modRevision(mod)))
                      .Then(Op.put(b("a/4"), b("new"), PutOption.DEFAULT))
                      .commit())
                  .isSucceeded())
          .isTrue();
      assertThat(
              get(client
                      .getKVClient()
                      .txn()
                      .If(new Cmp(b("a/4"), Cmp.Op.EQUAL, CmpTarget.modRevision(mod)))
                      .Then(Op.put(b("a/4"), b("newer"), PutOption.DEFAULT))
                      .Else(Op.get(b("a/4"), GetOption.DEFAULT))
                      .commit())
                  .isSucceeded())
          .isFalse();
      assertThat(
              get(client.getKVClient().get(b("a/4"), GetOption.builder().withRevision(mod).build()))
                  .getKvs()
                  .get(0)
                  .getValue()
                  .toString())
          .isEqualTo("v4");
      assertThat(
              get(client
                      .getKVClient()
                      .delete(b("a/"), DeleteOption.builder().isPrefix(true).build()))
                  .getDeleted())
          .isEqualTo(5);
      Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> seen.size() == 11);
      assertThat(seen).contains("PUT a/0", "DELETE a/4 was new");
      watcher.close();
      long lease = get(client.getLeaseClient().grant(1)).getID();
      get(
          client
              .getKVClient()
              .put(b("held"), b("x"), PutOption.builder().withLeaseId(lease).build()));
      assertThat(get(client.getLeaseClient().keepAliveOnce(lease)).getTTL()).isEqualTo(1);
      Awaitility.await()
          .atMost(Duration.ofSeconds(10))
          .until(() -> get(client.getKVClient().get(b("held"))).getKvs().isEmpty());
      etcd.compactNow();
      List<Throwable> errors = new CopyOnWriteArrayList<>();
      client
          .getWatchClient()
          .watch(
              b("a/"),
              WatchOption.builder().isPrefix(true).withRevision(2).build(),
              Watch.listener(r -> {}, errors::add));
      Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> !errors.isEmpty());
      assertThat(errors.get(0)).hasMessageContaining("compacted");
    }
  }
}
