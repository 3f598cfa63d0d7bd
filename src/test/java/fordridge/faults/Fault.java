package fordridge.faults;

/**
 * One fault that a {@link FaultPlan} injects.
 *
 * @param atMillis when the fault begins, in milliseconds since the load began
 * @param amount a duration in milliseconds or a number of calls, bytes, seconds or requests,
 *     depending on the kind
 */
record Fault(Kind kind, long atMillis, int amount) {
  /** The kinds of faults, each with the bounds of the amount that a generated plan draws. */
  enum Kind {
    /** Resets all clients' connections at the proxy before the scheduler. The amount is unused. */
    CLIENT_HOP_RESET(0, 1),
    /** The proxy forwards nothing between clients and scheduler for {@code amount} milliseconds. */
    CLIENT_HOP_SILENT(50, 600),
    /**
     * One client's connection is lost without a FIN or RST: the proxy forwards nothing more on it.
     */
    CLIENT_ABANDONED(0, 1),
    /** One client closes its connection while requests are pending on it. */
    CLIENT_CLOSES(0, 1),
    /** One client resets its connection while requests are pending on it. */
    CLIENT_RESETS(0, 1),
    /** A client opens a connection and sends a malformed line. */
    CLIENT_MALFORMED(0, 1),
    /** Clients send {@code amount} requests at once. */
    CLIENT_BURST(20, 120),
    /** The proxies of clients and machine list write at most {@code amount} bytes at a time. */
    LINES_SPLIT(1, 40),
    /** All connections to one machine are reset. The amount is unused. */
    MACHINE_HOP_RESET(0, 1),
    /** As {@link #MACHINE_HOP_RESET}. The amount is drawn but unused. */
    MACHINE_HOP_CUT(10, 400),
    /** As {@link #MACHINE_HANGS}, with another range of the amount. */
    MACHINE_HOP_SILENT(100, 1200),
    /** One machine sends nothing for {@code amount} milliseconds. */
    MACHINE_HANGS(100, 4000),
    /** All machines send nothing for {@code amount} milliseconds. */
    ALL_MACHINES_HANG(500, 6000),
    /** One machine is drained, and a new machine is listed in its place. */
    MACHINE_DRAINS(0, 1),
    /** One machine dies, and is listed as deleted {@code amount} milliseconds later. */
    MACHINE_DIES(0, 800),
    /** Resets the connections to the server of the machine list at its proxy. */
    LIST_HOP_RESET(0, 1),
    /** The server of the machine list sends nothing for {@code amount} milliseconds. */
    LIST_SILENT(500, 3000),
    /** The scheduler gets SIGSTOP, and SIGCONT {@code amount} milliseconds later. */
    PROCESS_STOPPED(100, 1200),
    /**
     * The scheduler is killed and restarted. Clients send {@code amount} requests to the new
     * process before they hand the running VMs over to it.
     */
    PROCESS_KILLED(0, 200),
    /**
     * The scheduler gets SIGTERM and at most {@code amount} further signals (SIGHUP and SIGTERM in
     * turn) until it ends, and is restarted.
     */
    PROCESS_TERMINATED(0, 4),
    /** The configuration file is rewritten, and the scheduler gets SIGHUP. */
    PROCESS_RELOADED(0, 1),
    /** The next {@code amount} calls of accept fail. The amount selects the error too. */
    ACCEPT_FAILS(1, 6),
    /** As {@link #ACCEPT_FAILS}, for connect. */
    CONNECT_FAILS(1, 6),
    /** As {@link #ACCEPT_FAILS}, for socket. */
    SOCKET_FAILS(1, 4),
    /** From now on a read from a socket returns at most {@code amount} bytes. */
    SHORT_READS(1, 40),
    /** From now on a write to a socket takes at most {@code amount} bytes. */
    SHORT_WRITES(1, 40),
    /** The next {@code amount} blocking calls of epoll_wait fail with EINTR. */
    WAITS_INTERRUPTED(1, 30),
    /** The scheduler's wall clock is set to {@code amount} seconds ahead of the real one. */
    WALL_CLOCK_STEPPED(-3600, 3600),
    /**
     * The scheduler's monotonic clock hardly advances between waits, and catches up when the
     * process waits, or after {@code amount} milliseconds at the latest.
     */
    CLOCK_METERED(100, 300),
    /** From its next start on, the scheduler shares one core with {@code amount} busy processes. */
    CORE_CONTENDED(1, 3),
    /** The next handover is sent while the scheduler is stopped for {@code amount} milliseconds. */
    HANDOVER_STOPPED(300, 900),
    /**
     * The next handover is sent while connections to machines can't be established: their accept
     * queues are full for {@code amount} milliseconds.
     */
    HANDOVER_CONNECTS_LATE(300, 900),
    /** One machine's accept queue is full for {@code amount} milliseconds. */
    MACHINE_ACCEPTS_LATE(100, 900),
    /** {@code amount} clients connect and send nothing. */
    CLIENT_CROWD(50, 300),
    /**
     * One machine's answers are delayed by {@code amount} milliseconds; its other messages are not,
     * so they arrive first.
     */
    MACHINE_ANSWERS_LATE(100, 900),
    /**
     * Three machines are drained, end their VMs after {@code amount} milliseconds and are deleted.
     */
    MACHINES_REPLACED(100, 900),
    /**
     * One machine's next {@code amount} answers are lost: their VMs run, but the connection is
     * reset instead of the answer.
     */
    MACHINE_ANSWERS_LOST(1, 12),
    /**
     * One machine's next {@code amount} answers are sent on another connection, as the connection
     * of their request is reset before.
     */
    MACHINE_ANSWERS_ELSEWHERE(1, 12),
    /** {@code amount} requests are sent and withdrawn while their offers are pending. */
    CLIENTS_GIVE_UP(5, 60),
    /**
     * One machine dies, and a new machine is listed at its address at once. The first is listed as
     * deleted {@code amount} milliseconds later.
     */
    MACHINE_ADDRESS_TAKEN(0, 3000);

    final int minAmount;
    final int maxAmount;

    Kind(int minAmount, int maxAmount) {
      this.minAmount = minAmount;
      this.maxAmount = maxAmount;
    }
  }

  @Override
  public String toString() {
    return kind + "@" + atMillis + "=" + amount;
  }

  /** Parses the format that {@link #toString} writes. */
  static Fault parse(String text) {
    String[] parts = text.trim().split("[@=]", -1);
    return new Fault(Kind.valueOf(parts[0]), Long.parseLong(parts[1]), Integer.parseInt(parts[2]));
  }
}
