package fordridge.etcd;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.RangeRequest;
import fordridge.etcd.api.RangeResponse;
import fordridge.settings.HostAndPort;
import io.grpc.netty.NettyChannelBuilder;
import java.nio.charset.StandardCharsets;

/** Requests and channels that all clients of etcd need. */
final class EtcdRequests {
  private static final int MAX_MESSAGE_BYTES = 64 << 20;
  private static final ByteString ZERO_BYTE = ByteString.copyFrom(new byte[] {0});

  private EtcdRequests() {}

  /** A channel without encryption to {@code host:port}. */
  static NettyChannelBuilder channelTo(String endpoint) {
    return NettyChannelBuilder.forAddress(HostAndPort.parse(endpoint))
        .usePlaintext()
        .maxInboundMessageSize(MAX_MESSAGE_BYTES);
  }

  static ByteString bytes(String text) {
    return ByteString.copyFromUtf8(text);
  }

  /** The end of the range of all keys that begin with a prefix. */
  static ByteString rangeEnd(String prefix) {
    byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
    end[end.length - 1]++;
    return ByteString.copyFrom(end);
  }

  /**
   * One page of all keys that begin with a prefix.
   *
   * @param from first key of the page
   * @param revision revision to read at, 0 for the latest
   */
  static RangeRequest page(ByteString from, String prefix, int pageSize, long revision) {
    return RangeRequest.newBuilder()
        .setKey(from)
        .setRangeEnd(rangeEnd(prefix))
        .setLimit(pageSize)
        .setRevision(revision)
        .build();
  }

  /** The first key of the page after this one. */
  static ByteString nextPage(RangeResponse page) {
    return page.getKvs(page.getKvsCount() - 1).getKey().concat(ZERO_BYTE);
  }
}
