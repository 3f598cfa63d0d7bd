package fordridge.server.grpc;

import fordridge.constraint.ConstraintIndex;
import fordridge.constraint.GroupFeasibility;
import fordridge.constraint.GroupMember;
import fordridge.constraint.GroupPlan;
import fordridge.constraint.MachineCapacity;
import fordridge.constraint.MachineTopology;
import fordridge.constraint.PlacementConstraint;
import fordridge.constraint.UnsatisfiableConstraintsException;
import fordridge.constraint.VmAttributes;
import fordridge.discovery.MachineListSource;
import fordridge.group.VmGroup;
import fordridge.grpc.ClientService;
import fordridge.grpc.GossipSocket;
import fordridge.grpc.GrpcMachineTransport;
import fordridge.grpc.MachineMessageDispatcher;
import fordridge.grpc.OperatorService;
import fordridge.machine.AttemptId;
import fordridge.machine.LoadReport;
import fordridge.machine.MachineStream;
import fordridge.machine.MachineStreamSettings;
import fordridge.machine.ReconnectPacer;
import fordridge.machine.ReportedVm;
import fordridge.machine.VmReportKind;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SeededRandom;
import fordridge.model.Vm;
import fordridge.observability.Metrics;
import fordridge.runtime.EventLoopLag;
import fordridge.runtime.EventSequencer;
import fordridge.runtime.SchedulerInputs;
import fordridge.scheduling.Scheduler;
import fordridge.scheduling.SchedulerActions;
import fordridge.session.ClientResponse;
import fordridge.session.ClientSession;
import fordridge.session.ClientSessions;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.PriorityClassSettings;
import fordridge.settings.SchedulerSettingsMapper;
import fordridge.v1.FromMachine;
import fordridge.v1.Holding;
import fordridge.v1.Offer;
import fordridge.v1.Want;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * One placer: its module, its sessions and its links on one event loop. Inputs are entered one
 * after another in the order in which the loop met them, each at the time of a clock that only goes
 * forward; what the module does while one is entered is carried out at once, and what follows from
 * that is entered behind it. It decides nothing.
 */
final class GrpcSchedulerServer
    implements SchedulerActions,
        ClientService.RequestHandler,
        MachineStream.Listener,
        OperatorService.ClusterView {
  private static final Logger LOG = LoggerFactory.getLogger("fordridge.placer");

  private static final Duration FEELS = Duration.ofMillis(25);

  /** A machine as this instance reaches it. */
  private final class MachineHandle
      implements GrpcMachineTransport.Listener, MachineMessageDispatcher.Listener {
    final String name;
    final Machine machine;
    final GrpcMachineTransport stream;
    final MachineStream link;
    Duration tickAt;

    MachineHandle(String name, Machine machine) {
      this.name = name;
      this.machine = machine;
      stream =
          new GrpcMachineTransport(
              GrpcSchedulerServer.this.name,
              loop,
              d.connections().connectTimeout(),
              d.connections().keepaliveInterval(),
              d.connections().maxMessageBytes(),
              this,
              GrpcSchedulerServer.this::describe);
      link =
          new MachineStream(
              machine,
              streamSettings,
              stream,
              GrpcSchedulerServer.this,
              new SeededRandom(seed ^ machine.id));
    }

    @Override
    public void inventoryReceived(Holding h) {
      enter(
          () -> {
            MachineMessageDispatcher.dispatchInventory(h, link, now);
            rollCall.reconciled(machine);
            callSome();
          });
    }

    @Override
    public void messageReceived(FromMachine m) {
      enter(() -> MachineMessageDispatcher.dispatch(m, link, stream, this, now));
    }

    @Override
    public void transportReady() {
      enter(() -> link.transportReady(now));
    }

    @Override
    public void connectionLost(String why) {
      enter(
          () -> {
            link.connectionLost(why, now);
            rollCall.connectionFailed(machine);
            callSome();
          });
    }

    @Override
    public void loadReported(LoadReport report) {
      double spareCores = report.spareCores();
      double spareMemory = report.spareMemory();
      double utilization = report.utilization();
      inputs.report(machine, spareCores, spareMemory, utilization, now);
      seen(w -> w.report(name, spareCores, spareMemory, utilization, now));
    }

    @Override
    public void loadReportCompleted() {
      inputs.scheduler.loadReported(machine);
      seen(w -> w.reported(name));
    }

    @Override
    public void vmReported(AttemptId named, VmReportKind kind, double amount) {
      PlacementAttempt c = link.findAttempt(named).orElse(null);
      if (c == null) {
        return;
      }
      switch (kind) {
        case CORE_USAGE -> both(c, (l, of) -> l.coreUsageReported(of, amount));
        case MEMORY_USAGE -> both(c, (l, of) -> l.memoryUsageReported(of, amount));
        case SERVICE_LEVEL -> both(c, (l, of) -> l.serviceLevelReported(of, amount));
        case MEMORY_PRESSURE -> both(c, (l, of) -> l.memoryPressureReported(of, amount));
        default -> {}
      }
    }

    @Override
    public void protocolViolated(String what) {
      line(Level.WARN, "machine says what it may not: " + what, null, machine);
      stream.close("said what it may not");
      link.connectionLost(what, now);
    }
  }

  /** Its settings under the cluster's terms of now. */
  private DeploymentSettings d;

  final String name;
  final EventLoop loop;

  /** Where long questions are thought about, off the loop. */
  private final Executor thinker;

  private final long seed;
  private final int position;
  private final Metrics metrics;
  private final MachineStreamSettings streamSettings;
  private final SchedulerInputs<String> inputs;
  private final ClientSessions sessions;
  private final GroupCoordinator groups = new GroupCoordinator(new GroupActions());
  private final EventLoopLag lateness = new EventLoopLag(Duration.ofSeconds(2));
  private ConstraintIndex book;
  private int rulesVersion;
  private final Map<ClientSession, ClientService.Stream> streams = new LinkedHashMap<>();
  private final Set<ClientSession> talkative = new LinkedHashSet<>();
  private final Map<Machine, MachineHandle> machineHandles = new HashMap<>();

  /** Whose each VM is. */
  private final Map<Vm, String> owners = new HashMap<>();

  private final EventSequencer sequencer =
      new EventSequencer(
          System::nanoTime,
          this::turn,
          e ->
              // This one is lost to the module, those behind it are not; its VM is answered by its
              // time-out.
              LOG.atError().addKeyValue("placer", this.name()).setCause(e).log("an input failed"));
  private final Instant startedAt = Instant.now();
  private Duration now = Duration.ZERO;

  /** Machines that were asked once what they hold of this placer. */
  private final Map<String, MachineTopology> spots = new LinkedHashMap<>();

  private final Set<String> draining = new LinkedHashSet<>();
  private final Set<Machine> called = new HashSet<>();
  private final ReconnectPacer<Machine> rollCall = new ReconnectPacer<>();
  private CompletableFuture<Void> stopped;
  private int shared;
  private boolean listOld = true;

  /** Looks on under the terms of a move to come; null for none. */
  private ShadowScheduler watch;

  private GossipSocket notes;

  GrpcSchedulerServer(
      DeploymentSettings d,
      DeploymentSettings watched,
      int position,
      String name,
      long seed,
      EventLoop loop,
      Executor thinker,
      Metrics metrics) {
    this.d = d;
    this.thinker = thinker;
    this.name = name;
    this.seed = seed;
    this.loop = loop;
    this.metrics = metrics;
    streamSettings =
        new MachineStreamSettings(
            d.connections().connectTimeout(),
            d.connections().idleTimeout(),
            d.connections().minReconnectDelay(),
            d.connections().maxReconnectDelay(),
            d.connections().unknownOutcomeTimeout(),
            d.connections().connectTimeout(),
            d.connections().maxQueuedOffers(),
            d.cluster().confirmsOnAcceptance());
    inputs = new SchedulerInputs<>(this, SchedulerInputs::number);
    try {
      book = new ConstraintIndex(List.of(), d.totalSchedulers());
    } catch (UnsatisfiableConstraintsException e) {
      throw new IllegalStateException(e);
    }
    sessions =
        new ClientSessions(
            new ClientSessions.Bounds(
                d.instance().maxOpenRequests(),
                d.sessions().maxOpenRequests(),
                d.sessions().maxUnreadResponses(),
                d.sessions().maxRetainedResponses(),
                d.sessions().retention()),
            seed);
    this.position = position;
    loop.execute(
        () ->
            enter(
                () -> {
                  inputs.scheduler.start(seed, SchedulerSettingsMapper.of(d, position));
                  if (watched != null) {
                    watch =
                        new ShadowScheduler(
                            d,
                            watched,
                            position,
                            seed,
                            SchedulerInputs::number,
                            metrics,
                            this::at,
                            m -> machineHandles.get(m).name,
                            inputs::machine,
                            this);
                  }
                }));
    loop.scheduleAtFixedRate(() -> enter(() -> sessions.expire(now)), 1, 1, TimeUnit.SECONDS);
    feelLateness();
  }

  // ---- The order of inputs
  // ---------------------------------------------------------------------------

  private void turn(Duration at) {
    now = at;
    inputs.scheduler.advanceTo(now);
    seen(w -> w.at(now));
  }

  private void enter(Runnable input) {
    long from = System.nanoTime();
    if (!sequencer.enter(input)) {
      return;
    }
    metrics.decisionTook(System.nanoTime() - from);
    while (!talkative.isEmpty()) {
      ClientSession s = talkative.iterator().next();
      talkative.remove(s);
      ClientService.Stream stream = streams.get(s);
      if (stream != null) {
        stream.pump();
      }
    }
    if (stopped != null && sessions.inHand() == 0) {
      stopped.complete(null);
    }
  }

  /**
   * What the module heard is told to the one that looks on; should it fail, it is let go of and
   * ours goes on.
   */
  private void seen(Consumer<ShadowScheduler> what) {
    if (watch != null) {
      try {
        what.accept(watch);
      } catch (RuntimeException e) {
        watch = null;
        LOG.atError()
            .addKeyValue("placer", name)
            .setCause(e)
            .log("watching ends: it failed on an input");
      }
    }
  }

  private void decide(Vm vm) {
    seen(w -> w.arrives(vm));
    inputs.scheduler.vmRequested(vm);
    seen(w -> w.arrived(vm));
  }

  private void both(PlacementAttempt c, BiConsumer<Scheduler, PlacementAttempt> what) {
    what.accept(inputs.scheduler, c);
    seen(w -> w.told(c.vm, what));
  }

  private void feelLateness() {
    long due = System.nanoTime() + FEELS.toNanos();
    loop.schedule(
        () -> {
          lateness.seen(Duration.ofNanos(Math.max(0, System.nanoTime() - due)), clock());
          feelLateness();
        },
        FEELS.toNanos(),
        TimeUnit.NANOSECONDS);
  }

  private Duration clock() {
    return sequencer.clock();
  }

  private void at(Duration in, Runnable input) {
    loop.schedule(() -> enter(input), Math.max(0, in.toNanos()), TimeUnit.NANOSECONDS);
  }

  /** Lets a link's own time pass when it is due. */
  private void watch(MachineHandle r) {
    Duration due = r.link.nextDeadline().orElse(null);
    if (due != null && (r.tickAt == null || due.compareTo(r.tickAt) < 0)) {
      r.tickAt = due;
      at(
          due.minus(now),
          () -> {
            r.tickAt = null;
            r.link.tick(now);
            if (r.link.state() == MachineStream.State.BACKING_OFF) {
              rollCall.connectionFailed(r.machine);
              callSome();
            }
            watch(r);
          });
    }
  }

  // ---- The list
  // --------------------------------------------------------------------------------------

  void list(MachineListSource.Update list) {
    loop.execute(() -> enter(() -> listed(list)));
  }

  /** How many placers share the cluster, where the list's source counts them. */
  void shared(int among) {
    loop.execute(
        () -> {
          if (among > 0 && among != shared) {
            shared = among;
            enter(
                () -> {
                  inputs.scheduler.schedulerCountChanged(among);
                  seen(w -> w.shared(among));
                });
          }
        });
  }

  private void listed(MachineListSource.Update list) {
    List<SchedulerInputs.ListedMachine<String>> lines = new ArrayList<>(list.entries().size());
    Map<Machine, Machine.Lifecycle> told = new HashMap<>();
    for (MachineListSource.Entry e : list.entries()) {
      MachineHandle r = reach(e.name());
      told.put(r.machine, e.lifecycle());
      r.stream.setAddress(e.address());
      lines.add(
          new SchedulerInputs.ListedMachine<>(
              e.name(),
              e.zone(),
              e.kind(),
              e.cell(),
              e.freeCores(),
              e.freeMemory(),
              e.lifecycle(),
              e.startedAt() == null ? null : Duration.between(startedAt, e.startedAt())));
    }
    for (MachineHandle r :
        list.isSnapshot()
            ? List.copyOf(machineHandles.values())
            : told.keySet().stream().map(machineHandles::get).toList()) {
      Machine.Lifecycle lifecycle = told.getOrDefault(r.machine, Machine.Lifecycle.GONE);
      r.link.machineListed(lifecycle == Machine.Lifecycle.GONE, now);
      if (lifecycle != Machine.Lifecycle.LIVE) {
        r.link.machineDraining();
      }
      if (lifecycle == Machine.Lifecycle.GONE) {
        rollCall.reconciled(r.machine);
      } else if (called.add(r.machine)) {
        // What an earlier life of this placer left running is asked for once, spread over a
        // settling time.
        at(
            Duration.ofMillis(
                Math.floorMod(
                    r.machine.id ^ seed, d.cluster().unknownOutcomeRetryAfter().toMillis())),
            () -> {
              rollCall.schedule(r.machine);
              callSome();
            });
      }
      watch(r);
    }
    rollCall.start(told.keySet());
    told.forEach(
        (m, lifecycle) -> {
          if (lifecycle == Machine.Lifecycle.GONE) {
            rollCall.reconciled(m);
          }
        });
    if (standElsewhere(list)) {
      book.machineListReceived(spots.values());
      book.drainingMachinesChanged(draining);
      groups.letGoOfPlans();
    }
    inputs.list(list.isSnapshot(), list.isStale(), lines);
    seen(w -> w.list(list.isSnapshot(), list.isStale(), lines));
    listOld = list.isStale();
    if (listOld && !d.cluster().isListPushed()) {
      inputs.scheduler.machineListFailed();
    }
  }

  /**
   * Whether machines came, went, were relabelled or drain: the rules' book is told only then, as it
   * counts all anew.
   */
  private boolean standElsewhere(MachineListSource.Update list) {
    boolean news = false;
    Set<String> named = new HashSet<>();
    for (MachineListSource.Entry e : list.entries()) {
      named.add(e.name());
      MachineTopology spot =
          e.lifecycle() == Machine.Lifecycle.GONE
              ? null
              : new MachineTopology(e.name(), e.kind(), e.zone(), e.cell());
      MachineTopology was = spot == null ? spots.remove(e.name()) : spots.put(e.name(), spot);
      news |= !java.util.Objects.equals(was, spot);
      news |=
          e.lifecycle() == Machine.Lifecycle.DRAINING
              ? draining.add(e.name())
              : draining.remove(e.name());
    }
    return list.isSnapshot() && spots.keySet().removeIf(n -> !named.contains(n)) || news;
  }

  private void callSome() {
    for (Machine m = rollCall.next().orElse(null); m != null; m = rollCall.next().orElse(null)) {
      MachineHandle r = machineHandles.get(m);
      r.link.reconcile(now);
      watch(r);
    }
  }

  private MachineHandle reach(String machine) {
    Machine m = inputs.machine(machine);
    return machineHandles.computeIfAbsent(m, x -> new MachineHandle(machine, x));
  }

  // ---- Customers' rules
  // ------------------------------------------------------------------------------

  /**
   * A new set takes effect at once for all that is placed from here on; what runs and no longer
   * fits is named.
   */
  void rules(List<PlacementConstraint> rules, int version) {
    loop.execute(
        () ->
            enter(
                () -> {
                  try {
                    book = book.withConstraints(rules, d.totalSchedulers());
                    rulesVersion = version;
                    groups.letGoOfPlans();
                    book.findViolatingPlacements()
                        .forEach(
                            (attempt, why) ->
                                line(
                                    Level.WARN,
                                    "runs where rules of version "
                                        + version
                                        + " would not let it go: "
                                        + why.get(0)
                                            .constraint()
                                            .map(PlacementConstraint::name)
                                            .orElse(why.get(0).description()),
                                    ((PlacementAttempt) attempt).vm,
                                    ((PlacementAttempt) attempt).machine));
                    line(
                        Level.INFO,
                        "rules of version " + version + " in force: " + rules.size(),
                        null,
                        null);
                    inputs.scheduler.loadReported(null);
                    seen(w -> w.reported(null));
                  } catch (UnsatisfiableConstraintsException e) {
                    line(Level.ERROR, "rules stay as they were: " + e.getMessage(), null, null);
                  }
                }));
  }

  /** Other terms of the cluster hold for all that comes from here on. */
  void terms(DeploymentSettings next) {
    loop.execute(
        () ->
            enter(
                () -> {
                  d = next;
                  inputs.scheduler.settingsChanged(SchedulerSettingsMapper.of(next, position));
                }));
  }

  @Override
  public ConstraintIndex book() {
    return book;
  }

  @Override
  public int rulesVersion() {
    return rulesVersion;
  }

  @Override
  public List<String> machines() {
    return List.copyOf(spots.keySet());
  }

  @Override
  public List<String> named(Object attempt) {
    PlacementAttempt c = (PlacementAttempt) attempt;
    return List.of(c.vm.id, machineHandles.get(c.machine).name);
  }

  @Override
  public OperatorService.Running running(String id) {
    Vm vm = inputs.vm(id);
    PlacementAttempt c =
        vm == null || vm.attempts.isEmpty() ? null : vm.attempts.get(vm.attempts.size() - 1);
    return c == null || !c.isInFlight()
        ? null
        : new OperatorService.Running(
            c, vm.tenant, vm.priorityClass, vm.service, machineHandles.get(c.machine).name);
  }

  @Override
  public double constraintPenalty(Vm vm, Machine m) {
    if (book.constraints().isEmpty()) {
      return 0;
    }
    String machine = machineHandles.get(m).name;
    if (!(groups.settlesNear(vm)
        ? book.isAllowedIgnoringAffinity(
            new VmAttributes(vm.tenant, vm.priorityClass, vm.service), machine)
        : book.isAllowed(new VmAttributes(vm.tenant, vm.priorityClass, vm.service), machine))) {
      return Double.POSITIVE_INFINITY;
    }
    return groups.constraintPenalty(vm, spots.get(machine))
        + book.preferencePenalty(
            new VmAttributes(vm.tenant, vm.priorityClass, vm.service), machine);
  }

  @Override
  public boolean isConstrained(Vm vm) {
    return book.hasConstraintsFor(new VmAttributes(vm.tenant, vm.priorityClass, vm.service));
  }

  private void placeTaken(PlacementAttempt c) {
    book.attemptSent(
        c,
        new VmAttributes(c.vm.tenant, c.vm.priorityClass, c.vm.service),
        machineHandles.get(c.machine).name);
  }

  @Override
  public void attemptReleased(PlacementAttempt c) {
    sequencer.behind(
        () -> {
          if (!c.isInFlight()) {
            book.attemptEnded(c);
            inputs.scheduler.loadReported(c.machine);
            seen(w -> w.reported(machineHandles.get(c.machine).name));
          }
        });
  }

  // ---- Clients
  // ---------------------------------------------------------------------------------------

  @Override
  public String name() {
    return name;
  }

  @Override
  public ClientSession hello(String client, String token, long seen, ClientService.Stream stream) {
    now = clock();
    ClientSession s = sessions.hello(client, token, seen, now);
    ClientService.Stream old = streams.put(s, stream);
    if (old != null && old != stream) {
      old.replaced();
    }
    streams.keySet().removeIf(o -> o != s && o.client.equals(client));
    return s;
  }

  @Override
  public boolean resumed(ClientSession session, String token) {
    return sessions.resumed(session, token);
  }

  @Override
  public boolean acknowledge(ClientSession session, long seen) {
    return sessions.acknowledge(session, seen);
  }

  @Override
  public boolean mayRead(ClientSession session) {
    return sessions.mayRead(session);
  }

  @Override
  public void away(ClientSession session, ClientService.Stream stream) {
    if (streams.remove(session, stream)) {
      now = clock();
      sessions.away(session, now);
    }
  }

  @Override
  public void want(ClientSession s, Want w) {
    enter(() -> wanted(s, w));
  }

  private void wanted(ClientSession s, Want w) {
    PriorityClassSettings f = d.priorityClasses().get(w.getFlavour());
    ClientSessions.Admission taken = sessions.want(s, w.getVm(), now);
    talkative.add(s);
    if (taken == ClientSessions.Admission.KNOWN) {
      return;
    }
    String no =
        taken == ClientSessions.Admission.OVER
            ? "too many VMs in hand"
            : stopped != null
                ? "the placer is stopping"
                : f == null
                    ? "flavour '"
                        + w.getFlavour()
                        + "' is not one of "
                        + d.priorityClasses().keySet()
                    : conflict(w);
    if (no != null) {
      sessions.refuse(
          s,
          ClientResponse.denied(
              w.getVm(), f == null ? Duration.ZERO : f.startLatencyObjective(), no),
          now);
      metrics.responseSent(ClientResponse.Kind.DENIED);
      return;
    }
    Vm vm = new Vm(s.client + "/" + w.getVm());
    vm.priorityClass = f.name();
    vm.tenant = w.getCustomer();
    vm.service = w.getService();
    vm.cores = w.getCores();
    vm.memory = w.getMemory();
    vm.isClientRetry = w.getAgain();
    vm.arrivedAt = now;
    Duration left =
        w.getTimeLeftUs() == 0 ? f.startDeadline() : Duration.ofNanos(w.getTimeLeftUs() * 1000);
    left = left.compareTo(f.startDeadline()) > 0 ? f.startDeadline() : left;
    vm.deadline =
        now.plus(left).minus(d.instance().responseMargin()).minus(lateness.allowance(now));
    vm.expectedLifetime = w.getLastsUs() > 0 ? Duration.ofNanos(w.getLastsUs() * 1000) : null;
    owners.put(vm, s.client);
    // Should the module fail on an input, nobody is left without an answer: this one promises
    // nothing.
    at(
        vm.deadline.minus(now).plus(d.instance().responseMargin().dividedBy(2)),
        () -> {
          if (sessions.waits(s.client, w.getVm())) {
            say(
                vm,
                ClientResponse.Kind.ERRORED,
                ClientResponse.errored(w.getVm(), "no decision in time"));
            line(Level.ERROR, "no decision in time", vm, null);
          }
        });
    if (w.getGroup().isEmpty()) {
      arrives(vm, s, w.getVm(), !f.isIdempotent() && s.strayed());
      return;
    }
    if (!f.isIdempotent() && s.strayed() && !rollCall.isComplete()) {
      say(
          vm,
          ClientResponse.Kind.ERRORED,
          ClientResponse.errored(w.getVm(), "it may run since before this placer's start"));
      owners.remove(vm);
      return;
    }
    at(VmGroup.gaveUpAfter(vm.deadline.minus(now)), () -> groups.due(vm));
    String apart = groups.join(vm, s.client, w.getGroup(), w.getGroupSize(), f.isIdempotent());
    if (apart != null) {
      say(vm, ClientResponse.Kind.DENIED, ClientResponse.denied(w.getVm(), Duration.ZERO, apart));
      owners.remove(vm);
    }
  }

  /** What a group does to its members, carried out. */
  private final class GroupActions implements GroupCoordinator.Actions {
    @Override
    public void plan(List<Vm> members, Consumer<GroupPlan> then) {
      if (members.stream().noneMatch(GrpcSchedulerServer.this::isConstrained)) {
        then.accept(GroupPlan.unconstrained(members.stream().map(v -> v.id).toList()));
        return;
      }
      List<GroupMember> parts =
          members.stream()
              .map(
                  v ->
                      new GroupMember(
                          v.id,
                          new VmAttributes(v.tenant, v.priorityClass, v.service),
                          v.cores,
                          v.memory))
              .toList();
      GroupFeasibility spare =
          book.groupFeasibility(
              parts,
              name -> {
                Machine m = inputs.machine(name);
                return new MachineCapacity(
                    m.freeCores - m.reservedSinceList.cores,
                    m.freeMemory - m.reservedSinceList.memory);
              });
      GroupFeasibility empty =
          book.groupFeasibility(
              parts,
              name -> {
                Machine m = inputs.machine(name);
                return new MachineCapacity(m.cores, m.memory);
              });
      long until = System.nanoTime() + GroupPlan.TIME_LIMIT.toNanos();
      GroupPlan free = GroupPlan.unconstrained(members.stream().map(v -> v.id).toList());
      try {
        thinker.execute(
            () ->
                think(
                    () ->
                        GroupPlan.compute(spare, empty, parts, () -> System.nanoTime() - until > 0),
                    free,
                    then));
      } catch (RejectedExecutionException e) {
        // Too many wait to be thought about: these go as VMs that no plan binds.
        then.accept(free);
      }
    }

    private void think(Supplier<GroupPlan> about, GroupPlan otherwise, Consumer<GroupPlan> then) {
      GroupPlan plan;
      try {
        plan = about.get();
      } catch (RuntimeException e) {
        LOG.atError()
            .addKeyValue("placer", name)
            .setCause(e)
            .log("a group could not be thought about");
        plan = otherwise;
      }
      GroupPlan settled = plan;
      try {
        loop.execute(() -> enter(() -> then.accept(settled)));
      } catch (RejectedExecutionException e) {
        LOG.debug("the placer ended while a group was thought about");
      }
    }

    @Override
    public void arrive(Vm vm) {
      inputs.add(vm);
      decide(vm);
    }

    @Override
    public void say(Vm vm, ClientResponse answer) {
      metrics.responseSent(answer.kind());
      GrpcSchedulerServer.this.say(vm, answer.kind(), answer);
    }

    @Override
    public void stop(Vm vm) {
      if (vm.acceptedAttempt != null && vm.acceptedAttempt.isInFlight()) {
        machineHandles.get(vm.acceptedAttempt.machine).link.terminate(vm.acceptedAttempt, now);
      }
    }

    @Override
    public boolean callOff(Vm vm) {
      inputs.scheduler.clientLeft(vm);
      seen(w -> w.left(vm));
      for (PlacementAttempt c : List.copyOf(vm.attempts)) {
        if (c.isInFlight()) {
          giveUp(c, Outcome.CANCELLED);
        }
      }
      return vm.attempts.stream().anyMatch(c -> !c.hasNeverRun());
    }

    @Override
    public void forget(Vm vm) {
      sequencer.behind(
          () -> {
            groups.drop(vm);
            GrpcSchedulerServer.this.forget(vm);
            if (inputs.vm(vm.id) == null) {
              owners.remove(vm);
            }
          });
    }

    @Override
    public String owned(Vm vm) {
      return GrpcSchedulerServer.owned(vm, owners.get(vm));
    }
  }

  /**
   * Hands a VM to the module; one that an earlier life of this placer may have started, and that
   * must not run twice, only once every machine has said what it holds.
   */
  private void arrives(Vm vm, ClientSession s, String id, boolean mayRunUnseen) {
    if (!mayRunUnseen || rollCall.isComplete()) {
      if (sessions.waits(s.client, id)) {
        inputs.add(vm);
        decide(vm);
      }
    } else if (now.compareTo(vm.deadline) < 0) {
      at(d.machineList().pollInterval(), () -> arrives(vm, s, id, true));
    } else if (sessions.waits(s.client, id)) {
      metrics.responseSent(ClientResponse.Kind.ERRORED);
      say(
          vm,
          ClientResponse.Kind.ERRORED,
          ClientResponse.errored(
              id,
              "it may run since before this placer's start; not every "
                  + "machine has said what it holds"));
      owners.remove(vm);
    }
  }

  @Override
  public void unwant(ClientSession s, String id) {
    enter(
        () -> {
          Vm vm = inputs.vm(s.client + "/" + id);
          sessions.unwant(s, id, now);
          Vm member = groups.member(s.client + "/" + id);
          if (member != null) {
            group(member, g -> g.left(member.id));
            if (vm == null) {
              groups.drop(member);
              owners.remove(member);
            }
          }
          if (vm == null || vm.isFinished) {
            return;
          }
          for (PlacementAttempt c : vm.attempts) {
            if (c.isInFlight()) {
              MachineHandle r = machineHandles.get(c.machine);
              if (c == vm.acceptedAttempt) {
                r.link.terminate(c, now);
              } else {
                giveUp(c, Outcome.CANCELLED);
              }
            }
          }
          if (vm.acceptedAttempt == null) {
            inputs.scheduler.clientLeft(vm);
            seen(w -> w.left(vm));
            forget(vm);
          }
        });
  }

  /**
   * What no machine can meet is refused at once, with the rules that cannot be met together; null
   * else.
   */
  private String conflict(Want w) {
    List<PlacementConstraint> rules =
        book.findUnsatisfiableConstraints(
            new VmAttributes(w.getCustomer(), w.getFlavour(), w.getService()));
    return rules.isEmpty()
        ? null
        : "no machine meets "
            + rules.stream()
                .map(r -> "rule '" + r.name() + "' (" + r.clause() + ")")
                .collect(java.util.stream.Collectors.joining(" and "));
  }

  /** The VM's name as its owner knows it. */
  private static String owned(Vm vm, String client) {
    return vm.id.substring(client.length() + 1);
  }

  private void say(Vm vm, ClientResponse.Kind kind, ClientResponse answer) {
    String client = owners.get(vm);
    if (client == null) {
      return;
    }
    if (!sessions.say(client, answer, now)) {
      line(Level.DEBUG, "not said, as the VM has its answer: " + kind, vm, null);
    }
    talkOf(client);
  }

  private void talkOf(String client) {
    streams.keySet().stream().filter(s -> s.client.equals(client)).forEach(talkative::add);
  }

  private void forget(Vm vm) {
    String client = owners.get(vm);
    if (groups.of(vm) != null && client != null && sessions.waits(client, owned(vm, client))) {
      return; // Its group answers it, and comes back here.
    }
    if (inputs.forget(vm)) {
      owners.remove(vm);
      groups.drop(vm);
    }
  }

  // ---- What the module does
  // --------------------------------------------------------------------------

  @Override
  public void sendAttempt(PlacementAttempt c, Duration within) {
    metrics.offerSent();
    placeTaken(c);
    sequencer.behind(
        () -> {
          if (!c.isInFlight()) {
            return;
          }
          MachineHandle r = machineHandles.get(c.machine);
          boolean mayRepeat = d.priorityClasses().get(c.vm.priorityClass).isIdempotent();
          r.link.offer(c, new AttemptId(c.vm.id, c.number), mayRepeat, within, now);
          watch(r);
        });
    at(
        within,
        () -> {
          if (c.isInFlight() && c.acceptedAt == null) {
            giveUp(c, Outcome.TIMEOUT);
          }
        });
  }

  /** Waits no longer for a claim: known not to have run if its offer was never written. */
  private void giveUp(PlacementAttempt c, Outcome end) {
    MachineHandle r = machineHandles.get(c.machine);
    boolean neverWritten = r.link.cancel(c, now);
    attemptEnded(c, neverWritten ? Outcome.UNREACHABLE : end, OutcomeReason.UNSPECIFIED);
    watch(r);
  }

  private void describe(PlacementAttempt c, Offer.Builder o) {
    o.setPriority(d.priorityClasses().get(c.vm.priorityClass).priority());
    String client = owners.get(c.vm);
    o.setClient(client == null ? "" : client);
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    sequencer.behind(() -> seen(w -> w.answered(vm, "denied", retryAfter)));
    if (groups.of(vm) != null) {
      sequencer.behind(() -> group(vm, g -> g.denied(vm.id, "no room found in time")));
      return;
    }
    String client = owners.get(vm);
    say(
        vm,
        ClientResponse.Kind.DENIED,
        ClientResponse.denied(owned(vm, client), retryAfter, "no room found in time"));
    metrics.responseSent(ClientResponse.Kind.DENIED);
    sequencer.behind(() -> forget(vm));
  }

  @Override
  public void fail(Vm vm) {
    sequencer.behind(() -> seen(w -> w.answered(vm, "errored", Duration.ZERO)));
    if (groups.of(vm) != null) {
      sequencer.behind(
          () -> group(vm, g -> g.errored(vm.id, "it may have run; its outcome is not known")));
      return;
    }
    String client = owners.get(vm);
    say(
        vm,
        ClientResponse.Kind.ERRORED,
        ClientResponse.errored(owned(vm, client), "it may have run; its outcome is not known"));
    metrics.responseSent(ClientResponse.Kind.ERRORED);
    sequencer.behind(() -> forget(vm));
  }

  private void group(Vm vm, Consumer<VmGroup> does) {
    VmGroup g = groups.of(vm);
    if (g != null) {
      does.accept(g);
    }
  }

  @Override
  public void migrate(Vm vm) {
    say(
        vm,
        ClientResponse.Kind.MOVED,
        ClientResponse.ended(owned(vm, owners.get(vm)), ClientResponse.Kind.MOVED));
    machineHandles.get(vm.acceptedAttempt.machine).link.terminate(vm.acceptedAttempt, now);
  }

  @Override
  public void cancelAttempt(PlacementAttempt c) {
    sequencer.behind(
        () -> {
          if (c.isInFlight() && c.acceptedAt == null) {
            giveUp(c, Outcome.CANCELLED);
          }
        });
  }

  @Override
  public void probe(Machine m) {
    sequencer.behind(
        () -> {
          MachineHandle r = machineHandles.get(m);
          r.link.probe(now);
          watch(r);
        });
  }

  @Override
  public void scheduleTimer(Duration in) {
    at(in, inputs.scheduler::timerFired);
  }

  @Override
  public void log(String text) {
    line(Level.INFO, text, null, null);
  }

  @Override
  public void gossip(String note) {
    if (notes != null) {
      notes.send(note);
      metrics.gossipSent();
    }
  }

  /** Where notes go and come from, before anything is placed. */
  void notes(GossipSocket post) {
    notes = post;
  }

  void heard(String note) {
    metrics.gossipReceived();
    enter(
        () -> {
          inputs.scheduler.gossipReceived(note);
          seen(w -> w.heard(note));
        });
  }

  @Override
  public void watchMachineList(boolean on) {
    // Its source pushes the list; asked for, it says that nothing changed since, or that it cannot
    // tell.
    sequencer.behind(
        () -> {
          if (listOld) {
            inputs.scheduler.machineListFailed();
          } else {
            inputs.list(false, false, List.of());
          }
        });
  }

  @Override
  public void fetchMachineList() {
    // The list is pushed here.
  }

  // ---- What the links conclude
  // -----------------------------------------------------------------------

  @Override
  public void attemptAccepted(PlacementAttempt c, boolean running) {
    sequencer.behind(
        () -> {
          if (!c.isInFlight() || c.vm.isFinished) {
            return;
          }
          boolean first = c.acceptedAt == null;
          if (first) {
            Duration took = now.minus(c.vm.arrivedAt);
            String client = owners.get(c.vm);
            metrics.vmAccepted(took);
            inputs.scheduler.attemptAccepted(c);
            seen(w -> w.bound(c.vm));
            if (client != null) {
              ClientResponse bound =
                  ClientResponse.bound(
                      owned(c.vm, client), machineHandles.get(c.machine).name, c.number, took);
              if (groups.of(c.vm) != null) {
                groups.bound(c.vm, bound);
              } else {
                metrics.responseSent(ClientResponse.Kind.BOUND);
                say(c.vm, ClientResponse.Kind.BOUND, bound);
              }
            }
          }
          if (running && d.cluster().confirmsOnAcceptance()) {
            both(c, Scheduler::vmStarted);
          }
        });
  }

  @Override
  public void attemptEnded(PlacementAttempt c, Outcome end, OutcomeReason why) {
    sequencer.behind(
        () -> {
          if (!c.isInFlight()) {
            return;
          }
          boolean wasBound = c.acceptedAt != null;
          if (wasBound
              || end == Outcome.FULL
              || end == Outcome.UNREACHABLE
              || end == Outcome.NOT_SENT) {
            book.attemptEnded(c);
          } else {
            book.attemptOutcomeUnknown(c);
          }
          metrics.attemptFinished(end);
          if (LOG.isDebugEnabled()) {
            LOG.atDebug()
                .addKeyValue("placer", name)
                .addKeyValue("vm", c.vm.id)
                .addKeyValue("claim", c.number)
                .addKeyValue("machine", machineHandles.get(c.machine).name)
                .log("ended: " + end + " " + why);
          }
          inputs.scheduler.attemptEnded(c, end, why, wasBound || c.vm.isFinished);
          seen(w -> w.ended(c, end, why, wasBound));
          String client = owners.get(c.vm);
          VmGroup g = groups.of(c.vm);
          boolean kept = wasBound && g != null && g.ended(c.vm.id);
          if (wasBound && client != null && !kept) {
            say(c.vm, kind(end, why), ClientResponse.ended(owned(c.vm, client), kind(end, why)));
          }
          forget(c.vm);
        });
  }

  private static ClientResponse.Kind kind(Outcome end, OutcomeReason why) {
    return switch (why) {
      case EVICTED -> ClientResponse.Kind.EVICTED;
      case PREEMPTED -> ClientResponse.Kind.PUSHED_OUT;
      case DRAINED -> ClientResponse.Kind.SENT_AWAY;
      default ->
          end == Outcome.DONE || end == Outcome.CANCELLED
              ? ClientResponse.Kind.DONE
              : end == Outcome.ERROR ? ClientResponse.Kind.FAILED : ClientResponse.Kind.LOST;
    };
  }

  @Override
  public void unknownVmReported(ReportedVm held, Machine machine) {
    MachineHandle r = machineHandles.get(machine);
    if (inputs.vm(held.attemptId().vmId()) != null
        || !d.priorityClasses().containsKey(held.priorityClass())) {
      // Asked for anew before its machine came back, or of a flavour no longer known: nobody would
      // own it.
      r.stream.cancel(held.attemptId());
      return;
    }
    Vm vm = new Vm(held.attemptId().vmId());
    vm.priorityClass = held.priorityClass();
    vm.tenant = held.tenant();
    vm.service = held.service();
    vm.cores = held.cores();
    vm.memory = held.memory();
    vm.arrivedAt = now;
    vm.deadline = now;
    inputs.add(vm);
    inputs.scheduler.vmAdopted(vm, machine);
    seen(w -> w.runsAlready(vm, r.name));
    r.link.adopt(held.attemptId(), vm.acceptedAttempt);
    placeTaken(vm.acceptedAttempt);
    owners.put(vm, held.client());
    String id = vm.id.startsWith(held.client() + "/") ? owned(vm, held.client()) : vm.id;
    sessions.found(
        held.client(),
        id,
        ClientResponse.bound(id, r.name, held.attemptId().number(), Duration.ZERO),
        now);
    talkOf(held.client());
  }

  @Override
  public void probeCompleted(Machine machine, boolean ok, boolean withLoadReport, Duration took) {
    sequencer.behind(
        () -> {
          inputs.scheduler.probeCompleted(machine, ok, withLoadReport, took);
          seen(w -> w.probed(machineHandles.get(machine).name, ok, took));
        });
  }

  @Override
  public void connectionLost(Machine machine, String reason) {
    line(Level.INFO, "machine connection lost: " + reason, null, machine);
  }

  private void line(Level level, String text, Vm vm, Machine machine) {
    var event = LOG.atLevel(level).addKeyValue("placer", name);
    if (vm != null) {
      event = event.addKeyValue("vm", vm.id);
    }
    if (machine != null) {
      event = event.addKeyValue("machine", machineHandles.get(machine).name);
    }
    event.log(text);
  }

  // ---- Ends
  // ------------------------------------------------------------------------------------------

  /** Takes nothing new; done when each VM in hand has its answer, and by then at the latest. */
  CompletableFuture<Void> stop(Duration within) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          stopped = done;
          enter(
              () -> {
                inputs.scheduler.shutdownStarted();
                seen(ShadowScheduler::stops);
              });
          enter(groups::stops);
          at(
              within.multipliedBy(3).dividedBy(4),
              () -> {
                for (MachineHandle r : machineHandles.values()) {
                  for (PlacementAttempt c : List.copyOf(r.machine.unansweredAttempts)) {
                    giveUp(c, Outcome.TIMEOUT);
                  }
                }
              });
        });
    return done;
  }

  int inHand() {
    return sessions.inHand();
  }

  int streamsOpen() {
    int n = 0;
    for (MachineHandle r : machineHandles.values()) {
      n += r.link.state() == MachineStream.State.ESTABLISHED ? 1 : 0;
    }
    return n;
  }

  void close() {
    if (notes != null) {
      notes.close();
    }
    for (MachineHandle r : machineHandles.values()) {
      r.stream.close("the placer ends");
    }
  }
}
