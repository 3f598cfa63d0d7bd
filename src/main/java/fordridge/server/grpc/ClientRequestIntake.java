package fordridge.server.grpc;

import fordridge.group.VmGroup;
import fordridge.grpc.ClientService;
import fordridge.grpc.ClientService.ClientStream;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.Vm;
import fordridge.runtime.InputKind;
import fordridge.session.ClientResponse;
import fordridge.session.ClientResponse.Failed;
import fordridge.session.ClientResponse.Rejected;
import fordridge.session.ClientSession;
import fordridge.session.ClientSessions;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.PriorityClassSettings;
import fordridge.v1.Want;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Handles the messages of clients: admits placement requests or rejects them at once, passes
 * admitted ones to the scheduler, and withdraws them. The reasons in its responses are part of the
 * protocol. Confined to the event loop.
 */
final class ClientRequestIntake implements ClientService.RequestHandler {
  private final InstanceContext context;

  /** Admitted VMs that have not been passed to the scheduler yet, by id. */
  private final Map<String, Vm> unscheduledVms = new HashMap<>();

  ClientRequestIntake(InstanceContext context) {
    this.context = context;
  }

  @Override
  public String schedulerName() {
    return context.name;
  }

  @Override
  public ClientSession clientConnected(
      String client, String resumeToken, long lastSeen, ClientStream stream) {
    return context.clients.clientConnected(client, resumeToken, lastSeen, stream);
  }

  @Override
  public boolean isResumed(ClientSession session, String resumeToken) {
    return sessions().isResumed(session, resumeToken);
  }

  @Override
  public boolean acknowledge(ClientSession session, long sequence) {
    return sessions().acknowledge(session, sequence);
  }

  @Override
  public boolean mayReadMore(ClientSession session) {
    return sessions().mayReadMore(session);
  }

  @Override
  public void streamClosed(ClientSession session, ClientStream stream) {
    context.clients.clientDisconnected(session, stream);
  }

  @Override
  public void placementRequested(ClientSession session, Want request) {
    context.loop.process(() -> receive(session, request));
  }

  @Override
  public void requestWithdrawn(ClientSession session, String vm) {
    context.loop.process(() -> withdraw(session, vm));
  }

  private void receive(ClientSession session, Want request) {
    ClientSessions.Admission admission = sessions().requestReceived(session, request.getVm());
    context.clients.scheduleWrite(session);
    if (admission == ClientSessions.Admission.DUPLICATE) {
      return;
    }
    PriorityClassSettings priorityClass = settings().priorityClasses().get(request.getFlavour());
    Optional<String> rejection = rejectionReason(admission, priorityClass, request);
    if (rejection.isPresent()) {
      reject(session, request, priorityClass, rejection.get());
      return;
    }
    Vm vm = newVm(session, request, priorityClass);
    context.clients.register(vm, session.client());
    scheduleResponseTimeout(vm, session, request.getVm());
    boolean mayAlreadyRun = !priorityClass.isIdempotent() && session.isFromEarlierIncarnation();
    if (request.getGroup().isEmpty()) {
      unscheduledVms.put(vm.id, vm);
      scheduleOnceReconciled(vm, session, request.getVm(), mayAlreadyRun);
    } else {
      joinGroup(vm, session, request, priorityClass, mayAlreadyRun);
    }
  }

  private Optional<String> rejectionReason(
      ClientSessions.Admission admission, PriorityClassSettings priorityClass, Want request) {
    if (admission == ClientSessions.Admission.LIMIT_EXCEEDED) {
      return Optional.of("too many VMs in hand");
    }
    if (context.shutdown.hasStarted()) {
      return Optional.of("the placer is stopping");
    }
    if (priorityClass == null) {
      return Optional.of(
          "flavour '"
              + request.getFlavour()
              + "' is not one of "
              + settings().priorityClasses().keySet());
    }
    return context.constraints.unsatisfiableReason(request);
  }

  private void reject(
      ClientSession session, Want request, PriorityClassSettings priorityClass, String reason) {
    Duration retryAfter =
        priorityClass == null ? Duration.ZERO : priorityClass.startLatencyObjective();
    sessions()
        .reject(session, new Rejected(request.getVm(), retryAfter, reason), context.loop.now());
    context.metrics.responseSent(ClientResponse.Kind.REJECTED);
  }

  private Vm newVm(ClientSession session, Want request, PriorityClassSettings priorityClass) {
    Vm vm = new Vm(ClientConnections.vmId(session.client(), request.getVm()));
    vm.priorityClass = priorityClass.name();
    vm.tenant = request.getCustomer();
    vm.service = request.getService();
    vm.cores = request.getCores();
    vm.memory = request.getMemory();
    vm.isClientRetry = request.getAgain();
    vm.arrivedAt = context.loop.now();
    vm.deadline = deadline(request, priorityClass);
    vm.expectedLifetime = request.getLastsUs() > 0 ? ofMicros(request.getLastsUs()) : null;
    return vm;
  }

  /**
   * The scheduler's deadline for the VM: the client's, less the time that the response may take and
   * the time that the request may have waited for the event loop to read it.
   */
  private Duration deadline(Want request, PriorityClassSettings priorityClass) {
    Duration startDeadline = priorityClass.startDeadline();
    Duration timeLeft =
        request.getTimeLeftUs() == 0 ? startDeadline : ofMicros(request.getTimeLeftUs());
    Duration boundedTimeLeft = timeLeft.compareTo(startDeadline) > 0 ? startDeadline : timeLeft;
    return context
        .loop
        .now()
        .plus(boundedTimeLeft)
        .minus(settings().instance().responseMargin())
        .minus(context.loop.maxRecentLag());
  }

  private static Duration ofMicros(long micros) {
    return Duration.ofNanos(micros * 1000);
  }

  /**
   * Schedules a failed response for the case that the VM has no final response after the
   * scheduler's deadline, as when the scheduler threw on an input; it is sent before the client's
   * own deadline. A failed response is always correct, as it makes no claim about whether the VM
   * ran.
   */
  private void scheduleResponseTimeout(Vm vm, ClientSession session, String name) {
    Duration responseMargin = settings().instance().responseMargin();
    context.loop.schedule(
        vm.deadline.minus(context.loop.now()).plus(responseMargin.dividedBy(2)),
        () -> {
          if (sessions().isPending(session.client(), name)) {
            context.clients.respond(
                vm, requestName -> new Failed(requestName, "no decision in time"));
            context
                .log
                .error()
                .addKeyValue("vm", vm.id)
                .log("request failed: no decision before its deadline");
          }
        });
  }

  /**
   * Passes a VM to the scheduler. A VM that must not run twice, and that an earlier incarnation may
   * have started, waits until every machine has sent its inventory, and fails at its deadline.
   */
  private void scheduleOnceReconciled(
      Vm vm, ClientSession session, String name, boolean mayAlreadyRun) {
    boolean isPending = sessions().isPending(session.client(), name);
    if (!mayAlreadyRun || context.machines.isReconciled()) {
      context.gate.submitAfterRead(InputKind.CLIENT_REQUEST, () -> schedule(vm));
    } else if (context.loop.now().compareTo(vm.deadline) < 0) {
      context.loop.schedule(
          settings().machineList().pollInterval(),
          () -> scheduleOnceReconciled(vm, session, name, true));
    } else {
      unscheduledVms.remove(vm.id, vm);
      unreconciledAtDeadline(vm, isPending);
    }
  }

  private void unreconciledAtDeadline(Vm vm, boolean isPending) {
    if (isPending) {
      context.metrics.responseSent(ClientResponse.Kind.FAILED);
      failUnreconciled(vm, "; not every machine has said what it holds");
    } else {
      context.clients.unregister(vm);
    }
  }

  /** Passes the VM to the scheduler, unless it was withdrawn or failed while it waited. */
  private void schedule(Vm vm) {
    if (unscheduledVms.remove(vm.id, vm) && context.clients.isPending(vm)) {
      context.scheduler.vmRequested(vm);
    } else {
      context.clients.unregister(vm);
    }
  }

  private void failUnreconciled(Vm vm, String detail) {
    String reason = "it may run since before this placer's start" + detail;
    context.clients.respond(vm, name -> new Failed(name, reason));
    context.clients.unregister(vm);
  }

  private void joinGroup(
      Vm vm,
      ClientSession session,
      Want request,
      PriorityClassSettings priorityClass,
      boolean mayAlreadyRun) {
    if (mayAlreadyRun && !context.machines.isReconciled()) {
      failUnreconciled(vm, "");
      return;
    }
    Duration timeLeft = vm.deadline.minus(context.loop.now());
    context.loop.schedule(
        VmGroup.formationTimeout(timeLeft), () -> context.groups.formationTimedOut(vm));
    GroupCoordinator.GroupId group =
        new GroupCoordinator.GroupId(session.client(), request.getGroup());
    context
        .groups
        .join(vm, group, request.getGroupSize(), priorityClass.isIdempotent())
        .ifPresent(
            reason -> {
              context.clients.respond(vm, name -> new Rejected(name, Duration.ZERO, reason));
              context.clients.unregister(vm);
            });
  }

  private void withdraw(ClientSession session, String name) {
    String id = ClientConnections.vmId(session.client(), name);
    Vm vm = context.scheduler.inputs().findVm(id);
    sessions().requestWithdrawn(session, name, context.loop.now());
    unscheduledVms.remove(id);
    withdrawFromGroup(id, vm != null);
    if (vm == null || vm.isFinished) {
      return;
    }
    for (PlacementAttempt attempt : vm.attempts) {
      if (attempt.isInFlight()) {
        withdrawAttempt(attempt);
      }
    }
    if (vm.acceptedAttempt == null) {
      context.scheduler.requestAbandoned(vm);
      context.forget(vm);
    }
  }

  private void withdrawFromGroup(String id, boolean isKnownToScheduler) {
    Optional<Vm> member = context.groups.findMember(id);
    if (member.isEmpty()) {
      return;
    }
    context.groups.memberWithdrawn(member.get());
    if (!isKnownToScheduler) {
      context.groups.remove(member.get());
      context.clients.unregister(member.get());
    }
  }

  private void withdrawAttempt(PlacementAttempt attempt) {
    if (attempt == attempt.vm.acceptedAttempt) {
      context.machines.get(attempt.machine).stream().terminate(attempt, context.loop.now());
    } else {
      context.attempts.abandon(attempt, Outcome.CANCELLED);
    }
  }

  private ClientSessions sessions() {
    return context.clients.sessions();
  }

  private DeploymentSettings settings() {
    return context.settings();
  }
}
