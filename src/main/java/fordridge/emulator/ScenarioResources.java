package fordridge.emulator;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The event loops and executors of a scenario. */
final class ScenarioResources implements AutoCloseable {
  private static final int MAX_MACHINE_LOOPS = 4;
  private static final int CLIENT_LOOPS = 2;

  private final EventLoopGroup machineLoops =
      new MultiThreadIoEventLoopGroup(
          Math.min(Runtime.getRuntime().availableProcessors(), MAX_MACHINE_LOOPS),
          NioIoHandler.newFactory());
  private final EventLoopGroup clientLoops =
      new MultiThreadIoEventLoopGroup(CLIENT_LOOPS, NioIoHandler.newFactory());
  private final ScheduledExecutorService faultExecutor = Timers.singleThread("faults");

  EventLoopGroup machineLoops() {
    return machineLoops;
  }

  EventLoopGroup clientLoops() {
    return clientLoops;
  }

  /** A single-threaded executor for faults and other scheduled work. */
  ScheduledExecutorService faultExecutor() {
    return faultExecutor;
  }

  @Override
  public void close() {
    faultExecutor.shutdownNow();
    Future<?> unusedMachines = machineLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    Future<?> unusedClients = clientLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
