package fordridge.machine;

import java.time.Duration;

/**
 * How the streams to machines are opened, kept and given up.
 *
 * @param connectTimeout bound on the time from opening a stream to the machine's inventory
 * @param idleTimeout how long a stream without attempts is kept
 * @param minBackoff bound on the pause after the first failure
 * @param maxBackoff bound on the pause after any failure
 * @param resumeTimeout how long a broken stream has to come back before a non-idempotent attempt
 *     that it carried is given up
 * @param probeTimeout bound on the time in which a health check is answered
 * @param maxQueuedOffers offers that may wait for the stream
 * @param acceptanceIsFinal whether an attempt counts as accepted once the machine has queued it,
 *     and not only when the VM has started
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
