package fordridge.eventloop;

import fordridge.runtime.InputStatistics;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * A group of event loops whose sockets can be read from within their tasks and that wait for whole
 * milliseconds, see {@link MonitoredIoHandler}. Thread-safe.
 */
public final class PolledEventLoops {
  private final Map<ThreadAwareExecutor, SocketPoller> pollers = new ConcurrentHashMap<>();
  private final EventLoopGroup group;

  /** Starts this number of event loops; their slow turns are logged. */
  public PolledEventLoops(int threads, Consumer<String> log) {
    IoHandlerFactory nioHandlers = NioIoHandler.newFactory();
    group =
        new MultiThreadIoEventLoopGroup(
            threads,
            executor -> {
              SocketPoller poller = new SocketPoller();
              pollers.put(executor, poller);
              LoopTurnMonitor monitor = new LoopTurnMonitor(new InputStatistics(), log);
              return MonitoredIoHandler.newFactory(nioHandlers, monitor, poller)
                  .newHandler(executor);
            });
  }

  /** The group of all event loops. */
  public EventLoopGroup group() {
    return group;
  }

  /** Returns the next event loop in round-robin order. */
  public PolledEventLoop next() {
    EventLoop loop = group.next();
    return new PolledEventLoop(loop, pollers.get((ThreadAwareExecutor) loop));
  }
}
