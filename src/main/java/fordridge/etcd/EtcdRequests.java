package fordridge.etcd;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.RangeRequest;
import fordridge.etcd.api.RangeResponse;
import fordridge.settings.HostAndPort;
import io.grpc.netty.NettyChannelBuilder;
import java.nio.charset.StandardCharsets;

/** Builds channels and requests for the etcd clients. */
final class EtcdRequests {
  private static final int MAX_MESSAGE_BYTES = 64 << 20;
  private static final ByteString ZERO_BYTE = ByteString.copyFrom(new byte[] {0});

  private EtcdRequests() {}

  /** Returns the builder of an unencrypted channel to {@code host:port}. */
  static NettyChannelBuilder channelTo(String endpoint) {
    return NettyChannelBuilder.forAddress(HostAndPort.parse(endpoint))
        .usePlaintext()
        .maxInboundMessageSize(MAX_MESSAGE_BYTES);
  }

  static ByteString bytes(String text) {
    return ByteString.copyFromUtf8(text);
  }

  /** Returns the exclusive end of the range of all keys that begin with a prefix. */
  static ByteString rangeEnd(String prefix) {
    byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
    end[end.length - 1]++;
    return ByteString.copyFrom(end);
  }

  /**
   * Returns a request for one page of the keys that begin with a prefix.
   *
   * @param from lower bound of the keys of the page, inclusive
   * @param revision revision to read at; 0 for the latest
   */
  static RangeRequest page(ByteString from, String prefix, int pageSize, long revision) {
    return RangeRequest.newBuilder()
        .setKey(from)
        .setRangeEnd(rangeEnd(prefix))
        .setLimit(pageSize)
        .setRevision(revision)
        .build();
  }

  /** Returns the lower bound of the keys of the next page. */
  static ByteString nextPage(RangeResponse page) {
    return page.getKvs(page.getKvsCount() - 1).getKey().concat(ZERO_BYTE);
  }
}
