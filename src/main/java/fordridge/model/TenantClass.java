package fordridge.model;

import java.util.Objects;

/** One tenant's VMs of one priority class, for which machines keep a rejection backoff. */
public record TenantClass(String tenant, String priorityClass) {
  // Written out, as the generated methods are linked at run time, which delays the first placement.
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
