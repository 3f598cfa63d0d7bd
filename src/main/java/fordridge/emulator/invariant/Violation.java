package fordridge.emulator.invariant;

/**
 * An invariant that was broken.
 *
 * @param line the line of the recording at which it was seen, counted from 1
 */
public record Violation(Invariant invariant, long line, String description) {}
