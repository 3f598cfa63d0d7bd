package fordridge.eventloop;

import io.netty.channel.EventLoop;

/** An event loop, and the poller that reads its sockets from within its tasks. */
public record PolledEventLoop(EventLoop loop, SocketPoller poller) {}
