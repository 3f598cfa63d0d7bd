package fordridge.server.grpc;

import fordridge.eventloop.InputGate;
import fordridge.eventloop.PolledEventLoop;
import fordridge.model.Vm;
import fordridge.observability.Metrics;
import fordridge.settings.DeploymentSettings;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * The parts of one scheduler instance, through which each finds the others, as many of them call
 * each other. Everything in it is confined to the instance's event loop.
 */
final class InstanceContext {
  final String name;
  final int position;
  final long seed;
  final Metrics metrics;
  final SchedulerLog log;
  final InputLoop loop;

  /** Before what may not be decided or sent on input that is not read yet. */
  final InputGate gate;

  final EventLoop eventLoop;
  final ShadowedScheduler scheduler;
  final ClientConnections clients;
  final ConstraintState constraints;
  final MachineRegistry machines;
  final MachineListIntake machineList;
  final AttemptTracker attempts;
  final GroupCoordinator groups;
  final ShutdownCoordinator shutdown;

  /** The settings in force now. */
  private DeploymentSettings settings;

  InstanceContext(
      DeploymentSettings settings,
      int position,
      String name,
      long seed,
      PolledEventLoop polledLoop,
      Executor groupPlanner,
      Metrics metrics,
      Gossip gossip) {
    this.settings = settings;
    this.position = position;
    this.name = name;
    this.seed = seed;
    eventLoop = polledLoop.loop();
    this.metrics = metrics;
    log = new SchedulerLog(name);
    loop = new InputLoop(eventLoop, metrics, log, this::beforeInput, this::afterInputs);
    gate = loop.newGate(polledLoop.poller());
    scheduler = new ShadowedScheduler(new GrpcSchedulerActions(this, gossip), log);
    clients = new ClientConnections(this);
    constraints = new ConstraintState(this);
    machines = new MachineRegistry(this);
    machineList = new MachineListIntake(this);
    attempts = new AttemptTracker(this);
    groups = new GroupCoordinator(new GroupActions(this, groupPlanner));
    shutdown = new ShutdownCoordinator(this);
  }

  DeploymentSettings settings() {
    return settings;
  }

  void settingsChanged(DeploymentSettings next) {
    settings = next;
  }

  /** Drops what is kept of a VM that is over, unless its group still has to answer for it. */
  void forget(Vm vm) {
    if (groups.isMember(vm) && clients.isPending(vm)) {
      return;
    }
    if (scheduler.inputs().forget(vm)) {
      clients.unregister(vm);
      groups.drop(vm);
    }
  }

  private void beforeInput(Duration now) {
    scheduler.advanceTo(now);
  }

  private void afterInputs() {
    clients.writeResponses();
    shutdown.completeIfIdle();
  }
}
