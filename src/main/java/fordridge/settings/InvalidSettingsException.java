package fordridge.settings;

import java.util.List;

/** Thrown if settings are invalid; the message has one line for each error found. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingError> errors;

  /** Creates an exception with the given errors. */
  public InvalidSettingsException(List<SettingError> errors) {
    super(String.join("\n", messages(errors)));
    this.errors = List.copyOf(errors);
  }

  /** Creates an exception with errors that belong to no single key. */
  public static InvalidSettingsException ofMessages(List<String> messages) {
    return new InvalidSettingsException(
        messages.stream().<SettingError>map(SettingError.General::new).toList());
  }

  /** Creates an exception with one error that belongs to no single key. */
  public static InvalidSettingsException ofMessage(String message) {
    return ofMessages(List.of(message));
  }

  /** All errors that were found. */
  public List<SettingError> errors() {
    return errors;
  }

  /** The message of each error, for operators. */
  public List<String> messages() {
    return messages(errors);
  }

  private static List<String> messages(List<SettingError> errors) {
    return errors.stream().map(SettingError::message).toList();
  }
}
