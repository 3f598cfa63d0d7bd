package fordridge.faults;

/**
 * One fault of a plan.
 *
 * @param atMillis when it begins, since the load began
 * @param amount how long in milliseconds, how many calls, bytes or seconds, as the kind says
 */
record Fault(Kind kind, long atMillis, int amount) {
  /** What is done; the bounds of the amount that a plan draws stand beside each. */
  enum Kind {
    /** All clients' connections are reset between client and scheduler. */
    CLIENT_HOP_RESET(0, 1),
    /** Nothing passes between clients and scheduler for so many milliseconds. */
    CLIENT_HOP_SILENT(50, 600),
    /** One client's connection dies without a word. */
    CLIENT_ABANDONED(0, 1),
    /** One client closes its connection under its requests. */
    CLIENT_CLOSES(0, 1),
    CLIENT_RESETS(0, 1),
    /** A connection that sends what can't be read. */
    CLIENT_MALFORMED(0, 1),
    /** So many requests at once. */
    CLIENT_BURST(20, 120),
    /** Lines arrive in pieces of so many bytes. */
    LINES_SPLIT(1, 40),
    /** All connections to one machine are reset on the way. */
    MACHINE_HOP_RESET(0, 1),
    /** The next connection to one machine is cut after so many of its bytes. */
    MACHINE_HOP_CUT(10, 400),
    /** Nothing passes between one machine and the scheduler for so many milliseconds. */
    MACHINE_HOP_SILENT(100, 1200),
    MACHINE_HANGS(100, 4000),
    /** All machines say nothing for so many milliseconds. */
    ALL_MACHINES_HANG(500, 6000),
    /** One machine is drained, and another takes its place. */
    MACHINE_DRAINS(0, 1),
    /** One machine dies, and is listed as gone so many milliseconds later. */
    MACHINE_DIES(0, 800),
    LIST_HOP_RESET(0, 1),
    LIST_SILENT(500, 3000),
    /** The process is stopped for so many milliseconds, then goes on. */
    PROCESS_STOPPED(100, 1200),
    /** Killed and started again; so many requests come before its VMs are handed over. */
    PROCESS_KILLED(0, 200),
    /** SIGTERM, so many further signals until its end, and a new start. */
    PROCESS_TERMINATED(0, 4),
    PROCESS_RELOADED(0, 1),
    /** So many calls fail; the error is drawn from the amount. */
    ACCEPT_FAILS(1, 6),
    CONNECT_FAILS(1, 6),
    SOCKET_FAILS(1, 4),
    /** Reads and writes of at most so many bytes from now on. */
    SHORT_READS(1, 40),
    SHORT_WRITES(1, 40),
    WAITS_INTERRUPTED(1, 30),
    /** The wall clock is stepped by so many seconds. */
    WALL_CLOCK_STEPPED(-3600, 3600),
    /** Time used is charged when the process waits, every so many milliseconds at the latest. */
    CLOCK_METERED(100, 300),
    /** The scheduler shares one core with so many busy processes, from its next start on. */
    CORE_CONTENDED(1, 3),
    /** The next handover comes while the process is stopped for so many milliseconds. */
    HANDOVER_STOPPED(300, 900),
    /** The next handover comes while connections to machines take a second to come up. */
    HANDOVER_CONNECTS_LATE(300, 900),
    /** One machine's accept queue is full for so many milliseconds. */
    MACHINE_ACCEPTS_LATE(100, 900),
    /** So many clients connect and say nothing. */
    CLIENT_CROWD(50, 300),
    /** One machine's answers come so many milliseconds late, and its other words overtake them. */
    MACHINE_ANSWERS_LATE(100, 900),
    /** Three machines are drained, cut their VMs after so many milliseconds and are gone. */
    MACHINES_REPLACED(100, 900),
    /** One machine's next so many answers are lost: their VMs run, and the connection is reset. */
    MACHINE_ANSWERS_LOST(1, 12),
    /** So many answers come on another connection, as their own is reset before. */
    MACHINE_ANSWERS_ELSEWHERE(1, 12),
    /** So many requests are withdrawn while they are under way. */
    CLIENTS_GIVE_UP(5, 60),
    /** One machine dies, another listens at its address; the first is listed as gone later. */
    MACHINE_ADDRESS_TAKEN(0, 3000);

    final int least;
    final int most;

    Kind(int least, int most) {
      this.least = least;
      this.most = most;
    }
  }

  @Override
  public String toString() {
    return kind + "@" + atMillis + "=" + amount;
  }

  /** Reads what {@link #toString} wrote. */
  static Fault parse(String text) {
    String[] parts = text.trim().split("[@=]", -1);
    return new Fault(Kind.valueOf(parts[0]), Long.parseLong(parts[1]), Integer.parseInt(parts[2]));
  }
}
