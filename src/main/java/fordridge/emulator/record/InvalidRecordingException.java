package fordridge.emulator.record;

import java.io.IOException;

/** Signals that a line of a wire recording is malformed. */
public final class InvalidRecordingException extends IOException {
  private final long lineNumber;

  /** Creates an error at a line of the recording, counted from 1. */
  public InvalidRecordingException(long lineNumber, String problem, Throwable cause) {
    super("line " + lineNumber + " of the recording is " + problem, cause);
    this.lineNumber = lineNumber;
  }

  /** The number of the malformed line, counted from 1. */
  public long lineNumber() {
    return lineNumber;
  }
}
