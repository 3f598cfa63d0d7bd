package fordridge.etcd;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.emulator.EmulatedEtcd;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.Example;

class EtcdAdminTest {
  @Example
  void changesOfConcurrentlyUpdatedRecordsAreRejected() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd();
        EtcdAdmin admin =
            new EtcdAdmin(
                List.of("127.0.0.1:1", "127.0.0.1:" + etcd.port()), "/c", Duration.ofSeconds(3))) {
      etcd.put("/c/machines/a", "{\"v\":2,\"address\":\"h:1\",\"kind\":\"k\",\"zone\":\"z\"}");
      etcd.put("/c/machines/b", "{");
      admin.drain("a", "kernel", Instant.EPOCH);
      assertThat(admin.machines())
          .anyMatch(
              r ->
                  r.name().equals("a")
                      && r.state().equals("draining")
                      && r.note().contains("kernel since 1970"))
          .anyMatch(r -> r.state().equals("unreadable"));
      assertThatThrownBy(() -> admin.drain("a", "again", Instant.EPOCH))
          .isInstanceOf(EtcdAdmin.ConcurrentUpdateException.class)
          .hasMessageContaining("drains already");
      assertThatThrownBy(() -> admin.drain("c", "none", Instant.EPOCH))
          .hasMessageContaining("no machine 'c'");
      admin.undrain("a");
      assertThatThrownBy(() -> admin.undrain("a")).hasMessageContaining("does not drain");
      long revision = admin.putSharedSetting("t", "1", 0);
      assertThatThrownBy(() -> admin.putSharedSetting("t", "2", 0))
          .hasMessageContaining("revision " + revision);
      admin.putSharedSetting("t", "2", revision);
      assertThat(admin.sharedSettings())
          .extracting(EtcdAdmin.SharedSetting::text)
          .containsExactly("2");
    }
    try (EtcdAdmin admin = new EtcdAdmin(List.of("127.0.0.1:1"), "/c", Duration.ofSeconds(3))) {
      assertThatThrownBy(admin::machines)
          .isInstanceOf(IOException.class)
          .hasMessageContaining("127.0.0.1:1");
    }
  }
}
