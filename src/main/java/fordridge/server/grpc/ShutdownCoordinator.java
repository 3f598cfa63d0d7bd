package fordridge.server.grpc;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The graceful shutdown of one instance: new requests are rejected, pending VMs are answered by the
 * scheduler, and attempts without an outcome are given up before the time is up. Confined to the
 * event loop, except for {@link #start}.
 */
final class ShutdownCoordinator {
  private final InstanceContext context;

  /** Null until the shutdown starts. */
  private CompletableFuture<Void> completion;

  ShutdownCoordinator(InstanceContext context) {
    this.context = context;
  }

  /**
   * Starts the shutdown, from any thread; the result completes when each request has its final
   * response. Attempts still out after three quarters of {@code timeout} are given up.
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

  /** Called when an input and all that followed from it are processed. */
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
