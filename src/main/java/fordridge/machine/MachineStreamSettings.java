package fordridge.machine;

import java.time.Duration;

/**
 * Timeouts and limits of the streams to machines.
 *
 * @param connectTimeout maximum time from opening a stream to receiving the machine's inventory
 * @param idleTimeout how long a stream without attempts is kept open
 * @param minBackoff maximum backoff delay after the first failure
 * @param maxBackoff maximum backoff delay after any number of failures
 * @param resumeTimeout how long after a stream broke a non-idempotent attempt that it carried waits
 *     for the next stream before it is given up
 * @param probeTimeout maximum time in which a health check is answered
 * @param maxQueuedOffers maximum number of offers that are queued for a stream
 * @param acceptanceIsFinal whether an attempt counts as accepted as soon as the machine has queued
 *     it; otherwise it counts as accepted when the VM has started
 */
public record MachineStreamSettings(
    Duration connectTimeout,
    Duration idleTimeout,
    Duration minBackoff,
    Duration maxBackoff,
    Duration resumeTimeout,
    Duration probeTimeout,
    int maxQueuedOffers,
    boolean acceptanceIsFinal) {}
