package fordridge.model;

import java.util.Objects;

/** A tenant and a priority class; rejection backoffs apply to the VMs of one tenant class. */
public record TenantClass(String tenant, String priorityClass) {
  // Written by hand: the generated methods of a record are linked at run time, which delays the
  // first placement.
  @Override
  public boolean equals(Object other) {
    return other instanceof TenantClass that
        && tenant.equals(that.tenant)
        && Objects.equals(priorityClass, that.priorityClass);
  }

  @Override
  public int hashCode() {
    return 31 * tenant.hashCode() + Objects.hashCode(priorityClass);
  }
}
