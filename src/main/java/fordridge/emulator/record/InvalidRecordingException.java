package fordridge.emulator.record;

import java.io.IOException;

/** A wire recording that can't be read, with the line at fault. */
public final class InvalidRecordingException extends IOException {
  private final long lineNumber;

  /** An error at a line of the recording, counted from 1. */
  public InvalidRecordingException(long lineNumber, String problem, Throwable cause) {
    super("line " + lineNumber + " of the recording is " + problem, cause);
    this.lineNumber = lineNumber;
  }

  /** The line at fault, counted from 1. */
  public long lineNumber() {
    return lineNumber;
  }
}
