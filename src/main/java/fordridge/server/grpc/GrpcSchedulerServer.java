package fordridge.server.grpc;

import fordridge.constraint.PlacementConstraint;
import fordridge.discovery.MachineListSource;
import fordridge.eventloop.PolledEventLoop;
import fordridge.grpc.ClientService;
import fordridge.grpc.GossipSocket;
import fordridge.grpc.OperatorService;
import fordridge.observability.Metrics;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.SchedulerSettingsMapper;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * One scheduler instance on one event loop: its parts, its start, and the events that reach it from
 * outside the loop. It makes no scheduling decision. Methods may be called from any thread unless
 * they say otherwise.
 */
final class GrpcSchedulerServer {
  private final InstanceContext context;
  private final MachineListIntake machineList;
  private final Gossip gossip;
  private int schedulerCount;

  /**
   * Creates and starts an instance.
   *
   * @param shadowSettings settings of a shadow scheduler, if there is to be one
   * @param groupPlanner runs the long computations of groups' plans off the event loop
   */
  GrpcSchedulerServer(
      DeploymentSettings settings,
      Optional<DeploymentSettings> shadowSettings,
      int position,
      String name,
      long seed,
      PolledEventLoop eventLoop,
      Executor groupPlanner,
      Metrics metrics) {
    gossip = new Gossip(metrics);
    context =
        new InstanceContext(
            settings, position, name, seed, eventLoop, groupPlanner, metrics, gossip);
    machineList = context.machineList;
    context.loop.submit(
        () -> {
          context
              .scheduler
              .inputs()
              .scheduler
              .start(seed, SchedulerSettingsMapper.of(settings, position));
          shadowSettings.ifPresent(this::startShadow);
        });
    context.clients.startExpiry();
    context.loop.startLagMonitor();
  }

  private void startShadow(DeploymentSettings shadowSettings) {
    ShadowScheduler.Primary primary = new ShadowedPrimary(context);
    context.scheduler.setShadow(
        new ShadowScheduler(
            context.settings(),
            shadowSettings,
            context.position,
            context.seed,
            context.metrics,
            primary));
  }

  String name() {
    return context.name;
  }

  EventLoop eventLoop() {
    return context.eventLoop;
  }

  /** Takes clients' messages, on the event loop. */
  ClientService.RequestHandler requestHandler() {
    return new ClientRequestIntake(context);
  }

  /** Answers operators' queries, on the event loop. */
  OperatorService.ClusterView clusterView() {
    return new ClusterOperatorView(context);
  }

  void machineListReceived(MachineListSource.Update list) {
    context.loop.submit(() -> machineList.listReceived(list));
  }

  /** How many schedulers share the cluster; 0 where the machine list's source does not know. */
  void schedulerCountReceived(int count) {
    context.loop.execute(
        () -> {
          if (count > 0 && count != schedulerCount) {
            schedulerCount = count;
            context.loop.process(() -> context.scheduler.schedulerCountChanged(count));
          }
        });
  }

  /** A new set of constraints holds for all that is placed from here on. */
  void constraintsReceived(List<PlacementConstraint> constraints, int version) {
    context.loop.submit(() -> context.constraints.constraintsReceived(constraints, version));
  }

  /** Other settings hold for all that comes from here on. */
  void settingsReceived(DeploymentSettings next) {
    context.loop.submit(
        () -> {
          context.settingsChanged(next);
          context
              .scheduler
              .inputs()
              .scheduler
              .settingsChanged(SchedulerSettingsMapper.of(next, context.position));
        });
  }

  /** Where gossip is sent; before anything is placed. */
  void gossipSocketOpened(GossipSocket socket) {
    context.loop.execute(() -> gossip.setSocket(socket));
  }

  /** On the event loop. */
  void gossipReceived(String message) {
    context.metrics.gossipReceived();
    context.loop.process(() -> context.scheduler.gossipReceived(message));
  }

  /** Starts the graceful shutdown; see {@link ShutdownCoordinator#start}. */
  CompletableFuture<Void> shutdown(Duration timeout) {
    return context.shutdown.start(timeout);
  }

  /** Requests without a final response; a recent value when read off the event loop. */
  int pendingRequests() {
    return context.clients.sessions().pendingRequests();
  }

  /** Established streams to machines; a recent value when read off the event loop. */
  int establishedStreams() {
    return context.machines.establishedStreams();
  }

  /** Closes the streams to machines and the gossip socket. */
  void close() {
    context.loop.execute(
        () -> {
          gossip.close();
          context.machines.closeAll();
        });
  }
}
