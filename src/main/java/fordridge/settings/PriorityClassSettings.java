package fordridge.settings;

import static fordridge.settings.Limits.MAX_DURATION;
import static fordridge.settings.Limits.MIN_DURATION;

import java.time.Duration;
import java.util.List;

/**
 * A priority class of VMs (an entry of {@code flavours}).
 *
 * @param retrySafety whether a VM may be started twice
 * @param deduplicationScope the set of machines within which a repeated idempotency key is
 *     recognized
 * @param deduplicationWindow how long an idempotency key is remembered
 * @param startLatencyObjective a VM should be running within this time after its request
 * @param startDeadline a VM that is not running within this time has failed
 * @param priority rank from 0 to 3, for cores, evictions and preemption
 * @param requiredKind kind of machine that VMs of this class must run on; empty for any
 * @param spreadScope topology domain within which the number of VMs of one service is limited
 * @param maxPerSpreadScope maximum number of VMs of one service in one such domain
 * @param fullSpeedUtilization VMs run at full speed up to this core utilization of their machine
 * @param degradationSpan range of utilization above that, over which the speed of VMs falls to zero
 * @param startValueSeconds value of a start within the objective, in seconds of running time
 * @param priorityWeight value of one second at full speed for a VM of mean size
 */
public record PriorityClassSettings(
    String name,
    RetrySafety retrySafety,
    DeduplicationScope deduplicationScope,
    Duration deduplicationWindow,
    Duration startLatencyObjective,
    Duration startDeadline,
    int priority,
    String requiredKind,
    SpreadScope spreadScope,
    int maxPerSpreadScope,
    double fullSpeedUtilization,
    double degradationSpan,
    double startValueSeconds,
    double priorityWeight) {
  static final String DEFAULTS_KEY = "flavour_defaults";
  private static final List<String> KEYS_WITH_DEFAULTS =
      List.of(
          "effect",
          "group",
          "window",
          "build_target",
          "build_timeout",
          "priority",
          "kind",
          "spread",
          "most",
          "calm",
          "fade",
          "start_worth",
          "revenue");

  /**
   * Whether a VM may be started twice. The strictest constant comes first, as it replaces an
   * invalid value.
   */
  public enum RetrySafety implements ConfigWord {
    NON_IDEMPOTENT("one-shot"),
    IDEMPOTENT_WITH_KEY("tokened"),
    IDEMPOTENT("rebuildable");

    private final String configWord;

    RetrySafety(String configWord) {
      this.configWord = configWord;
    }

    @Override
    public String configWord() {
      return configWord;
    }
  }

  /** The set of machines within which a repeated idempotency key is recognized. */
  public enum DeduplicationScope implements ConfigWord {
    CELL("cell"),
    ZONE("zone"),
    ALL("all");

    private final String configWord;

    DeduplicationScope(String configWord) {
      this.configWord = configWord;
    }

    @Override
    public String configWord() {
      return configWord;
    }
  }

  /** The topology domain within which the number of VMs of one service is limited. */
  public enum SpreadScope implements ConfigWord {
    OFF("off"),
    MACHINE("machine"),
    CELL("cell"),
    ZONE("zone");

    private final String configWord;

    SpreadScope(String configWord) {
      this.configWord = configWord;
    }

    @Override
    public String configWord() {
      return configWord;
    }
  }

  static PriorityClassSettings read(ConfigReader reader) {
    PriorityClassSettings priorityClass =
        new PriorityClassSettings(
            reader.string("name", Limits.MAX_NAME_LENGTH),
            reader.enumConstant("effect", RetrySafety.values()),
            reader.enumConstant("group", DeduplicationScope.values()),
            reader.duration("window", Duration.ZERO, MAX_DURATION),
            reader.duration("build_target", MIN_DURATION, MAX_DURATION),
            reader.duration("build_timeout", MIN_DURATION, MAX_DURATION),
            reader.integer("priority", 0, 3),
            reader.string("kind", Limits.MAX_NAME_LENGTH),
            reader.enumConstant("spread", SpreadScope.values()),
            reader.integer("most", 1, 1_000_000),
            reader.decimal("calm", 0, 1),
            reader.decimal("fade", 0, 10),
            reader.decimal("start_worth", 0, 1e6),
            reader.decimal("revenue", 0, 1e9));
    reader.rejectUnknownKeys();
    return priorityClass;
  }

  /** Marks the keys of the class defaults as known, even if no priority class uses them. */
  static void markDefaultsKnown(ConfigReader root) {
    KEYS_WITH_DEFAULTS.forEach(key -> root.markKnown(DEFAULTS_KEY + "." + key));
  }

  /** Whether a VM may be started any number of times. */
  public boolean isIdempotent() {
    return retrySafety == RetrySafety.IDEMPOTENT;
  }

  void check(ConfigReader root) {
    if (startLatencyObjective.compareTo(startDeadline) > 0) {
      root.reject(
          "flavours",
          "'"
              + name
              + "' with build_target "
              + startLatencyObjective.toMillis()
              + "ms past its build_timeout",
          "at most " + startDeadline.toMillis() + "ms");
    }
  }
}
