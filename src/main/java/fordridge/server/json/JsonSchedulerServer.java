package fordridge.server.json;

import fordridge.json.ClientServer;
import fordridge.json.JsonFields;
import fordridge.json.MachineClient;
import fordridge.machine.ConnectionBudget;
import fordridge.machine.MachineConnectionPool;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SettingsValues;
import fordridge.model.Vm;
import fordridge.runtime.EventLoopLag;
import fordridge.runtime.EventSequencer;
import fordridge.runtime.SchedulerInputs;
import fordridge.scheduling.SchedulerActions;
import fordridge.scheduling.SchedulerSettingsReader;
import fordridge.session.PendingResponses;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One placer on lines of JSON: its module, who is owed what, and a trunk to each machine, on one
 * event loop. It turns lines into calls of the module, and what the module does into lines. It
 * decides nothing.
 */
final class JsonSchedulerServer
    implements SchedulerActions,
        ClientServer.ClientRequestHandler,
        MachineConnectionPool.AttemptListener {
  private static final Duration FEELS = Duration.ofMillis(25);

  /**
   * How old what is known of the machines may be when an input is entered, on this placer's own
   * clock.
   */
  private static final Duration READ_WATCH = Duration.ofMillis(10);

  private static final Duration TICK = Duration.ofMillis(50);

  /** What an answer may take from here to its owner. */
  private static final Duration MARGIN = Duration.ofMillis(15);

  /** Asks in hand at once, each with a description of up to a line: a bound on memory. */
  private static final int MOST = 1000;

  /** How long an ended VM's release waits for a line to be sent on. */
  private static final Duration KEEPS = Duration.ofSeconds(8);

  private static final int REFUSED = 34;
  private static final int ERRORED = 47;
  private static final int DONE = 16;
  private static final int LOST = 41;

  /** A machine as this placer reaches it. */
  private final class MachineHandle implements MachineClient.Listener {
    final String id;
    final Machine machine;
    final MachineClient line;
    final MachineConnectionPool connectionPool;

    /** When a set-up was last written to it. */
    Duration offeredAt;

    MachineHandle(String id) {
      this.id = id;
      machine = inputs.machine(id);
      line =
          new MachineClient(loop, share, connectionTimeouts.connectTimeout(), this::offered, this);
      connectionPool =
          new MachineConnectionPool(machine, connectionTimeouts, line, JsonSchedulerServer.this);
    }

    /** At the instant of the write. */
    private MachineClient.RequestPayload offered(Vm vm) {
      offeredAt = sequencer.clock();
      return carried.get(vm.id);
    }

    @Override
    public void line() {
      connectionPool.heard(sequencer.clock());
    }

    @Override
    public void connected(MachineConnectionPool.Connection s) {
      behindReads(() -> connectionPool.connected(s, now));
    }

    @Override
    public void failed(MachineConnectionPool.Connection s, boolean refused) {
      enter(() -> connectionPool.failed(s, refused, now));
    }

    @Override
    public void broke(MachineConnectionPool.Connection s, String why) {
      enter(() -> connectionPool.broke(s, now));
    }

    @Override
    public void stands(MachineConnectionPool.Connection s, String vm, String description) {
      enter(() -> connectionPool.stands(s, vm, description, now));
    }

    @Override
    public void ended(
        MachineConnectionPool.Connection s,
        String vm,
        Outcome before,
        Outcome after,
        OutcomeReason why) {
      enter(() -> connectionPool.ended(s, vm, before, after, why, now));
    }

    @Override
    public void probed(MachineConnectionPool.Connection s, boolean ok, boolean told) {
      enter(() -> connectionPool.probed(s, ok, told, now));
    }

    @Override
    public void note(MachineConnectionPool.Connection s, String vm, String what, double amount) {
      enter(
          () -> {
            connectionPool.noted(s, vm);
            PlacementAttempt c = connectionPool.attempt(vm);
            if (c == null || !Double.isFinite(amount) && !what.equals("live")) {
              return;
            }
            switch (what) {
              case "live" -> inputs.scheduler.vmStarted(c);
              case "c" -> inputs.scheduler.coreUsageReported(c, amount);
              case "m" -> inputs.scheduler.memoryUsageReported(c, amount);
              case "s" -> inputs.scheduler.serviceLevelReported(c, amount);
              case "p" -> inputs.scheduler.memoryPressureReported(c, amount);
              default -> {}
            }
          });
    }

    @Override
    public void report(Map<String, Double> values, boolean answersProbe) {
      enter(
          () -> {
            reports++;
            inputs.report(
                machine,
                values.getOrDefault("x0", Double.NaN),
                values.getOrDefault("x1", Double.NaN),
                values.getOrDefault("utilization", values.getOrDefault("util", Double.NaN)),
                now);
            if (!answersProbe) {
              inputs.scheduler.loadReported(machine);
            }
          });
    }
  }

  private final EventLoopGroup loop;
  private final Consumer<String> log;
  private final long wallStart = System.currentTimeMillis();
  private final EventSequencer sequencer;
  private final SchedulerInputs<String> inputs =
      new SchedulerInputs<>(this, SchedulerInputs::number);
  private final PendingResponses<ClientServer.ClientConnection> pendingResponses =
      new PendingResponses<>(MOST, KEEPS);
  private final EventLoopLag lateness = new EventLoopLag(Duration.ofSeconds(2));
  private final Map<String, MachineHandle> machineHandles = new HashMap<>();
  private final Map<Machine, MachineHandle> byMachine = new HashMap<>();
  private final List<MachineConnectionPool> connectionPools = new ArrayList<>();
  private final Map<String, MachineClient.RequestPayload> carried = new HashMap<>();
  private final MachineClient.ConnectionQuota share;
  private MachineConnectionPool.ConnectionTimeouts connectionTimeouts;
  private SettingsValues terms;
  private Map<String, Object> values;
  private final Set<String> priorityClasses = new HashSet<>();

  /** Of these, the ones that may simply be sent again. */
  private final Set<String> again = new HashSet<>();

  private final Set<String> tenants = new HashSet<>();
  private final Map<String, Duration> patience = new HashMap<>();
  private double mostCores;
  private double mostMemory;
  private Duration now = Duration.ZERO;
  private ClientServer front;
  private boolean inRound;
  private boolean ready;
  private long bad;

  /** What the module was told, for holding it against the traffic. */
  private long reports;

  private long probesPassed;
  private long probesFailed;

  /**
   * How long after a drain was told the latest offer to its machine may have been written, at most.
   */
  private Duration latestOffer = Duration.ZERO;

  private final Map<Outcome, Long> ends = new java.util.EnumMap<>(Outcome.class);

  JsonSchedulerServer(
      EventLoopGroup loop, ServerConfiguration p, int machineSockets, Consumer<String> log) {
    this.loop = loop;
    this.log = log;
    sequencer =
        new EventSequencer(
            System::nanoTime,
            this::turn,
            e -> {
              // This one is lost to the module, those behind it are not; its VM is answered by its
              // time-out.
              log.accept("an input failed: " + e);
              e.printStackTrace();
            });
    share = new MachineClient.ConnectionQuota(machineSockets);
    read(p.terms);
  }

  /** On the loop: starts the module with its terms and the list as known, then keeps time. */
  void begin(ServerConfiguration p, ClientServer front) {
    this.front = front;
    enter(() -> inputs.scheduler.start(p.seed, SchedulerSettingsReader.read(terms)));
    for (Object event : p.known) {
      event(JsonFields.object(JsonFields.object(event, "known").get("hosts"), "known.hosts"));
    }
    loop.next()
        .scheduleAtFixedRate(
            () -> enter(this::tick), TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
    feelLateness();
    ready = true;
  }

  /**
   * How the watch of the machine list is read at once; it is, every so often, whatever else there
   * is to read.
   */
  void watch(Runnable read) {
    sequencer.watch(read, READ_WATCH);
  }

  /** Other terms and limits hold for all that comes from here on. */
  void told(ServerConfiguration next, int machineSockets) {
    share.most(machineSockets);
    if (!next.terms.equals(values)) {
      read(next.terms);
      for (MachineHandle r : machineHandles.values()) {
        r.connectionPool.connectionTimeouts(connectionTimeouts);
        r.line.timeout(connectionTimeouts.connectTimeout());
      }
      enter(() -> inputs.scheduler.settingsChanged(SchedulerSettingsReader.read(terms)));
    }
  }

  private void read(Map<String, Object> values) {
    terms = new SettingsValues(values);
    this.values = values;
    connectionTimeouts =
        new MachineConnectionPool.ConnectionTimeouts(
            terms.micros("caps.connectTimeoutUs", Duration.ofMillis(250)),
            terms.micros("extra.settleUs", Duration.ofSeconds(3)));
    priorityClasses.clear();
    again.clear();
    tenants.clear();
    for (int i = 0; i < terms.number("lanes", 0); i++) {
      String name = terms.text("lanes." + i + ".name", "");
      priorityClasses.add(name);
      if (terms.text("lanes." + i + ".semantics", "fragile").equals("retryable")) {
        again.add(name);
      }
      patience.put(name, terms.micros("lanes." + i + ".giveUpUs", Duration.ofSeconds(5)));
    }
    for (int i = 0; i < terms.number("tenants", 0); i++) {
      tenants.add(terms.text("tenants." + i + ".name", ""));
    }
    mostCores = most("extra.cpuOfKind");
    mostMemory = most("extra.memoryByKind");
  }

  private double most(String name) {
    double most = 0;
    for (int i = 0; i < terms.list(name).size(); i++) {
      most = Math.max(most, terms.item(name, i, 0));
    }
    return most;
  }

  // ---- The order of inputs
  // ---------------------------------------------------------------------------

  /**
   * All that one round of the loop brings bears one time, as the events of one tick do for the
   * module: what is held is gone through once for them, not once for each, however much comes at
   * once.
   */
  private void turn(Duration at) {
    if (!inRound) {
      inRound = true;
      loop.next().execute(() -> inRound = false);
      now = at;
      inputs.scheduler.advanceTo(at);
    }
  }

  private void enter(Runnable input) {
    if (sequencer.enter(input) && front != null) {
      front.flush();
    }
  }

  private void at(Duration in, Runnable input) {
    loop.next().schedule(() -> enter(input), Math.max(0, in.toNanos()), TimeUnit.NANOSECONDS);
  }

  /**
   * For what begins an attempt: entered once the loop has read what its sockets had to say, in this
   * round, or in the next for what time has brought, so that an owner whose leaving or cancelling
   * has come in is known to have gone.
   */
  private void behindReads(Runnable input) {
    loop.next().schedule(() -> enter(input), 0, TimeUnit.NANOSECONDS);
  }

  private void feelLateness() {
    long due = System.nanoTime() + FEELS.toNanos();
    loop.next()
        .schedule(
            () -> {
              lateness.seen(
                  Duration.ofNanos(Math.max(0, System.nanoTime() - due)), sequencer.clock());
              feelLateness();
            },
            FEELS.toNanos(),
            TimeUnit.NANOSECONDS);
  }

  private void tick() {
    for (MachineHandle r : List.copyOf(machineHandles.values())) {
      r.connectionPool.tick(now);
    }
    ConnectionBudget.relieve(connectionPools, share.staying(), share.most(), now);
    pendingResponses.tidy(now);
  }

  // ---- The list
  // --------------------------------------------------------------------------------------

  /** One event of the journal; what is wrong with it is thrown before anything is done. */
  void event(Map<String, Object> hosts) {
    boolean whole = JsonFields.flag(hosts, "complete", "hosts");
    List<SchedulerInputs.ListedMachine<String>> lines = new ArrayList<>();
    Map<String, java.net.InetSocketAddress> addresses = new HashMap<>();
    for (Object o : JsonFields.list(hosts, "members", "hosts")) {
      Map<String, Object> l = JsonFields.object(o, "hosts.members");
      String id = JsonFields.text(l, "id", "hosts.members");
      List<?> unasked = l.get("unasked") instanceof List<?> u ? u : List.of();
      long up = JsonFields.whole(l, "up_since_ms", "hosts.members", 0);
      lines.add(
          new SchedulerInputs.ListedMachine<>(
              id,
              JsonFields.text(l, "locality", "hosts.members", ""),
              JsonFields.text(l, "flavor", "hosts.members", ""),
              (int) JsonFields.whole(l, "cell", "hosts.members", 0),
              amount(unasked, 0),
              amount(unasked, 1),
              switch (JsonFields.text(l, "phase", "hosts.members")) {
                case "SERVING" -> Machine.Lifecycle.LIVE;
                case "DRAINING" -> Machine.Lifecycle.DRAINING;
                case "DELETED" -> Machine.Lifecycle.GONE;
                default ->
                    throw new JsonFields.MalformedInputException(
                        "hosts.members: field 'phase' is not a known word");
              },
              up == 0 ? null : Duration.ofMillis(up - wallStart)));
      if (l.get("host_port") instanceof String at) {
        addresses.put(id, ServerConfiguration.address(at));
      }
    }
    enter(() -> listed(whole, lines, addresses));
  }

  private static double amount(List<?> of, int i) {
    return of.size() > i && of.get(i) instanceof Number n ? n.doubleValue() : 0;
  }

  private void listed(
      boolean whole,
      List<SchedulerInputs.ListedMachine<String>> lines,
      Map<String, java.net.InetSocketAddress> addresses) {
    Set<String> named = new HashSet<>();
    for (SchedulerInputs.ListedMachine<String> l : lines) {
      MachineHandle r = reach(l.key());
      named.add(l.key());
      if (addresses.containsKey(l.key())) {
        r.line.address(addresses.get(l.key()));
      }
      if (l.lifecycle() != Machine.Lifecycle.LIVE
          && r.machine.lifecycle == Machine.Lifecycle.LIVE) {
        noteLatestOffer(r);
      }
      boolean anew = l.startedAt() != null && !l.startedAt().equals(r.machine.startedAt);
      r.connectionPool.listed(l.lifecycle(), now);
      if (anew) {
        r.connectionPool.restarted(l.startedAt());
      }
    }
    if (whole) {
      for (MachineHandle r : List.copyOf(machineHandles.values())) {
        if (!named.contains(r.id)) {
          r.connectionPool.listed(Machine.Lifecycle.GONE, now);
        }
      }
    }
    inputs.list(whole, false, lines);
  }

  /**
   * It drains or is gone since some time after the watch was read before: what was offered since
   * may have come later.
   */
  private void noteLatestOffer(MachineHandle r) {
    if (r.offeredAt != null) {
      Duration after = r.offeredAt.minus(sequencer.watchReadAt());
      latestOffer = after.compareTo(latestOffer) > 0 ? after : latestOffer;
    }
  }

  private MachineHandle reach(String id) {
    MachineHandle r = machineHandles.get(id);
    if (r == null) {
      r = new MachineHandle(id);
      machineHandles.put(id, r);
      byMachine.put(r.machine, r);
      connectionPools.add(r.connectionPool);
    }
    return r;
  }

  // ---- Owners
  // ----------------------------------------------------------------------------------------

  @Override
  public boolean ready() {
    return ready;
  }

  @Override
  public boolean busy(ClientServer.ClientConnection owner) {
    return pendingResponses.on(owner) > 0;
  }

  @Override
  public void asks(
      ClientServer.ClientConnection owner,
      String id,
      Map<String, Object> fields,
      String description) {
    enter(
        () -> {
          Vm vm = new Vm(id);
          String wrong = vm(vm, fields, description);
          if (wrong != null) {
            refuse(owner, id, wrong);
            return;
          }
          // Its own field, not any that ends so: what is taken for one that runs already gets no
          // answer.
          String at = field(String.valueOf(fields.get("extras")), "at");
          if (at != null) {
            runsAlready(owner, vm, at);
            return;
          }
          switch (pendingResponses.ask(id, owner)) {
            case TWICE -> refuse(owner, id, "an id that is in hand already");
            case OVER -> owner.write("down", id, REFUSED, null);
            default -> takes(owner, vm, fields, description);
          }
        });
  }

  private void takes(
      ClientServer.ClientConnection owner, Vm vm, Map<String, Object> fields, String description) {
    unpark();
    carried.put(
        vm.id,
        new MachineClient.RequestPayload(
            String.valueOf(fields.get("key")),
            fields.get("idem") == null ? null : String.valueOf(fields.get("idem")),
            description));
    inputs.add(vm);
    at(
        vm.deadline.minus(now).plus(MARGIN.dividedBy(2)),
        () -> {
          // Should the module fail on an input, nobody is left without an answer: this one promises
          // nothing.
          if (pendingResponses.waits(vm.id)) {
            log.accept("no decision in time: " + vm.id);
            answer(vm, "down", ERRORED, null, false);
            // After its answer nothing more is sent for it, whatever the module would do.
            givenUp(vm);
          }
        });
    inputs.scheduler.vmRequested(vm);
  }

  private void unpark() {
    for (PendingResponses.AddressedNotice<ClientServer.ClientConnection> t :
        pendingResponses.unpark(now)) {
      t.line().write("down", t.release().vm(), t.release().cause(), null);
    }
  }

  /**
   * Says what is wrong and reads no more from whoever sends it: what is in hand for it ends with
   * that.
   */
  private void refuse(ClientServer.ClientConnection owner, String id, String wrong) {
    if (bad++ < 20) {
      log.accept("not taken: " + id + ": " + wrong);
    }
    List<String> inHand = pendingResponses.asksOn(owner);
    if (!inHand.contains(id)) {
      owner.write("down", id, ERRORED, null);
    }
    for (String other : inHand) {
      Vm vm = inputs.vm(other);
      answer(vm, "down", ERRORED, null, false);
      givenUp(vm);
    }
    owner.dismiss();
  }

  private static String field(String extras, String name) {
    for (String part : extras.split(";")) {
      if (part.startsWith(name + ":")) {
        return part.substring(name.length() + 1);
      }
    }
    return null;
  }

  /** Fills in what is asked for, or says what is wrong with it. */
  private String vm(Vm vm, Map<String, Object> fields, String description) {
    try {
      vm.priorityClass = String.valueOf(fields.get("class"));
      if (!priorityClasses.contains(vm.priorityClass)) {
        return "no such flavour";
      }
      vm.tenant = fields.get("tenant") == null ? "" : String.valueOf(fields.get("tenant"));
      if (!tenants.isEmpty() && !tenants.contains(vm.tenant)) {
        return "no such customer";
      }
      if (description == null) {
        return "no description";
      }
      Object key = fields.get("key");
      if (!(key instanceof String k) || !k.matches("[0-9a-fA-F]{1,16}")) {
        return "no key";
      }
      String extras = String.valueOf(fields.get("extras"));
      vm.cores = Double.parseDouble(String.valueOf(field(extras, "cores")));
      vm.memory = Double.parseDouble(String.valueOf(field(extras, "memory")));
      if (!(vm.cores > 0 && vm.cores <= mostCores && vm.memory > 0 && vm.memory <= mostMemory)) {
        return "cores or memory out of range";
      }
      String service = field(extras, "service");
      vm.service = service == null ? 0 : Long.parseUnsignedLong(service, 16);
      vm.isClientRetry =
          "1".equals(String.valueOf(fields.get("retry"))) || "1".equals(field(extras, "again"));
      double left = Double.parseDouble(String.valueOf(fields.get("left")));
      if (!(left > 0 && left <= 3.6e6) && field(extras, "at") == null) {
        return "time left out of range";
      }
      Duration time = Duration.ofNanos((long) (left * 1e6));
      Duration most = patience.get(vm.priorityClass);
      vm.arrivedAt = now;
      vm.deadline =
          now.plus(time.compareTo(most) > 0 ? most : time)
              .minus(MARGIN)
              .minus(lateness.allowance(now));
      if (fields.get("hint") != null) {
        double hint = Double.parseDouble(String.valueOf(fields.get("hint")));
        vm.expectedLifetime = hint > 0 && hint < 1e9 ? Duration.ofNanos((long) (hint * 1e6)) : null;
      }
      return null;
    } catch (NumberFormatException e) {
      return "a figure that is no number";
    }
  }

  private void runsAlready(ClientServer.ClientConnection owner, Vm vm, String at) {
    if (at.isEmpty() || !pendingResponses.stands(vm.id, owner)) {
      return;
    }
    unpark();
    inputs.add(vm);
    MachineHandle r = reach(at);
    inputs.scheduler.vmAdopted(vm, r.machine);
    r.connectionPool.adopt(vm.acceptedAttempt, now);
    if (!r.machine.isListed || r.machine.lifecycle == Machine.Lifecycle.GONE) {
      // A machine that the list has not named, or no longer does: it gets a while to.
      at(
          connectionTimeouts.dead(),
          () -> {
            if (r.machine.lifecycle == Machine.Lifecycle.GONE && vm.acceptedAttempt.isInFlight()) {
              r.connectionPool.listed(Machine.Lifecycle.GONE, now);
              r.connectionPool.ended(
                  new MachineConnectionPool.Connection(),
                  vm.id,
                  Outcome.RESET,
                  Outcome.RESET,
                  OutcomeReason.UNSPECIFIED,
                  now);
            }
          });
    }
  }

  @Override
  public void ends(ClientServer.ClientConnection owner, String id, int cause) {
    enter(
        () -> {
          Vm vm = inputs.vm(id);
          if (vm == null || !pendingResponses.ends(id)) {
            return;
          }
          if (vm.acceptedAttempt != null) {
            owner.write("ack", id, -1, null);
            byMachine.get(vm.acceptedAttempt.machine).connectionPool.stop(vm.acceptedAttempt, now);
          } else {
            givenUp(vm);
          }
        });
  }

  private void givenUp(Vm vm) {
    inputs.scheduler.clientLeft(vm);
    for (PlacementAttempt c : List.copyOf(vm.attempts)) {
      if (c.isInFlight()) {
        byMachine.get(c.machine).connectionPool.giveUp(c, Outcome.CANCELLED, now);
      }
    }
    forget(vm);
  }

  @Override
  public void closed(ClientServer.ClientConnection owner) {
    enter(
        () -> {
          for (String id : pendingResponses.closed(owner)) {
            Vm vm = inputs.vm(id);
            if (vm != null && vm.acceptedAttempt == null) {
              givenUp(vm);
            }
          }
          unpark();
        });
  }

  @Override
  public void hears(ClientServer.ClientConnection owner, String id) {
    enter(() -> pendingResponses.heard(id, owner));
  }

  private void answer(
      Vm vm, String type, int cause, String description, boolean stands, String... fields) {
    ClientServer.ClientConnection owner = pendingResponses.answer(vm.id, stands);
    if (owner != null) {
      owner.write(type, vm.id, cause, description, fields);
    }
  }

  private void forget(Vm vm) {
    sequencer.behind(
        () -> {
          if (inputs.forget(vm) || inputs.vm(vm.id) == null) {
            carried.remove(vm.id);
          }
        });
  }

  // ---- What the module does
  // --------------------------------------------------------------------------

  @Override
  public void sendAttempt(PlacementAttempt c, Duration within) {
    behindReads(
        () -> {
          if (c.isInFlight()) {
            MachineHandle r = byMachine.get(c.machine);
            r.connectionPool.offer(
                c, within.minus(now.minus(c.sentAt)), again.contains(c.vm.priorityClass), now);
          }
        });
    at(
        within,
        () -> {
          if (c.isInFlight() && c.acceptedAt == null) {
            byMachine.get(c.machine).connectionPool.giveUp(c, Outcome.TIMEOUT, now);
          }
        });
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    answer(
        vm,
        "down",
        REFUSED,
        null,
        false,
        "wait",
        retryAfter.isZero() ? null : Long.toString(retryAfter.toMillis()));
    forget(vm);
  }

  @Override
  public void fail(Vm vm) {
    answer(vm, "down", ERRORED, null, false);
    forget(vm);
  }

  @Override
  public void migrate(Vm vm) {
    ClientServer.ClientConnection owner = pendingResponses.release(vm.id, LOST, now);
    if (owner != null) {
      owner.write("shift", vm.id, -1, null);
      pendingResponses.heard(vm.id, owner);
    }
    byMachine.get(vm.acceptedAttempt.machine).connectionPool.stop(vm.acceptedAttempt, now);
  }

  @Override
  public void cancelAttempt(PlacementAttempt c) {
    sequencer.behind(
        () -> {
          if (c.isInFlight() && c.acceptedAt == null) {
            byMachine.get(c.machine).connectionPool.giveUp(c, Outcome.CANCELLED, now);
          }
        });
  }

  @Override
  public void probe(Machine m) {
    sequencer.behind(() -> byMachine.get(m).connectionPool.probe(now));
  }

  @Override
  public void scheduleTimer(Duration in) {
    at(in, inputs.scheduler::timerFired);
  }

  @Override
  public void log(String line) {
    log.accept(line);
  }

  @Override
  public void watchMachineList(boolean on) {
    // The journal pushes every change.
    sequencer.behind(() -> inputs.list(false, false, List.of()));
  }

  @Override
  public void fetchMachineList() {
    // The list is pushed here.
  }

  // ---- What the trunks conclude
  // ----------------------------------------------------------------------

  @Override
  public void bound(PlacementAttempt c, String description) {
    sequencer.behind(
        () -> {
          if (!c.isInFlight()) {
            return;
          }
          if (c.vm.isFinished) {
            byMachine.get(c.machine).connectionPool.stop(c, now);
            return;
          }
          inputs.scheduler.attemptAccepted(c);
          carried.remove(c.vm.id);
          answer(c.vm, "up", -1, description, true);
        });
  }

  @Override
  public void ended(PlacementAttempt c, Outcome end, OutcomeReason why) {
    sequencer.behind(
        () -> {
          if (!c.isInFlight()) {
            return;
          }
          boolean wasBound = c.acceptedAt != null;
          ends.merge(end, 1L, Long::sum);
          inputs.scheduler.attemptEnded(c, end, why, wasBound || c.vm.isFinished);
          if (wasBound && end == Outcome.CANCELLED) {
            pendingResponses.ends(c.vm.id);
          } else if (wasBound) {
            int cause = end == Outcome.DONE ? DONE : LOST;
            ClientServer.ClientConnection owner = pendingResponses.release(c.vm.id, cause, now);
            if (owner != null) {
              owner.write("down", c.vm.id, cause, null);
            }
          }
          forget(c.vm);
        });
  }

  @Override
  public void endedUnanswered(PlacementAttempt c, Outcome end, OutcomeReason why) {
    sequencer.behind(
        () -> {
          if (!c.isInFlight()) {
            return;
          }
          ends.merge(end, 1L, Long::sum);
          inputs.scheduler.attemptEnded(c, end, why, true);
          if (pendingResponses.waits(c.vm.id)) {
            answer(c.vm, "down", ERRORED, null, false);
            // After its answer nothing more is sent for it.
            givenUp(c.vm);
          } else {
            forget(c.vm);
          }
        });
  }

  @Override
  public void probed(Machine m, boolean ok, boolean told, Duration took) {
    sequencer.behind(
        () -> {
          if (ok) {
            probesPassed++;
          } else {
            probesFailed++;
          }
          inputs.scheduler.probeCompleted(m, ok, told, took);
        });
  }

  // ---- Ends
  // ------------------------------------------------------------------------------------------

  /**
   * Nothing more is placed from here on: what is held is answered at once, what is out when its
   * claim ends.
   */
  void stops() {
    enter(inputs.scheduler::shutdownStarted);
  }

  /** Releases that have not been heard yet, or wait for a connection. */
  int untold() {
    return pendingResponses.untold();
  }

  int inHand() {
    return pendingResponses.inHand();
  }

  Duration longestPatience() {
    return patience.values().stream().max(Duration::compareTo).orElse(Duration.ZERO);
  }

  /** Asks, VMs and descriptions held, of whatever kind. */
  int kept() {
    return inputs.size()
        + carried.size()
        + pendingResponses.inHand()
        + pendingResponses.standing()
        + pendingResponses.untold();
  }

  String state() {
    return "in hand "
        + pendingResponses.inHand()
        + ", standing "
        + pendingResponses.standing()
        + ", untold "
        + pendingResponses.untold()
        + ", machines "
        + machineHandles.size()
        + ", connections to machines "
        + share.open()
        + ", owners' lines "
        + (front == null ? 0 : front.connections())
        + ", bad asks "
        + bad
        + ", reports "
        + reports
        + ", probes passed "
        + probesPassed
        + " failed "
        + probesFailed
        + ", late "
        + lateness.allowance(sequencer.clock()).toMillis()
        + " ms, latest offer after a drain "
        + latestOffer.toMillis()
        + " ms, ends "
        + ends;
  }
}
