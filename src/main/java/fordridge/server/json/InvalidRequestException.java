package fordridge.server.json;

/** A client's request that can't be used: which field, its value, and what would be right. */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;
  private static final int MAX_QUOTED_CHARS = 64;

  /** Without a stack trace: it is the client's fault, and may come in floods. */
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
