package fordridge.etcd;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.function.Consumer;

/** Takes the response of a unary call on the client's thread, while its connection is in use. */
final class ScopedObserver<T> implements StreamObserver<T> {
  private final ConnectionScheduler.Scope scope;
  private final Consumer<T> onResponse;
  private final Consumer<Status> onFailure;

  ScopedObserver(
      ConnectionScheduler.Scope scope, Consumer<T> onResponse, Consumer<Status> onFailure) {
    this.scope = scope;
    this.onResponse = onResponse;
    this.onFailure = onFailure;
  }

  @Override
  public void onNext(T response) {
    scope.execute(() -> onResponse.accept(response));
  }

  @Override
  public void onError(Throwable failure) {
    scope.execute(() -> onFailure.accept(Status.fromThrowable(failure)));
  }

  @Override
  public void onCompleted() {}
}
