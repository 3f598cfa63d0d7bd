package fordridge.faults;

/**
 * The configuration of the scheduler under test: one class whose VMs may be placed again, and one
 * whose VMs may not, which runs on one kind of machine and is limited on each.
 *
 * @param address the address of the rig
 * @param listenPort where the scheduler listens
 * @param machineListPort where the machine list is watched
 * @param known the events of the machine list up to now
 * @param connectTimeoutMillis how long a connection to a machine may take to come up
 */
record RigConfiguration(
    String address, int listenPort, int machineListPort, String known, long connectTimeoutMillis) {
  static final String PLAIN_KIND = "k";
  static final String REPEATABLE_CLASS = "a";
  static final String LIMITED_CLASS = "once";

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
        + known
        + ",\"settings\":{\"kinds\":[\""
        + PLAIN_KIND
        + "\",\""
        + PlacementLedger.LIMITED_CLASS_KIND
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
        + PlacementLedger.MOST_PER_MACHINE
        + ","
        + PlacementLedger.MOST_PER_MACHINE
        + "],\"freeInList\":true,\"admitCores\":2,\"memBooking\":2,\"settleUs\":600000}}}";
  }
}
