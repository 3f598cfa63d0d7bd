package fordridge.server.json;

/** A client's request is invalid. The message names the field, its value and what is expected. */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;
  private static final int MAX_QUOTED_CHARS = 64;

  /**
   * Creates an exception without a stack trace: the fault is the client's, and floods of invalid
   * requests are possible.
   */
  InvalidRequestException(String path, Object value, String expected) {
    super(path + " is " + quote(value) + ", expected " + expected, null, false, false);
  }

  private static String quote(Object value) {
    if (value == null) {
      return "missing";
    }
    String text = value.toString();
    return text.length() <= MAX_QUOTED_CHARS
        ? "'" + text + "'"
        : "'" + text.substring(0, MAX_QUOTED_CHARS) + "...'";
  }
}
