package fordridge.settings;

/** One reason why settings cannot be used; {@link #message()} is what operators read. */
public sealed interface SettingError {
  /** The whole error in one line. */
  String message();

  /**
   * A value that is out of range, of the wrong type, missing, or at odds with another value.
   *
   * @param location file and line as {@code file:line: }, or an empty text where neither is known
   * @param path the key's whole path
   * @param found the offending value
   * @param allowed what would be right
   */
  record InvalidValue(String location, String path, String found, String allowed)
      implements SettingError {
    @Override
    public String message() {
      return location + path + ": found " + found + ", allowed: " + allowed;
    }
  }

  /**
   * A key that does not exist.
   *
   * @param location file and line as {@code file:line: }
   * @param path the key's whole path
   * @param nearestKey the most similar key that exists; empty where there is none
   */
  record UnknownKey(String location, String path, String nearestKey) implements SettingError {
    @Override
    public String message() {
      String hint = nearestKey.isEmpty() ? "" : "; the nearest known one is " + nearestKey;
      return location + path + ": unknown key" + hint;
    }
  }

  /** Any other reason, as a missing file or a syntax error. */
  record General(String message) implements SettingError {}
}
