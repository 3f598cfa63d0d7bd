package fordridge.faults;

/** A machine as the machine list names it. */
interface ListedMachine {
  /** Its id in the list. */
  String id();

  /** Its kind in the list. */
  String kind();

  /** Where it listens, as {@code HOST:PORT}. */
  String hostAndPort();
}
