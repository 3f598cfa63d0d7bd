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
  void drainsAndTermsChangeOnlyAsTheyWereRead() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd();
        EtcdAdmin ctl =
            new EtcdAdmin(
                List.of("127.0.0.1:1", "127.0.0.1:" + etcd.port()), "/c", Duration.ofSeconds(3))) {
      etcd.put("/c/machines/a", "{\"v\":2,\"address\":\"h:1\",\"kind\":\"k\",\"zone\":\"z\"}");
      etcd.put("/c/machines/b", "{");
      ctl.drain("a", "kernel", Instant.EPOCH);
      assertThat(ctl.machines())
          .anyMatch(
              r ->
                  r.name().equals("a")
                      && r.state().equals("draining")
                      && r.note().contains("kernel since 1970"))
          .anyMatch(r -> r.state().equals("unreadable"));
      assertThatThrownBy(() -> ctl.drain("a", "again", Instant.EPOCH))
          .isInstanceOf(EtcdAdmin.ConcurrentUpdateException.class)
          .hasMessageContaining("drains already");
      assertThatThrownBy(() -> ctl.drain("c", "none", Instant.EPOCH))
          .hasMessageContaining("no machine 'c'");
      ctl.undrain("a");
      assertThatThrownBy(() -> ctl.undrain("a")).hasMessageContaining("does not drain");
      long at = ctl.putSharedSetting("t", "1", 0);
      assertThatThrownBy(() -> ctl.putSharedSetting("t", "2", 0))
          .hasMessageContaining("revision " + at);
      ctl.putSharedSetting("t", "2", at);
      assertThat(ctl.sharedSettings())
          .extracting(EtcdAdmin.SharedSetting::text)
          .containsExactly("2");
    }
    try (EtcdAdmin ctl = new EtcdAdmin(List.of("127.0.0.1:1"), "/c", Duration.ofSeconds(3))) {
      assertThatThrownBy(ctl::machines)
          .isInstanceOf(IOException.class)
          .hasMessageContaining("127.0.0.1:1");
    }
  }
}
