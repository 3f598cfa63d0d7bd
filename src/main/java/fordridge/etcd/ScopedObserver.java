package fordridge.etcd;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.function.Consumer;

/** Passes the response of a unary call to the client's thread, unless its connection is closed. */
final class ScopedObserver<T> implements StreamObserver<T> {
  private final ConnectionExecutor.Scope scope;
  private final Consumer<T> onResponse;
  private final Consumer<Status> onFailure;

  ScopedObserver(
      ConnectionExecutor.Scope scope, Consumer<T> onResponse, Consumer<Status> onFailure) {
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
