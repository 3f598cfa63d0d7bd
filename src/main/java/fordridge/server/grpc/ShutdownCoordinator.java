package fordridge.server.grpc;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Coordinates the graceful shutdown of one instance: new requests are rejected, the scheduler sends
 * a final response for each pending VM, and unanswered attempts are abandoned before the timeout.
 * Confined to the event loop, except for {@link #start}.
 */
final class ShutdownCoordinator {
  private final InstanceContext context;

  /** Null until the shutdown starts. */
  private CompletableFuture<Void> completion;

  ShutdownCoordinator(InstanceContext context) {
    this.context = context;
  }

  /**
   * Starts the shutdown; may be called from any thread. Attempts without a response after three
   * quarters of {@code timeout} are abandoned.
   *
   * @return completes when each request has its final response
   */
  CompletableFuture<Void> start(Duration timeout) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    context.loop.execute(
        () -> {
          completion = result;
          context.loop.process(context.scheduler::shutdownStarted);
          context.loop.process(context.groups::shutdownStarted);
          context.loop.schedule(
              timeout.multipliedBy(3).dividedBy(4), this::abandonUnansweredAttempts);
        });
    return result;
  }

  boolean hasStarted() {
    return completion != null;
  }

  /**
   * Completes the shutdown if no request is pending; called after an input and the inputs queued
   * during it were processed.
   */
  void completeIfIdle() {
    if (completion != null && context.clients.sessions().pendingRequests() == 0) {
      completion.complete(null);
    }
  }

  private void abandonUnansweredAttempts() {
    for (MachineHandle handle : context.machines.all()) {
      for (PlacementAttempt attempt : List.copyOf(handle.machine().unansweredAttempts)) {
        context.attempts.abandon(attempt, Outcome.TIMEOUT);
      }
    }
  }
}
