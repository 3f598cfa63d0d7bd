package fordridge.cli;

import fordridge.etcd.EtcdAdmin;
import fordridge.settings.HostAndPort;
import java.time.Duration;
import java.util.List;
import picocli.CommandLine.Option;

/** Options of the commands that read or change records in etcd. */
final class EtcdOptions {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

  @Option(
      names = "--etcd",
      required = true,
      split = ",",
      paramLabel = "HOST:PORT,...",
      description = "Endpoints, tried in order.")
  private List<String> endpoints;

  @Option(
      names = "--prefix",
      description = "Prefix of the cluster's records (default: ${DEFAULT-VALUE}).")
  private String prefix = "/fordridge";

  @Option(names = "--json", description = "Print JSON lines instead of a table.")
  private boolean isJson;

  boolean isJson() {
    return isJson;
  }

  EtcdAdmin connect() {
    for (String endpoint : endpoints) {
      if (!HostAndPort.hasValidForm(endpoint)) {
        throw new IllegalArgumentException("--etcd: '" + endpoint + "' is not host:port");
      }
    }
    return new EtcdAdmin(endpoints, prefix, CALL_TIMEOUT);
  }
}
