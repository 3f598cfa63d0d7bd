package fordridge.emulator;

import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import java.util.Optional;

/** Checks the authentication token of each call and reads the client's name from the user agent. */
final class EtcdClientInterceptor implements ServerInterceptor {
  private static final Metadata.Key<String> TOKEN =
      Metadata.Key.of("token", Metadata.ASCII_STRING_MARSHALLER);
  private static final Metadata.Key<String> USER_AGENT =
      Metadata.Key.of("user-agent", Metadata.ASCII_STRING_MARSHALLER);
  private static final String PRODUCT = "fordridge/";
  private static final Context.Key<String> CLIENT = Context.key("client");

  private volatile Optional<String> requiredToken = Optional.empty();

  /** Rejects calls without this authentication token from now on. */
  void requireToken(String token) {
    requiredToken = Optional.of(token);
  }

  /** Returns the name of the client whose call is being served. */
  static String currentClient() {
    return CLIENT.get();
  }

  @Override
  public <Q, R> ServerCall.Listener<Q> interceptCall(
      ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
    Optional<String> required = requiredToken;
    if (required.isPresent() && !required.get().equals(headers.get(TOKEN))) {
      call.close(
          Status.UNAUTHENTICATED.withDescription("etcdserver: invalid auth token"), new Metadata());
      return new ServerCall.Listener<>() {};
    }
    Context context = Context.current().withValue(CLIENT, clientName(headers.get(USER_AGENT)));
    return Contexts.interceptCall(context, call, headers, next);
  }

  /** Returns the user agent up to its first space, without the product prefix. */
  private static String clientName(String userAgent) {
    if (userAgent == null) {
      return "";
    }
    int space = userAgent.indexOf(' ');
    String first = space < 0 ? userAgent : userAgent.substring(0, space);
    return first.replace(PRODUCT, "");
  }
}
