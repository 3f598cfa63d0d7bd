package fordridge.settings;

import static fordridge.settings.Limits.MAX_DURATION;

import java.time.Duration;
import java.util.List;

/**
 * Access to etcd, if it is the source of the machine list (block {@code etcd}).
 *
 * @param endpoints {@code host:port} of each endpoint, tried in turn
 * @param prefix prefix of all keys of the cluster, without a trailing slash
 * @param token authentication token, sent as header {@code token} of each call; empty for none
 * @param leaseTtl time to live of the lease under which a scheduler registers
 * @param silenceTimeout a watch that receives no response for this long is considered stale
 * @param callTimeout deadline of a single call
 * @param startTimeout timeout for the first snapshot of the machine list
 * @param snapshotPageSize number of keys in each page of a snapshot
 * @param isRegistering whether the scheduler registers itself in etcd
 */
public record EtcdSettings(
    List<String> endpoints,
    String prefix,
    String token,
    Duration leaseTtl,
    Duration silenceTimeout,
    Duration callTimeout,
    Duration startTimeout,
    int snapshotPageSize,
    boolean isRegistering) {
  private static final int MAX_PREFIX_LENGTH = 200;
  private static final int MAX_TOKEN_LENGTH = 4096;
  private static final int MAX_PAGE_SIZE = 100_000;

  static EtcdSettings read(ConfigReader reader) {
    return new EtcdSettings(
        reader.strings("etcd.endpoints"),
        reader.string("etcd.prefix", MAX_PREFIX_LENGTH),
        reader.string("etcd.token", MAX_TOKEN_LENGTH),
        reader.duration("etcd.lease", Duration.ofSeconds(1), MAX_DURATION),
        reader.duration("etcd.silence", Duration.ofMillis(50), MAX_DURATION),
        reader.duration("etcd.call", Duration.ofMillis(10), MAX_DURATION),
        reader.duration("etcd.start_within", Duration.ofMillis(100), MAX_DURATION),
        reader.integer("etcd.page", 1, MAX_PAGE_SIZE),
        reader.bool("etcd.register"));
  }

  void check(ConfigReader reader, boolean isUsed) {
    if (isUsed) {
      checkEndpoints(reader);
    }
    if (prefix.isEmpty() || prefix.endsWith("/")) {
      reader.reject("etcd.prefix", "'" + prefix + "'", "a path without a trailing slash");
    }
  }

  private void checkEndpoints(ConfigReader reader) {
    for (String endpoint : endpoints) {
      if (!HostAndPort.hasValidForm(endpoint)) {
        reader.reject("etcd.endpoints", "'" + endpoint + "'", "host:port");
      }
    }
    if (endpoints.isEmpty()) {
      reader.reject("etcd.endpoints", "none", "at least one host:port if machines.source is etcd");
    }
  }
}
