package fordridge.server.grpc;

import fordridge.model.Machine;
import fordridge.model.Vm;
import java.time.Duration;

/** Gives a shadow scheduler access to its primary's instance. Confined to the event loop. */
final class ShadowedPrimary implements ShadowScheduler.Primary {
  private final InstanceContext context;

  ShadowedPrimary(InstanceContext context) {
    this.context = context;
  }

  @Override
  public void schedule(Duration delay, Runnable input) {
    context.loop.schedule(delay, input);
  }

  @Override
  public String nameOf(Machine machine) {
    return context.machines.nameOf(machine);
  }

  @Override
  public Machine machine(String name) {
    return context.scheduler.inputs().machine(name);
  }

  @Override
  public double constraintPenalty(Vm vm, Machine machine) {
    return context.constraints.penalty(vm, machine);
  }

  @Override
  public boolean isConstrained(Vm vm) {
    return context.constraints.isConstrained(vm);
  }
}
