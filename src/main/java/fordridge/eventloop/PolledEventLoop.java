package fordridge.eventloop;

import io.netty.channel.EventLoop;

/** One event loop, and what reads its sockets from within its tasks. */
public record PolledEventLoop(EventLoop loop, SocketPoller poller) {}
