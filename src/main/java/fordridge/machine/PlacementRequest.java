package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/** A placement request that has no answer yet, with the time by which the machine has to answer. */
record PlacementRequest(PlacementAttempt attempt, Duration answerBy) {}
