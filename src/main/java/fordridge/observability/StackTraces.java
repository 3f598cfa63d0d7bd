package fordridge.observability;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Formats exceptions for plain text logs. */
public final class StackTraces {
  private StackTraces() {}

  /** Returns the output of {@link Throwable#printStackTrace}: stack trace and causes. */
  public static String format(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text, true));
    return text.toString();
  }
}
