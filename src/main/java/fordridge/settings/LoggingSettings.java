package fordridge.settings;

/**
 * Log format and level of the process (block {@code logging}).
 *
 * @param format {@code plain} or {@code json}
 * @param level {@code trace}, {@code debug}, {@code info}, {@code warn} or {@code error}
 */
public record LoggingSettings(String format, String level) {
  static LoggingSettings read(ConfigReader reader) {
    return new LoggingSettings(
        reader.oneOf("logging.format", "plain", "json"),
        reader.oneOf("logging.level", "info", "trace", "debug", "warn", "error"));
  }
}
