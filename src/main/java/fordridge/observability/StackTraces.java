package fordridge.observability;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Exceptions as text for logs that are plain lines. */
public final class StackTraces {
  private StackTraces() {}

  /** The exception and its stack, with causes, as {@link Throwable#printStackTrace} writes them. */
  public static String format(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text, true));
    return text.toString();
  }
}
