package fordridge.settings;

/** One reason why settings are invalid. */
public sealed interface SettingError {
  /** A one-line description for operators. */
  String message();

  /**
   * A value that is out of range, of the wrong type, missing, or inconsistent with another value.
   *
   * @param location file and line as {@code file:line: }, or an empty string if neither is known
   * @param path full path of the key
   * @param found the invalid value
   * @param allowed description of the valid values
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
   * @param path full path of the key
   * @param nearestKey the most similar valid key; empty if there is none
   */
  record UnknownKey(String location, String path, String nearestKey) implements SettingError {
    @Override
    public String message() {
      String hint = nearestKey.isEmpty() ? "" : "; did you mean " + nearestKey + "?";
      return location + path + ": unknown key" + hint;
    }
  }

  /** Any other error, such as a missing file or a syntax error. */
  record General(String message) implements SettingError {}
}
