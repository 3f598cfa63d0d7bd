package fordridge.settings;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
import java.io.File;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a placer was told at start, checked whole: every value within its range and in step with the
 * others.
 */
public final class DeploymentSettings {
  /** A settings file that cannot be used; every complaint is a line of its own. */
  public static final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;
    public final transient List<String> complaints;

    public InvalidSettingsException(List<String> complaints) {
      super(String.join("\n", complaints));
      this.complaints = List.copyOf(complaints);
    }
  }

  public record PriorityClass(
      String name,
      String effect,
      String group,
      Duration window,
      Duration buildTarget,
      Duration buildTimeout,
      int priority,
      String kind,
      String spread,
      int most,
      double calm,
      double fade,
      double startWorth,
      double revenue) {
    public boolean rebuildable() {
      return effect.equals("rebuildable");
    }
  }

  public record Kind(String name, double cores, double memory) {}

  public record Tenant(String name, double share) {}

  private static final Duration LONG = Duration.ofHours(1);

  public String name;
  public int count;
  public int position;
  public int placers;
  public String zone;
  public long seed;
  public String host;
  public int port;
  public int maxOpen;
  public Duration answerMargin;
  public Duration stopWithin;
  public Duration keep;
  public int keepAnswers;
  public int unread;
  public int open;
  public String listSource;
  public List<String> etcdEndpoints;
  public String etcdPrefix;
  public String etcdToken;
  public Duration etcdLease;
  public Duration etcdSilence;
  public Duration etcdCall;
  public Duration etcdStart;
  public int etcdPage;
  public boolean etcdRegisters;
  public String list;
  public Duration poll;
  public Duration connectTimeout;
  public Duration idle;
  public Duration retryLeast;
  public Duration retryMost;
  public int line;
  public Duration unsure;
  public Duration keepalive;
  public int maxMessage;

  /** Rules of customers: a file, or empty. */
  public String constraints;

  public double acceptCores;
  public double acceptMemory;
  public String yes;
  public String reports;
  public String reportCounts;
  public boolean freeInList;
  public int mostAttempts;
  public boolean probes;
  public Duration settle;
  public Duration drainGrace;
  public double coldFrom;
  public Duration warmAfter;
  public double fallMultiple;
  public Duration fallOver;
  public double coldBears;
  public Duration mostRetryAfter;
  public boolean retryAfter;

  /** push, or ask: only what is asked for is told. */
  public String listComes;

  public Duration askWithin;
  public boolean notes;
  public double meanCores;
  public String notesHost;
  public int notesPort;
  public List<String> notesTo;

  /** Terms of a move to come, watched but not acted on: a file, or empty. */
  public String watchTerms;

  public final Map<String, Double> prices = new LinkedHashMap<>();
  public final Map<String, Double> goal = new LinkedHashMap<>();
  public final List<Kind> kinds = new ArrayList<>();
  public final Map<String, PriorityClass> priorityClasses = new LinkedHashMap<>();
  public final List<Tenant> tenants = new ArrayList<>();
  public String logFormat;
  public String logLevel;
  public int metricsPort;

  /** The settings as they were written, without defaults. */
  Config source;

  /** Folder of the file, from which relative paths are taken. */
  public File folder;

  private DeploymentSettings() {}

  public static DeploymentSettings read(File file) throws InvalidSettingsException {
    return read(parse(file), file.getAbsoluteFile().getParentFile());
  }

  /** The file as HOCON, or a plain complaint. */
  public static Config parse(File file) throws InvalidSettingsException {
    if (!file.isFile()) {
      throw new InvalidSettingsException(List.of(file + ": no such file"));
    }
    try {
      return ConfigFactory.parseFile(
              file, ConfigParseOptions.defaults().setSyntax(ConfigSyntax.CONF))
          .resolve();
    } catch (ConfigException e) {
      throw new InvalidSettingsException(List.of(e.getMessage()));
    }
  }

  public static DeploymentSettings read(Config own, File folder) throws InvalidSettingsException {
    Config all =
        own.withFallback(
            ConfigFactory.parseResources(
                DeploymentSettings.class.getClassLoader(), "fordridge-reference.conf"));
    List<String> errors = new ArrayList<>();
    DeploymentSettings d = new DeploymentSettings();
    d.folder = folder;
    d.source = own;
    ConfigReader r = new ConfigReader(all, "", errors);
    d.take(r);
    r.refuseUnknown();
    d.crossCheck(r);
    if (!errors.isEmpty()) {
      throw new InvalidSettingsException(errors);
    }
    return d;
  }

  private void take(ConfigReader r) {
    Duration ms = Duration.ofMillis(1);
    name = r.text("placer.name", 100);
    count = r.whole("placer.count", 1, 1000);
    position = r.whole("placer.position", 0, 100_000);
    placers = r.whole("placer.placers", 1, 100_000);
    zone = r.text("placer.zone", 100);
    seed = r.any("placer.seed");
    host = r.text("placer.listen.host", 255);
    port = r.whole("placer.listen.port", 0, 65535);
    maxOpen = r.whole("placer.max_open", 1, 1_000_000);
    answerMargin = r.span("placer.answer_margin", ms, Duration.ofSeconds(10));
    stopWithin = r.span("placer.stop_within", Duration.ofMillis(100), LONG);
    keep = r.span("sessions.keep", Duration.ofSeconds(1), LONG);
    keepAnswers = r.whole("sessions.keep_answers", 16, 10_000_000);
    unread = r.whole("sessions.unread", 4, 1_000_000);
    open = r.whole("sessions.open", 1, 1_000_000);
    listSource = r.word("machines.source", "file", "etcd");
    etcdEndpoints = r.texts("etcd.endpoints");
    etcdPrefix = r.text("etcd.prefix", 200);
    etcdToken = r.text("etcd.token", 4096);
    etcdLease = r.span("etcd.lease", Duration.ofSeconds(1), LONG);
    etcdSilence = r.span("etcd.silence", Duration.ofMillis(50), LONG);
    etcdCall = r.span("etcd.call", Duration.ofMillis(10), LONG);
    etcdStart = r.span("etcd.start_within", Duration.ofMillis(100), LONG);
    etcdPage = r.whole("etcd.page", 1, 100_000);
    etcdRegisters = r.flag("etcd.register");
    list = r.text("machines.list", 4096);
    poll = r.span("machines.poll", Duration.ofMillis(10), Duration.ofMinutes(1));
    connectTimeout =
        r.span("machines.connect_timeout", Duration.ofMillis(10), Duration.ofMinutes(1));
    idle = r.span("machines.idle", Duration.ofMillis(100), LONG);
    retryLeast = r.span("machines.retry_least", ms, LONG);
    retryMost = r.span("machines.retry_most", ms, LONG);
    line = r.whole("machines.line", 1, 100_000);
    unsure = r.span("machines.unsure", Duration.ZERO, Duration.ofMinutes(1));
    keepalive = r.span("machines.keepalive", Duration.ofMillis(200), LONG);
    maxMessage = r.size("machines.max_message", 1024, 16 << 20);
    constraints = r.text("constraints.file", 4096);
    acceptCores = r.number("cluster.accept.cores", 0.1, 100);
    acceptMemory = r.number("cluster.accept.memory", 0.1, 100);
    yes = r.word("cluster.yes", "running", "accepted");
    reports = r.word("cluster.reports", "answers", "probes", "none");
    reportCounts = r.word("cluster.report_counts", "used", "asked");
    freeInList = r.flag("cluster.free_in_list");
    mostAttempts = r.whole("cluster.most_claims", 1, 100);
    probes = r.flag("cluster.probes");
    settle = r.span("cluster.settle", Duration.ofMillis(100), LONG);
    drainGrace = r.span("cluster.drain_grace", ms, LONG);
    coldFrom = r.number("cluster.cold.from", 0.001, 1);
    warmAfter = r.span("cluster.cold.warm_after", ms, LONG);
    fallMultiple = r.number("cluster.cold.fall_multiple", 1, 1000);
    fallOver = r.span("cluster.cold.fall_over", ms, LONG);
    coldBears = r.number("cluster.cold.bears", 0, 1_000_000);
    mostRetryAfter = r.span("cluster.most_retry_after", Duration.ZERO, LONG);
    retryAfter = r.flag("cluster.retry_after");
    listComes = r.word("cluster.list_comes", "push", "ask");
    askWithin = r.span("cluster.ask_within", Duration.ofMillis(100), LONG);
    notes = r.flag("cluster.notes");
    meanCores = r.number("cluster.mean_cores", 0.001, 1e6);
    notesHost = r.text("placer.notes.host", 255);
    notesPort = r.whole("placer.notes.port", 0, 65535);
    notesTo = r.texts("placer.notes.to");
    watchTerms = r.text("watch.terms", 4096);
    for (String p : List.of("machines", "other_zone", "moves", "waste", "probe", "note")) {
      prices.put(p, r.number("prices." + p, 0, 1000));
    }
    for (String g : List.of("whole", "worst_window", "worst_flavour", "worst_customer")) {
      goal.put(g, r.number("goal." + g, 0, 1000));
    }
    for (ConfigReader k : r.each("kinds", null)) {
      kinds.add(
          new Kind(
              k.text("name", 100), k.number("cores", 0.01, 1e6), k.number("memory", 0.01, 1e9)));
      k.refuseUnknown();
    }
    priorityClass(new ConfigReader(defaults(r), "flavour_defaults.", new ArrayList<>()), r);
    for (ConfigReader f : r.each("flavours", "flavour_defaults")) {
      PriorityClass it = priorityClass(f, null);
      if (priorityClasses.put(it.name, it) != null) {
        f.error("name", "'" + it.name + "' twice", "each name once");
      }
      f.refuseUnknown();
    }
    for (ConfigReader c : r.each("customers", null)) {
      tenants.add(new Tenant(c.text("name", 100), c.number("share", 0, 1)));
      c.refuseUnknown();
    }
    logFormat = r.word("logging.format", "plain", "json");
    logLevel = r.word("logging.level", "info", "trace", "debug", "warn", "error");
    metricsPort = r.whole("metrics.port", -1, 65535);
  }

  private static Config defaults(ConfigReader r) {
    return ConfigFactory.parseResources(
            DeploymentSettings.class.getClassLoader(), "fordridge-reference.conf")
        .getConfig("flavour_defaults")
        .withFallback(ConfigFactory.parseMap(Map.of("name", "")));
  }

  /** One flavour; {@code into} also learns the names of the defaults' keys. */
  private static PriorityClass priorityClass(ConfigReader f, ConfigReader into) {
    Duration ms = Duration.ofMillis(1);
    PriorityClass it =
        new PriorityClass(
            f.text("name", 100),
            f.word("effect", "one-shot", "tokened", "rebuildable"),
            f.word("group", "cell", "zone", "all"),
            f.span("window", Duration.ZERO, LONG),
            f.span("build_target", ms, LONG),
            f.span("build_timeout", ms, LONG),
            f.whole("priority", 0, 3),
            f.text("kind", 100),
            f.word("spread", "off", "machine", "cell", "zone"),
            f.whole("most", 1, 1_000_000),
            f.number("calm", 0, 1),
            f.number("fade", 0, 10),
            f.number("start_worth", 0, 1e6),
            f.number("revenue", 0, 1e9));
    if (into != null) {
      for (String key :
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
              "revenue")) {
        into.knows("flavour_defaults." + key);
      }
    }
    return it;
  }

  /** What one value alone cannot tell. */
  private void crossCheck(ConfigReader r) {
    Set<String> kindNames = new HashSet<>();
    for (Kind k : kinds) {
      if (!kindNames.add(k.name)) {
        r.error("kinds", "'" + k.name + "' twice", "each name once");
      }
    }
    if (kinds.isEmpty()) {
      r.error("kinds", "none", "at least one kind of machine");
    }
    if (priorityClasses.isEmpty()) {
      r.error("flavours", "none", "at least one flavour");
    }
    for (PriorityClass f : priorityClasses.values()) {
      if (!f.kind.isEmpty() && !kindNames.contains(f.kind)) {
        r.error(
            "flavours",
            "'" + f.name + "' needs kind '" + f.kind + "'",
            "a kind that some machine has: "
                + String.join(", ", new java.util.TreeSet<>(kindNames)));
      }
      if (f.buildTarget.compareTo(f.buildTimeout) > 0) {
        r.error(
            "flavours",
            "'"
                + f.name
                + "' with build_target "
                + f.buildTarget.toMillis()
                + "ms past its build_timeout",
            "at most " + f.buildTimeout.toMillis() + "ms");
      }
      if (answerMargin.multipliedBy(4).compareTo(f.buildTimeout) > 0) {
        r.error(
            "placer.answer_margin",
            answerMargin.toMillis() + "ms",
            "at most a quarter of the build_timeout"
                + " of '"
                + f.name
                + "', "
                + f.buildTimeout.toMillis()
                + "ms");
      }
    }
    double shares = tenants.stream().mapToDouble(Tenant::share).sum();
    if (shares > 1.0001) {
      r.error(
          "customers",
          "shares of " + Math.round(shares * 1000) / 1000.0 + " in all",
          "at most 1 in all");
    }
    if (position + count > Math.max(placers, count)) {
      r.error(
          "placer.position",
          position + " for " + count + " of " + placers + " placers",
          "position + count at most placers");
    }
    for (String e : listSource.equals("etcd") ? etcdEndpoints : List.<String>of()) {
      if (!e.matches("[^:]+:[0-9]{1,5}")) {
        r.error("etcd.endpoints", "'" + e + "'", "host:port");
      }
    }
    if (listSource.equals("etcd") && etcdEndpoints.isEmpty()) {
      r.error("etcd.endpoints", "none", "at least one host:port where machines.source is etcd");
    }
    if (etcdPrefix.isEmpty() || etcdPrefix.endsWith("/")) {
      r.error("etcd.prefix", "'" + etcdPrefix + "'", "a path without a slash at its end");
    }
    if (retryLeast.compareTo(retryMost) > 0) {
      r.error("machines.retry_least", retryLeast.toMillis() + "ms", "at most machines.retry_most");
    }
    if (settle.compareTo(drainGrace) < 0) {
      r.error("cluster.settle", settle.toMillis() + "ms", "at least cluster.drain_grace");
    }
    for (String o : notesTo) {
      if (!o.matches("[^:]+:[0-9]{1,5}")
          || Integer.parseInt(o.substring(o.lastIndexOf(':') + 1)) > 65535) {
        r.error("placer.notes.to", "'" + o + "'", "host:port");
      }
    }
    if (notes && placers > 1 && notesTo.isEmpty()) {
      r.error(
          "placer.notes.to", "none", "host:port of each other placer where cluster.notes is on");
    }
    if (askWithin.compareTo(settle) < 0 && listComes.equals("ask")) {
      r.error("cluster.ask_within", askWithin.toMillis() + "ms", "at least cluster.settle");
    }
    if (goal.values().stream().mapToDouble(Double::doubleValue).sum() <= 0) {
      r.error("goal", "weights that sum to 0", "at least one above 0");
    }
  }

  public File listFile() {
    File f = new File(list);
    return f.isAbsolute() ? f : new File(folder, list);
  }

  public File constraintsFile() {
    File f = new File(constraints);
    return constraints.isEmpty() ? null : f.isAbsolute() ? f : new File(folder, constraints);
  }

  public File watchFile() {
    File f = new File(watchTerms);
    return watchTerms.isEmpty() ? null : f.isAbsolute() ? f : new File(folder, watchTerms);
  }

  /** How many placers share the cluster, as the module is told. */
  public int allPlacers() {
    return Math.max(placers, count);
  }
}
