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
 * The VMs that a machine knows, in the order of their offers. One that is over stays known for a
 * while, so that a repeated offer and a scheduler that reconnects hear what became of it.
 */
final class HostedVms {
  private static final Duration REMEMBERED_AFTER_END = Duration.ofSeconds(90);

  private final Map<AttemptId, HostedVm> byAttempt = new LinkedHashMap<>();
  private final Deque<HostedVm> over = new ArrayDeque<>();

  Optional<HostedVm> find(AttemptId attempt) {
    return Optional.ofNullable(byAttempt.get(attempt));
  }

  void add(HostedVm vm) {
    byAttempt.put(vm.offer().attempt(), vm);
  }

  /** It is over in this state; forgets what was over long ago. */
  void over(HostedVm vm, HostedVm.State finalState, Duration now) {
    vm.over(finalState, now);
    byAttempt.putIfAbsent(vm.offer().attempt(), vm);
    over.addLast(vm);
    while (!over.isEmpty()
        && over.peekFirst().endedAt().plus(REMEMBERED_AFTER_END).compareTo(now) < 0) {
      HostedVm forgotten = over.removeFirst();
      byAttempt.remove(forgotten.offer().attempt(), forgotten);
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

  /** A base plus the requests of all VMs that are starting or running. */
  double reserved(double base, ToDoubleFunction<HostedVm> request) {
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
    over.clear();
  }
}
