package fordridge.settings;

/** An enum constant that is written as a fixed word in settings files. */
public interface ConfigWord {
  /** The word that stands for this constant in a settings file. */
  String configWord();
}
