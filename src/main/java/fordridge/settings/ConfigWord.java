package fordridge.settings;

/** A constant that settings files write as a fixed word. */
public interface ConfigWord {
  /** The word as it stands in a settings file. */
  String configWord();
}
