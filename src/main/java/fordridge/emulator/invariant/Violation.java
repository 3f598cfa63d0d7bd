package fordridge.emulator.invariant;

/**
 * A violation of an invariant.
 *
 * @param line the line of the recording at which it was detected, counted from 1
 */
public record Violation(Invariant invariant, long line, String description) {}
