package fordridge.faults;

import fordridge.faults.SystemCallShim.Slot;

/** Injects the faults of a plan that concern system calls and clocks, through a process's shim. */
final class SystemCallFaults {
  private static final int[] ACCEPT_ERRORS = {
    SystemCallShim.ECONNABORTED,
    SystemCallShim.ENFILE,
    SystemCallShim.ENOBUFS,
    SystemCallShim.EMFILE
  };
  private static final int[] CONNECT_ERRORS = {
    SystemCallShim.EADDRNOTAVAIL,
    SystemCallShim.ENETUNREACH,
    SystemCallShim.ETIMEDOUT,
    SystemCallShim.EHOSTUNREACH
  };
  private static final int[] SOCKET_ERRORS = {SystemCallShim.ENFILE, SystemCallShim.ENOBUFS};

  private SystemCallFaults() {}

  /** Injects the fault. If its amount is a number of failing calls, it selects their error too. */
  static void inject(Fault fault, SystemCallShim shim) {
    int amount = fault.amount();
    switch (fault.kind()) {
      case ACCEPT_FAILS ->
          shim.fail(
              Slot.ACCEPT_COUNT, Slot.ACCEPT_ERRNO, selectError(ACCEPT_ERRORS, amount), amount);
      case CONNECT_FAILS ->
          shim.fail(
              Slot.CONNECT_COUNT, Slot.CONNECT_ERRNO, selectError(CONNECT_ERRORS, amount), amount);
      case SOCKET_FAILS ->
          shim.fail(
              Slot.SOCKET_COUNT, Slot.SOCKET_ERRNO, selectError(SOCKET_ERRORS, amount), amount);
      case SHORT_READS -> shim.set(Slot.READ_MAX, amount);
      case SHORT_WRITES -> shim.set(Slot.WRITE_MAX, amount);
      case WAITS_INTERRUPTED -> shim.set(Slot.EPOLL_INTERRUPTS, amount);
      case WALL_CLOCK_STEPPED -> shim.set(Slot.WALL_CLOCK_SECONDS, amount);
      case CLOCK_METERED -> shim.set(Slot.METERED_CLOCK_MILLIS, amount);
      default -> throw new IllegalArgumentException(fault.toString());
    }
  }

  private static int selectError(int[] errors, int amount) {
    return errors[amount % errors.length];
  }
}
