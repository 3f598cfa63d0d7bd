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
 * Holds the parts of one scheduler instance, so that each can reach the others: many of them call
 * each other. Everything in it is confined to the instance's event loop.
 */
final class InstanceContext {
  final String name;
  final int position;
  final long seed;
  final Metrics metrics;
  final SchedulerLog log;
  final InputLoop loop;

  /** Delays decisions and offers until all input that peers have sent so far has been read. */
  final InputGate gate;

  final EventLoop eventLoop;
  final ShadowedScheduler scheduler;
  final ClientConnections clients;
  final ConstraintState constraints;
  final MachineRegistry machines;
  final MachineListIntake machineList;
  final AttemptOutcomeHandler attempts;
  final GroupCoordinator groups;
  final ShutdownCoordinator shutdown;

  /** The settings currently in force. */
  private DeploymentSettings settings;

  InstanceContext(
      DeploymentSettings settings,
      int position,
      String name,
      long seed,
      PolledEventLoop polledLoop,
      Executor groupPlanner,
      Metrics metrics,
      GossipSender gossip) {
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
    attempts = new AttemptOutcomeHandler(this);
    groups = new GroupCoordinator(new GroupActions(this, groupPlanner));
    shutdown = new ShutdownCoordinator(this);
  }

  DeploymentSettings settings() {
    return settings;
  }

  void settingsChanged(DeploymentSettings newSettings) {
    settings = newSettings;
  }

  /**
   * Removes the state kept for a VM that has finished, unless it is a member of a group that still
   * has to send its final response.
   */
  void forget(Vm vm) {
    if (groups.isMember(vm) && clients.isPending(vm)) {
      return;
    }
    if (scheduler.inputs().removeIfFinished(vm)) {
      clients.unregister(vm);
      groups.remove(vm);
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
