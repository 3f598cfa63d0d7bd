package fordridge.settings;

import java.util.List;

/**
 * Settings that cannot be used, with every error found in them; each is one line of the message.
 */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingError> errors;

  /** Settings with these errors. */
  public InvalidSettingsException(List<SettingError> errors) {
    super(String.join("\n", messages(errors)));
    this.errors = List.copyOf(errors);
  }

  /** Errors that belong to no single key. */
  public static InvalidSettingsException ofMessages(List<String> messages) {
    return new InvalidSettingsException(
        messages.stream().<SettingError>map(SettingError.General::new).toList());
  }

  /** A single error that belongs to no single key. */
  public static InvalidSettingsException ofMessage(String message) {
    return ofMessages(List.of(message));
  }

  public List<SettingError> errors() {
    return errors;
  }

  /** The errors as lines for operators. */
  public List<String> messages() {
    return messages(errors);
  }

  private static List<String> messages(List<SettingError> errors) {
    return errors.stream().map(SettingError::message).toList();
  }
}
