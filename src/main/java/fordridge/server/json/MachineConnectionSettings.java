package fordridge.server.json;

import fordridge.json.InputMemory;
import fordridge.machine.ConnectionTimeouts;

/**
 * What the connections to all machines start with.
 *
 * @param timeouts the timeouts of each connection
 * @param inputMemory the bound on incomplete lines of all connections
 * @param maxConnections the maximum number of connections
 */
record MachineConnectionSettings(
    ConnectionTimeouts timeouts, InputMemory inputMemory, int maxConnections) {}
