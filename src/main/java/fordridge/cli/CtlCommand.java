package fordridge.cli;

import fordridge.etcd.EtcdAdmin;
import fordridge.etcd.StoreRecordCodec;
import fordridge.v1.ExplainReply;
import fordridge.v1.ExplainRequest;
import fordridge.v1.OperatingGrpc;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What operators say to the store of machines. */
@Command(
    name = "ctl",
    description = "Looks at and changes the store of machines.",
    mixinStandardHelpOptions = true,
    subcommands = {
      CtlCommand.Machines.class,
      CtlCommand.Drain.class,
      CtlCommand.Undrain.class,
      CtlCommand.Terms.class,
      CtlCommand.Explain.class
    })
final class CtlCommand implements Callable<Integer> {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return 2;
  }

  /** Where the store is, and how to print. */
  static final class Where {
    @Option(
        names = "--etcd",
        required = true,
        split = ",",
        paramLabel = "HOST:PORT,...",
        description = "Endpoints, tried in turn.")
    private List<String> endpoints;

    @Option(
        names = "--prefix",
        description = "Where the cluster's records stand (default: ${DEFAULT-VALUE}).")
    private String prefix = "/fordridge";

    @Option(names = "--json", description = "JSON lines in place of a table.")
    private boolean json;

    EtcdAdmin open() {
      for (String e : endpoints) {
        if (!e.matches("[^:]+:[0-9]{1,5}")) {
          throw new IllegalArgumentException("--etcd: '" + e + "' is not host:port");
        }
      }
      return new EtcdAdmin(endpoints, prefix, Duration.ofSeconds(3));
    }
  }

  @Command(name = "machines", description = "Lists the machines.", mixinStandardHelpOptions = true)
  static final class Machines implements Callable<Integer> {
    @CommandLine.Mixin private Where where;

    @Override
    public Integer call() throws Exception {
      try (EtcdAdmin ctl = where.open()) {
        if (!where.json) {
          System.out.printf(
              "%-24s %-10s %-10s %-8s %5s %10s %10s %-22s %9s  %s%n",
              "machine",
              "state",
              "kind",
              "zone",
              "cell",
              "free cores",
              "free mem",
              "address",
              "revision",
              "note");
        }
        for (EtcdAdmin.Row r : ctl.machines()) {
          if (where.json) {
            Map<String, Object> f = new LinkedHashMap<>();
            f.put("machine", r.name());
            f.put("state", r.state());
            f.put("kind", r.kind());
            f.put("zone", r.zone());
            f.put("cell", r.cell());
            f.put("free_cores", r.freeCores());
            f.put("free_memory", r.freeMemory());
            f.put("address", r.address());
            f.put("revision", r.revision());
            f.put("note", r.note());
            System.out.println(StoreRecordCodec.write(f));
          } else {
            System.out.printf(
                Locale.ROOT,
                "%-24s %-10s %-10s %-8s %5d %10.1f %10.1f %-22s %9d  %s%n",
                r.name(),
                r.state(),
                r.kind(),
                r.zone(),
                r.cell(),
                r.freeCores(),
                r.freeMemory(),
                r.address(),
                r.revision(),
                r.note());
          }
        }
      }
      return 0;
    }
  }

  @Command(
      name = "drain",
      description = "Tells placers to send a machine nothing new.",
      mixinStandardHelpOptions = true)
  static final class Drain implements Callable<Integer> {
    @CommandLine.Mixin private Where where;

    @Parameters(paramLabel = "MACHINE")
    private String machine;

    @Option(names = "--reason", required = true, description = "Why, for those who look.")
    private String reason;

    @Override
    public Integer call() throws Exception {
      try (EtcdAdmin ctl = where.open()) {
        System.out.println(
            machine + " drains from revision " + ctl.drain(machine, reason, Instant.now()));
      }
      return 0;
    }
  }

  @Command(
      name = "undrain",
      description = "Lets a machine be used again.",
      mixinStandardHelpOptions = true)
  static final class Undrain implements Callable<Integer> {
    @CommandLine.Mixin private Where where;

    @Parameters(paramLabel = "MACHINE")
    private String machine;

    @Override
    public Integer call() throws Exception {
      try (EtcdAdmin ctl = where.open()) {
        System.out.println(machine + " is used again from revision " + ctl.undrain(machine));
      }
      return 0;
    }
  }

  @Command(
      name = "terms",
      description = "Reads and writes terms.",
      mixinStandardHelpOptions = true,
      subcommands = {TermsGet.class, TermsPut.class})
  static final class Terms implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      spec.commandLine().usage(System.err);
      return 2;
    }
  }

  @Command(
      name = "get",
      description = "Prints all terms with their revisions.",
      mixinStandardHelpOptions = true)
  static final class TermsGet implements Callable<Integer> {
    @CommandLine.Mixin private Where where;

    @Override
    public Integer call() throws Exception {
      try (EtcdAdmin ctl = where.open()) {
        ctl.terms().forEach((name, value) -> System.out.println(name + " = " + value));
      }
      return 0;
    }
  }

  @Command(
      name = "put",
      description = "Writes a term that is still at the revision given.",
      mixinStandardHelpOptions = true)
  static final class TermsPut implements Callable<Integer> {
    @CommandLine.Mixin private Where where;

    @Parameters(index = "0", paramLabel = "NAME")
    private String name;

    @Parameters(index = "1", paramLabel = "VALUE")
    private String value;

    @Option(
        names = "--at",
        required = true,
        paramLabel = "REVISION",
        description = "The revision that get showed; 0 for a new one.")
    private long revision;

    @Override
    public Integer call() throws Exception {
      try (EtcdAdmin ctl = where.open()) {
        System.out.println(name + " is at revision " + ctl.putTerm(name, value, revision));
      }
      return 0;
    }
  }

  @Command(
      name = "explain",
      description = "Where VMs of a kind may go by a placer's rules, machine by machine.",
      mixinStandardHelpOptions = true)
  static final class Explain implements Callable<Integer> {
    @Option(names = "--placer", required = true, paramLabel = "HOST:PORT")
    private String placer;

    @Option(names = "--customer")
    private String tenant = "";

    @Option(names = "--flavour")
    private String priorityClass = "";

    @Option(names = "--service")
    private long service;

    @Option(
        names = "--vm",
        paramLabel = "CLIENT/VM",
        description = "A VM that runs, in place of the three above.")
    private String vm = "";

    @Override
    public Integer call() throws Exception {
      int colon = placer.lastIndexOf(':');
      if (!placer.matches("[^:]+:[0-9]{1,5}")) {
        throw new IllegalArgumentException("--placer: '" + placer + "' is not host:port");
      }
      ManagedChannel channel =
          NettyChannelBuilder.forAddress(
                  new InetSocketAddress(
                      placer.substring(0, colon), Integer.parseInt(placer.substring(colon + 1))))
              .usePlaintext()
              .maxInboundMessageSize(64 << 20)
              .build();
      try {
        ExplainReply r =
            OperatingGrpc.newBlockingStub(channel)
                .withDeadlineAfter(5, TimeUnit.SECONDS)
                .explain(
                    ExplainRequest.newBuilder()
                        .setCustomer(tenant)
                        .setFlavour(priorityClass)
                        .setService(service)
                        .setVm(vm)
                        .build());
        System.out.println("rules of version " + r.getVersion());
        if (!r.getRunsOn().isEmpty()) {
          System.out.println(vm + " runs on " + r.getRunsOn());
        }
        r.getSpotsList()
            .forEach(
                s -> {
                  System.out.printf(
                      Locale.ROOT,
                      "%-24s %-4s %s%n",
                      s.getMachine(),
                      s.getAllowed() ? "may" : "not",
                      s.getUnfit() > 0 ? "against preferences of weight " + s.getUnfit() : "");
                  s.getReasonsList().forEach(w -> System.out.println("    " + w));
                });
        r.getMisfitsList()
            .forEach(
                m ->
                    System.out.println(
                        m.getVm()
                            + " runs on "
                            + m.getMachine()
                            + " against "
                            + String.join("; ", m.getReasonsList())));
        r.getStrayedList()
            .forEach(
                m ->
                    System.out.println(
                        m.getVm()
                            + " runs on "
                            + m.getMachine()
                            + " for want of a better place then: "
                            + String.join("; ", m.getReasonsList())));
        return 0;
      } catch (StatusRuntimeException e) {
        throw new IOException("placer at " + placer + ": " + e.getStatus());
      } finally {
        channel.shutdownNow();
      }
    }
  }
}
