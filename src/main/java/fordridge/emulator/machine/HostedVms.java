package fordridge.emulator.machine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * The VMs that a machine knows, in the order of their offers. A VM stays known for some time after
 * it was refused or ended, so that the machine can report its outcome after a repeated offer and to
 * a scheduler that reconnects.
 */
final class HostedVms {
  private static final Duration RETENTION_AFTER_COMPLETION = Duration.ofSeconds(90);

  private final Map<HostedAttemptId, HostedVm> byAttempt = new LinkedHashMap<>();
  private final Deque<HostedVm> completed = new ArrayDeque<>();

  Optional<HostedVm> find(HostedAttemptId attempt) {
    return Optional.ofNullable(byAttempt.get(attempt));
  }

  void add(HostedVm vm) {
    byAttempt.put(vm.offer().attempt(), vm);
  }

  /** Moves a VM to a final state and removes the VMs whose retention has expired. */
  void complete(HostedVm vm, HostedVm.State finalState, Duration now) {
    vm.markCompleted(finalState, now);
    byAttempt.putIfAbsent(vm.offer().attempt(), vm);
    completed.addLast(vm);
    while (!completed.isEmpty()
        && completed.peekFirst().endedAt().plus(RETENTION_AFTER_COMPLETION).compareTo(now) < 0) {
      HostedVm expired = completed.removeFirst();
      byAttempt.remove(expired.offer().attempt(), expired);
    }
  }

  Collection<HostedVm> all() {
    return byAttempt.values();
  }

  List<HostedVm> ofScheduler(String scheduler) {
    return all().stream().filter(vm -> vm.offer().attempt().scheduler().equals(scheduler)).toList();
  }

  List<HostedVm> running() {
    List<HostedVm> running = new ArrayList<>();
    for (HostedVm vm : all()) {
      if (vm.isRunning()) {
        running.add(vm);
      }
    }
    return running;
  }

  boolean isServiceRunning(long service) {
    return all().stream().anyMatch(vm -> vm.isRunning() && vm.offer().service() == service);
  }

  /** The sum of a base and the requests of all VMs that are starting or running. */
  double sumOfReserved(double base, ToDoubleFunction<HostedVm> request) {
    double sum = base;
    for (HostedVm vm : all()) {
      if (vm.isReserved()) {
        sum += request.applyAsDouble(vm);
      }
    }
    return sum;
  }

  void clear() {
    byAttempt.clear();
    completed.clear();
  }
}
