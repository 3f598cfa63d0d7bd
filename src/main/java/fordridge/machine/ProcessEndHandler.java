package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import java.time.Duration;
import java.util.List;

/**
 * Decides what becomes of the VMs and connections of a machine whose process has ended. If the
 * machine list tells the end late, another machine's process may listen at the address by then: its
 * VMs are kept, with the connections to it, until the list names that machine. Not thread-safe.
 */
public final class ProcessEndHandler {
  /** Closes a connection of the machine. */
  interface Closer {
    void close(MachineConnection connection, MachineConnectionCloseReason reason, Duration now);
  }

  private final Machine machine;
  private final ConnectionSet connections;
  private final VmExecutions executions;
  private final ProcessIncarnations incarnations;
  private final MachineConnectionListener listener;
  private final ConnectionHealthChecker health;
  private final Closer closer;
  private boolean hasSuccessor;
  private boolean isSuccessorConfirmed;

  /**
   * Creates a handler.
   *
   * @param closer closes the connections that are no longer needed
   */
  ProcessEndHandler(
      Machine machine,
      ConnectionSet connections,
      VmExecutions executions,
      ProcessIncarnations incarnations,
      MachineConnectionListener listener,
      ConnectionHealthChecker health,
      Closer closer) {
    this.machine = machine;
    this.connections = connections;
    this.executions = executions;
    this.incarnations = incarnations;
    this.listener = listener;
    this.health = health;
    this.closer = closer;
  }

  /** The process has ended or can't be reached: its requests and VMs count as lost. */
  void machineFailed(MachineFailure failure, Duration now) {
    listener.machineFailed(machine, failure, executions.runningVms().size());
    closeAllConnections(now);
    executions.allVmsLost(failure, now);
    hasSuccessor = false;
  }

  /** The list tells the end of the machine; the process that listens now may be another one. */
  void listedGone(Duration now) {
    if (hasSuccessor && incarnations.isConnected()) {
      return;
    }
    if (incarnations.mayHaveSuccessor()) {
      keepVmsOfSuccessor(MachineFailure.LISTED_GONE);
    } else {
      machineFailed(MachineFailure.LISTED_GONE, now);
    }
  }

  /**
   * The list names another machine at the address. The connections that are up lead to its process,
   * which is confirmed once a health check is answered: a reset may not have been read yet.
   */
  void addressTaken(Duration now) {
    hasSuccessor = true;
    isSuccessorConfirmed = false;
    if (incarnations.isConnected()) {
      keepVmsOfSuccessor(MachineFailure.ADDRESS_TAKEN);
      health.checkEachEstablished(now);
    } else {
      machineFailed(MachineFailure.ADDRESS_TAKEN, now);
    }
  }

  /** A health check was answered on a connection of the set. */
  void healthCheckAnswered() {
    isSuccessorConfirmed = hasSuccessor;
  }

  /** Whether the process of the machine that has taken the address answers, and runs the VMs. */
  public boolean isSuccessorConfirmed() {
    return isSuccessorConfirmed && incarnations.isConnected();
  }

  /** Whether VMs or connections are kept for the machine that has taken the address. */
  public boolean isWaiting() {
    return hasSuccessor && !(executions.runningVms().isEmpty() && connections.isEmpty());
  }

  /** The attempts to be handed over to the machine that the list names at the address. */
  public List<PlacementAttempt> successorVms() {
    return executions.runningVms().all();
  }

  /**
   * That machine has taken over the VMs. Closes all connections; returns the ids of VMs that may
   * run there without an owner.
   */
  public List<String> successorTookOver(Duration now) {
    hasSuccessor = false;
    closeAllConnections(now);
    List<String> orphans = executions.releasable();
    executions.unsettled().settleAll();
    return orphans;
  }

  /** VMs that were offered to another machine's id may run on this machine without an owner. */
  public void addOrphans(List<String> vmIds, Duration now) {
    for (String vmId : vmIds) {
      executions.unsettled().add(vmId, UnsettledReason.CONNECTION_LOST, now);
    }
  }

  private void keepVmsOfSuccessor(MachineFailure failure) {
    List<PlacementAttempt> kept = executions.vmsOfCurrentProcess(incarnations);
    listener.machineFailed(machine, failure, executions.runningVms().size() - kept.size());
    executions.vmsLostExcept(kept);
  }

  /**
   * Waits for the list to name the successor only while the process that runs the VMs is connected
   * and answers; to be called periodically once the machine is gone.
   */
  void checkSuccessor(Duration now) {
    boolean hasNothing = connections.isEmpty() && executions.runningVms().isEmpty();
    boolean isWaiting = !executions.runningVms().isEmpty() || connections.busyCount() > 0;
    if (!hasNothing && !(isWaiting && connections.hasEstablished())) {
      machineFailed(hasSuccessor ? MachineFailure.ADDRESS_TAKEN : MachineFailure.LISTED_GONE, now);
    }
  }

  /** Another machine is named at this one's address, or this one is gone. */
  boolean isEnded(boolean isGone) {
    return isGone || hasSuccessor;
  }

  /** Ends the requests on all connections and closes them. */
  void closeAllConnections(Duration now) {
    for (MachineConnection connection : connections.all()) {
      executions.requestsLost(connection, now);
      closer.close(connection, MachineConnectionCloseReason.MACHINE_FAILED, now);
    }
  }
}
