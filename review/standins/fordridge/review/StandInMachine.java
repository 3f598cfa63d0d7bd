package fordridge.review;

import fordridge.v1.Accepted;
import fordridge.v1.ClaimName;
import fordridge.v1.Finished;
import fordridge.v1.FromMachine;
import fordridge.v1.Held;
import fordridge.v1.Holding;
import fordridge.v1.MachineGrpc;
import fordridge.v1.Offer;
import fordridge.v1.Refused;
import fordridge.v1.Report;
import fordridge.v1.Started;
import fordridge.v1.ToMachine;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

/**
 * A sound machine as src/main/proto/fordridge/v1/machine.proto describes it: starts an attempt at
 * most once, never after its time or a cancel, answers a repeated offer with the state of the
 * attempt, keeps running its VMs when a stream breaks, and reports all attempts that it knows, also
 * ended ones, in its inventory. Everything runs on one thread.
 */
final class StandInMachine {
  private static final class HostedVm {
    final String scheduler;
    final Offer offer;
    final long startBy;
    Held.State state = Held.State.IN_LINE;
    boolean hasRun;

    /** How it ended; null while it has not. */
    Finished.How end;

    HostedVm(String scheduler, Offer offer, long startBy) {
      this.scheduler = scheduler;
      this.offer = offer;
      this.startBy = startBy;
    }
  }

  private final String name;
  private final Record record;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread created = new Thread(task);
            created.setDaemon(true);
            return created;
          });
  private final Map<String, HostedVm> vms = new LinkedHashMap<>();
  private final Map<String, StreamObserver<FromMachine>> streams = new LinkedHashMap<>();
  private final Server server;
  private volatile ToLongFunction<Offer> startMillis;
  private volatile Consumer<Offer> offerListener = offer -> {};
  private volatile boolean repeatsEnds;
  private volatile int starts;

  /** Listens on a free loopback port; a start takes {@code startMillis}. */
  StandInMachine(String name, long startMillis, Record record) throws IOException {
    this.name = name;
    this.startMillis = offer -> startMillis;
    this.record = record;
    server =
        NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .permitKeepAliveTime(50, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .addService(new Service())
            .build()
            .start();
  }

  String name() {
    return name;
  }

  int port() {
    return server.getPort();
  }

  /** How often this machine started a VM. */
  int starts() {
    return starts;
  }

  /** Sets how long the start of a VM takes. */
  void setStartMillis(ToLongFunction<Offer> millis) {
    startMillis = millis;
  }

  /** Called on the machine's thread for each new offer. */
  void onOffer(Consumer<Offer> listener) {
    offerListener = listener;
  }

  /** Whether a VM of this name (CLIENT/VM) runs now. */
  boolean isRunning(String vm) throws Exception {
    return thread
        .submit(
            () ->
                vms.values().stream()
                    .anyMatch(
                        v ->
                            v.offer.getClaim().getVm().equals(vm)
                                && v.state == Held.State.RUNNING))
        .get();
  }

  /** The machine sends, behind each inventory, how its ended VMs ended. */
  void repeatEnds() {
    repeatsEnds = true;
  }

  /** Evicts the VM of this name (CLIENT/VM), as a machine does that runs short of memory. */
  void evict(String vm) throws Exception {
    thread
        .submit(
            () ->
                vms.values().stream()
                    .filter(v -> v.offer.getClaim().getVm().equals(vm))
                    .filter(v -> v.state == Held.State.RUNNING)
                    .forEach(v -> end(v, Finished.How.EVICTED)))
        .get();
  }

  void close() {
    server.shutdownNow();
    thread.shutdownNow();
  }

  private final class Service extends MachineGrpc.MachineImplBase {
    @Override
    public StreamObserver<ToMachine> serve(StreamObserver<FromMachine> out) {
      return new StreamObserver<>() {
        private String scheduler;

        @Override
        public void onNext(ToMachine message) {
          thread.execute(
              () -> {
                if (message.hasGreeting()) {
                  scheduler = message.getGreeting().getPlacer();
                  greeted(scheduler, out);
                } else if (scheduler != null && streams.get(scheduler) == out) {
                  received(scheduler, message);
                }
              });
        }

        @Override
        public void onError(Throwable error) {
          thread.execute(
              () -> {
                if (scheduler != null && streams.remove(scheduler, out)) {
                  record.line(name, "stream of " + scheduler + " broke");
                }
              });
        }

        @Override
        public void onCompleted() {
          thread.execute(
              () -> {
                if (scheduler != null) {
                  streams.remove(scheduler, out);
                }
                out.onCompleted();
              });
        }
      };
    }
  }

  private void greeted(String scheduler, StreamObserver<FromMachine> out) {
    StreamObserver<FromMachine> older = streams.put(scheduler, out);
    if (older != null) {
      try {
        older.onError(Status.ABORTED.withDescription("a newer stream").asRuntimeException());
      } catch (RuntimeException e) {
        // It is closed already.
      }
    }
    Holding.Builder holding = Holding.newBuilder().setMachine(name).setIncarnation(1);
    StringBuilder text = new StringBuilder();
    for (HostedVm vm : vms.values()) {
      if (vm.scheduler.equals(scheduler)) {
        Offer offer = vm.offer;
        holding.addHeld(
            Held.newBuilder()
                .setClaim(offer.getClaim())
                .setState(vm.state)
                .setFlavour(offer.getFlavour())
                .setService(offer.getService())
                .setCustomer(offer.getCustomer())
                .setCores(offer.getCores())
                .setMemory(offer.getMemory())
                .setClient(offer.getClient()));
        text.append(' ').append(label(offer.getClaim())).append('=').append(vm.state);
      }
    }
    record.line(name, "inventory to " + scheduler + ":" + (text.length() == 0 ? " empty" : text));
    send(scheduler, FromMachine.newBuilder().setHolding(holding));
    if (repeatsEnds) {
      vms.values().stream()
          .filter(vm -> vm.scheduler.equals(scheduler) && vm.end != null)
          .forEach(vm -> finished(vm, vm.end));
    }
  }

  private void received(String scheduler, ToMachine message) {
    switch (message.getBodyCase()) {
      case OFFER -> offered(scheduler, message.getOffer());
      case CANCEL -> stop(scheduler, "cancel", message.getCancel().getClaim());
      case STOP -> stop(scheduler, "stop", message.getStop().getClaim());
      case PROBE ->
          send(
              scheduler,
              FromMachine.newBuilder().setReport(report(message.getProbe().getNumber())));
      default -> record.line(name, "unknown message");
    }
  }

  private static Report.Builder report(long probe) {
    return Report.newBuilder().setProbe(probe).setSpareCores(20).setSpareMemory(40).setBusy(0.2);
  }

  private void offered(String scheduler, Offer offer) {
    HostedVm known = vms.get(key(scheduler, offer.getClaim()));
    record.line(
        name, (known == null ? "offer " : "repeated offer ") + label(offer.getClaim()));
    if (known != null) {
      switch (known.state) {
        case RUNNING -> started(known);
        case ENDED -> finished(known, Finished.How.ERROR);
        case REFUSED -> refused(known);
        default -> {}
      }
      return;
    }
    HostedVm vm =
        new HostedVm(scheduler, offer, System.nanoTime() + offer.getWithinUs() * 1000);
    vms.put(key(scheduler, offer.getClaim()), vm);
    send(
        scheduler,
        FromMachine.newBuilder().setAccepted(Accepted.newBuilder().setClaim(offer.getClaim())));
    thread.schedule(() -> start(vm), startMillis.applyAsLong(offer), TimeUnit.MILLISECONDS);
    offerListener.accept(offer);
  }

  private void start(HostedVm vm) {
    if (vm.state != Held.State.IN_LINE) {
      return;
    }
    if (System.nanoTime() > vm.startBy) {
      vm.state = Held.State.REFUSED;
      refused(vm);
      return;
    }
    vm.state = Held.State.RUNNING;
    vm.hasRun = true;
    starts++;
    record.line(name, "START " + label(vm.offer.getClaim()) + " " + vm.offer.getFlavour());
    started(vm);
    if (vm.offer.getLastsUs() > 0) {
      thread.schedule(
          () -> {
            if (vm.state == Held.State.RUNNING) {
              end(vm, Finished.How.DONE);
            }
          },
          vm.offer.getLastsUs(),
          TimeUnit.MICROSECONDS);
    }
  }

  private void stop(String scheduler, String what, ClaimName claim) {
    HostedVm vm = vms.get(key(scheduler, claim));
    record.line(name, what + " " + label(claim) + (vm == null ? " (unknown)" : " " + vm.state));
    if (vm == null) {
      return;
    }
    switch (vm.state) {
      case RUNNING -> end(vm, Finished.How.CANCELLED);
      case IN_LINE -> {
        vm.state = Held.State.REFUSED;
        finished(vm, Finished.How.CANCELLED);
      }
      default -> finished(vm, Finished.How.CANCELLED);
    }
  }

  private void end(HostedVm vm, Finished.How how) {
    vm.state = Held.State.ENDED;
    vm.end = how;
    record.line(name, "END " + label(vm.offer.getClaim()) + " " + how);
    finished(vm, how);
  }

  private void started(HostedVm vm) {
    send(
        vm.scheduler,
        FromMachine.newBuilder()
            .setStarted(Started.newBuilder().setClaim(vm.offer.getClaim()).setReport(report(0))));
  }

  private void refused(HostedVm vm) {
    send(
        vm.scheduler,
        FromMachine.newBuilder()
            .setRefused(
                Refused.newBuilder()
                    .setClaim(vm.offer.getClaim())
                    .setReason(Refused.Reason.NOT_HERE)
                    .setReport(report(0))));
  }

  private void finished(HostedVm vm, Finished.How how) {
    send(
        vm.scheduler,
        FromMachine.newBuilder()
            .setFinished(
                Finished.newBuilder()
                    .setClaim(vm.offer.getClaim())
                    .setHow(how)
                    .setRan(vm.hasRun)));
  }

  private void send(String scheduler, FromMachine.Builder message) {
    StreamObserver<FromMachine> stream = streams.get(scheduler);
    if (stream == null) {
      return;
    }
    try {
      stream.onNext(message.build());
    } catch (RuntimeException e) {
      streams.remove(scheduler, stream);
    }
  }

  private static String key(String scheduler, ClaimName claim) {
    return scheduler + " " + claim.getVm() + " " + claim.getNumber();
  }

  private static String label(ClaimName claim) {
    return claim.getVm() + "#" + claim.getNumber();
  }
}
