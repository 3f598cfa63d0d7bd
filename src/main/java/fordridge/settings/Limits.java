package fordridge.settings;

import java.time.Duration;

/** Limits that are common to several blocks of the settings. */
final class Limits {
  static final Duration MIN_DURATION = Duration.ofMillis(1);
  static final Duration MAX_DURATION = Duration.ofHours(1);
  static final int MAX_NAME_LENGTH = 100;
  static final int MAX_HOST_LENGTH = 255;
  static final int MAX_PATH_LENGTH = 4096;
  static final int MAX_PORT = 65_535;
  static final int MAX_SCHEDULERS = 100_000;

  private Limits() {}
}
