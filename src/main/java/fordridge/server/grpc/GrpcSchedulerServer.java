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
 * One scheduler instance on one event loop: creates and starts its parts, and passes events from
 * other threads to the loop. It makes no scheduling decisions. Methods may be called from any
 * thread unless documented otherwise.
 */
final class GrpcSchedulerServer {
  private final InstanceContext context;
  private final MachineListIntake machineList;
  private final GossipSender gossip;
  private int schedulerCount;

  /**
   * Creates and starts an instance.
   *
   * @param shadowSettings settings of the shadow scheduler; empty for none
   * @param groupPlanner computes the plans of groups outside the event loop
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
    gossip = new GossipSender(metrics);
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

  /** Creates the handler of clients' messages, to be called on the event loop. */
  ClientService.RequestHandler requestHandler() {
    return new ClientRequestIntake(context);
  }

  /** Creates the view for operators' queries, to be read on the event loop. */
  OperatorService.ClusterView clusterView() {
    return new ClusterOperatorView(context);
  }

  void machineListReceived(MachineListSource.Update list) {
    context.loop.submit(() -> machineList.listReceived(list));
  }

  /**
   * Sets the number of schedulers that share the cluster; 0, where the source of the machine list
   * does not know it, is ignored.
   */
  void schedulerCountReceived(int count) {
    context.loop.execute(
        () -> {
          if (count > 0 && count != schedulerCount) {
            schedulerCount = count;
            context.loop.process(() -> context.scheduler.schedulerCountChanged(count));
          }
        });
  }

  /** Applies a new set of constraints to future placements. */
  void constraintsReceived(List<PlacementConstraint> constraints, int version) {
    context.loop.submit(() -> context.constraints.constraintsReceived(constraints, version));
  }

  /** Applies new settings to all further inputs. */
  void settingsReceived(DeploymentSettings newSettings) {
    context.loop.submit(
        () -> {
          context.settingsChanged(newSettings);
          context
              .scheduler
              .inputs()
              .scheduler
              .settingsChanged(SchedulerSettingsMapper.of(newSettings, context.position));
        });
  }

  /** Sets the socket for gossip; to be called before the first placement request. */
  void gossipSocketOpened(GossipSocket socket) {
    context.loop.execute(() -> gossip.setSocket(socket));
  }

  /** Processes a gossip message of another scheduler; called on the event loop. */
  void gossipReceived(String message) {
    context.metrics.gossipReceived();
    context.loop.process(() -> context.scheduler.gossipReceived(message));
  }

  /** Starts the graceful shutdown; see {@link ShutdownCoordinator#start}. */
  CompletableFuture<Void> shutdown(Duration timeout) {
    return context.shutdown.start(timeout);
  }

  /** Requests without a final response; the value may be outdated on other threads. */
  int pendingRequests() {
    return context.clients.sessions().pendingRequests();
  }

  /** Established streams to machines; the value may be outdated on other threads. */
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
