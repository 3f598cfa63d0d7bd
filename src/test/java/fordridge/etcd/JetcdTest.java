package fordridge.etcd;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.emulator.EmulatedEtcd;
import io.etcd.jetcd.ByteSequence;
import io.etcd.jetcd.Client;
import io.etcd.jetcd.KV;
import io.etcd.jetcd.Lease;
import io.etcd.jetcd.Watch;
import io.etcd.jetcd.kv.GetResponse;
import io.etcd.jetcd.kv.TxnResponse;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionFactory;

/** Tests the emulated etcd with jetcd, an independent client, for compatibility with etcd. */
class JetcdTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String PREFIX = "a/";

  private static ByteSequence bytes(String text) {
    return ByteSequence.from(text, StandardCharsets.UTF_8);
  }

  private static <T> T get(CompletableFuture<T> future) throws Exception {
    return future.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private static ConditionFactory await() {
    return Awaitility.await().atMost(TIMEOUT);
  }

  private static Client connect(EmulatedEtcd etcd) {
    return Client.builder().endpoints("http://127.0.0.1:" + etcd.port()).build();
  }

  private static Watch.Watcher watch(Client client, List<String> events) {
    return client
        .getWatchClient()
        .watch(
            bytes(PREFIX),
            WatchOption.builder().isPrefix(true).withPrevKV(true).build(),
            response -> response.getEvents().forEach(event -> events.add(describe(event))));
  }

  private static String describe(WatchEvent event) {
    String before =
        event.getEventType() == WatchEvent.EventType.DELETE
            ? " was " + event.getPrevKV().getValue()
            : "";
    return event.getEventType() + " " + event.getKeyValue().getKey() + before;
  }

  private static GetResponse lastTwo(KV store) throws Exception {
    return get(
        store.get(
            bytes(PREFIX),
            GetOption.builder()
                .isPrefix(true)
                .withLimit(2)
                .withSortField(GetOption.SortTarget.KEY)
                .withSortOrder(GetOption.SortOrder.DESCEND)
                .build()));
  }

  private static TxnResponse replaceIfAt(KV store, String key, long revision, String value)
      throws Exception {
    return get(
        store
            .txn()
            .If(new Cmp(bytes(key), Cmp.Op.EQUAL, CmpTarget.modRevision(revision)))
            .Then(Op.put(bytes(key), bytes(value), PutOption.DEFAULT))
            .Else(Op.get(bytes(key), GetOption.DEFAULT))
            .commit());
  }

  @Example
  void putGetTransactionAndWatchWork() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd();
        Client client = connect(etcd)) {
      KV store = client.getKVClient();
      List<String> events = new CopyOnWriteArrayList<>();
      Watch.Watcher watcher = watch(client, events);
      await().until(() -> etcd.watchCount() == 1);
      for (int i = 0; i < 5; i++) {
        get(store.put(bytes(PREFIX + i), bytes("v" + i)));
      }

      GetResponse page = lastTwo(store);
      assertThat(page.getKvs().size()).isEqualTo(2);
      assertThat(page.isMore()).isTrue();
      assertThat(page.getCount()).isEqualTo(5);
      assertThat(page.getKvs().get(0).getValue().toString()).isEqualTo("v4");

      long revision = page.getKvs().get(0).getModRevision();
      assertThat(replaceIfAt(store, "a/4", revision, "new").isSucceeded()).isTrue();
      assertThat(replaceIfAt(store, "a/4", revision, "newer").isSucceeded()).isFalse();
      GetOption atRevision = GetOption.builder().withRevision(revision).build();
      assertThat(get(store.get(bytes("a/4"), atRevision)).getKvs().get(0).getValue().toString())
          .isEqualTo("v4");

      DeleteOption byPrefix = DeleteOption.builder().isPrefix(true).build();
      assertThat(get(store.delete(bytes(PREFIX), byPrefix)).getDeleted()).isEqualTo(5);
      await().until(() -> events.size() == 11);
      assertThat(events).contains("PUT a/0", "DELETE a/4 was new");
      watcher.close();
    }
  }

  @Example
  void keyOfAnExpiredLeaseIsDeleted() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd();
        Client client = connect(etcd)) {
      KV store = client.getKVClient();
      Lease leases = client.getLeaseClient();
      long lease = get(leases.grant(1)).getID();
      PutOption underLease = PutOption.builder().withLeaseId(lease).build();
      get(store.put(bytes("held"), bytes("x"), underLease));
      assertThat(get(leases.keepAliveOnce(lease)).getTTL()).isEqualTo(1);
      await().until(() -> get(store.get(bytes("held"))).getKvs().isEmpty());
    }
  }

  @Example
  void watchFromACompactedRevisionFails() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd();
        Client client = connect(etcd)) {
      for (int i = 0; i < 5; i++) {
        get(client.getKVClient().put(bytes(PREFIX + i), bytes("v" + i)));
      }
      etcd.compactToLatestRevision();
      List<Throwable> errors = new CopyOnWriteArrayList<>();
      Watch.Watcher watcher =
          client
              .getWatchClient()
              .watch(
                  bytes(PREFIX),
                  WatchOption.builder().isPrefix(true).withRevision(2).build(),
                  Watch.listener(response -> {}, errors::add));
      await().until(() -> !errors.isEmpty());
      assertThat(errors.get(0)).hasMessageContaining("compacted");
      watcher.close();
    }
  }
}
