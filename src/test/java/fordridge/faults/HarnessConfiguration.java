package fordridge.faults;

/**
 * The configuration of the scheduler under test: one class whose VMs may be placed again, and one
 * whose VMs may not, which runs on one kind of machine and is limited on each.
 *
 * @param address the address of the harness
 * @param listenPort the port that the scheduler listens at
 * @param machineListPort the port of the server of the machine list
 * @param knownEvents a snapshot of the machine list, from which the scheduler starts
 * @param connectTimeoutMillis the timeout for establishing a connection to a machine
 */
record HarnessConfiguration(
    String address,
    int listenPort,
    int machineListPort,
    String knownEvents,
    long connectTimeoutMillis) {
  static final String PLAIN_KIND = "k";
  static final String REPEATABLE_CLASS = "a";
  static final String LIMITED_CLASS = "once";

  /** The configuration as JSON. */
  String text() {
    return "{\"name\":\"n\",\"listen\":\""
        + address
        + ":"
        + listenPort
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":0.5,\"memory_mb\":128,"
        + "\"sockets\":256},\"journal\":\""
        + address
        + ":"
        + machineListPort
        + "\",\"known\":"
        + knownEvents
        + ",\"settings\":{\"kinds\":[\""
        + PLAIN_KIND
        + "\",\""
        + PlacementChecker.LIMITED_CLASS_KIND
        + "\"],\"lanes\":["
        + "{\"name\":\"a\",\"giveUpUs\":1500000,\"promiseUs\":300000,\"semantics\":\"retryable\"},"
        + "{\"name\":\"once\",\"giveUpUs\":3000000,\"promiseUs\":300000,"
        + "\"semantics\":\"fragile\"}],\"tenants\":[{\"name\":\"acme\",\"share\":1}],"
        + "\"caps\":{\"mostTries\":3,\"retryAfter\":true,\"connectTimeoutUs\":"
        + connectTimeoutMillis * 1000
        + ",\"connIdleUs\":15000000},\"obligations\":{\"drainGraceUs\":500000},"
        + "\"loadReport\":{\"via\":\"off\"},\"extra\":{\"cpuOfKind\":[99,99],"
        + "\"memoryByKind\":[99,99],\"kindByClass\":[-1,1],\"classSpread\":[\"off\",\"machine\"],"
        + "\"classMost\":["
        + PlacementChecker.MAX_VMS_PER_MACHINE
        + ","
        + PlacementChecker.MAX_VMS_PER_MACHINE
        + "],\"freeInList\":true,\"admitCores\":2,\"memBooking\":2,\"settleUs\":600000}}}";
  }
}
