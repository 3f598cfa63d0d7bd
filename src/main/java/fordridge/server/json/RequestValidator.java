package fordridge.server.json;

import fordridge.json.ClientRequest;
import fordridge.model.Durations;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.regex.Pattern;

/** Validates clients' requests against the settings, and creates VMs from them. */
final class RequestValidator {
  /** The time allowed for a response to reach its client. */
  static final Duration RESPONSE_MARGIN = Duration.ofMillis(15);

  private static final Pattern KEY_PATTERN = Pattern.compile("[0-9a-fA-F]{1,16}");
  private static final double MAX_TIME_LEFT_MILLIS = 3.6e6;
  private static final double MAX_LIFETIME_HINT_MILLIS = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final int HEX_RADIX = 16;

  private ServerSettings settings;

  RequestValidator(ServerSettings settings) {
    this.settings = settings;
  }

  /** Replaces the settings, from the next request on. */
  void setSettings(ServerSettings newSettings) {
    settings = newSettings;
  }

  /**
   * Validates a request and creates the VM that it requests.
   *
   * @param maxReadDelay how long the request may have waited to be read
   */
  Vm validate(ClientRequest request, Duration now, Duration maxReadDelay)
      throws InvalidRequestException {
    Vm vm = new Vm(request.vmId());
    vm.priorityClass = priorityClass(request);
    vm.tenant = tenant(request);
    requireDescription(request);
    requireKey(request);
    setResources(vm, request);
    vm.isClientRetry = request.isRetry() || "1".equals(request.extra("again"));
    vm.arrivedAt = now;
    vm.deadline = now.plus(timeLeft(request)).minus(RESPONSE_MARGIN).minus(maxReadDelay);
    vm.expectedLifetime = expectedLifetime(request);
    return vm;
  }

  private String priorityClass(ClientRequest request) throws InvalidRequestException {
    if (!settings.hasPriorityClass(request.priorityClass())) {
      throw new InvalidRequestException(
          "f.class", request.priorityClass(), "a configured priority class");
    }
    return request.priorityClass();
  }

  private String tenant(ClientRequest request) throws InvalidRequestException {
    String tenant = request.tenant() == null ? "" : request.tenant();
    if (!settings.allowsTenant(tenant)) {
      throw new InvalidRequestException("f.tenant", tenant, "a configured tenant");
    }
    return tenant;
  }

  private static void requireDescription(ClientRequest request) throws InvalidRequestException {
    if (request.description() == null) {
      throw new InvalidRequestException("d", null, "a description");
    }
  }

  private static void requireKey(ClientRequest request) throws InvalidRequestException {
    if (request.key() == null || !KEY_PATTERN.matcher(request.key()).matches()) {
      throw new InvalidRequestException("f.key", request.key(), "a string of 1 to 16 hex digits");
    }
  }

  private void setResources(Vm vm, ClientRequest request) throws InvalidRequestException {
    vm.cores = parseAmount(request, "cores", settings.maxCores());
    vm.memory = parseAmount(request, "memory", settings.maxMemory());
    String service = request.extra("service");
    try {
      vm.service = service == null ? 0 : Long.parseUnsignedLong(service, HEX_RADIX);
    } catch (NumberFormatException e) {
      throw new InvalidRequestException(
          "f.extras.service", service, "an unsigned 64-bit number in hex");
    }
  }

  private static double parseAmount(ClientRequest request, String name, double max)
      throws InvalidRequestException {
    String path = "f.extras." + name;
    String text = request.extra(name);
    double amount = parseNumber(path, text);
    if (!(amount > 0 && amount <= max)) {
      throw new InvalidRequestException(path, text, "more than 0 and at most " + max);
    }
    return amount;
  }

  /** How long the client waits, bounded by the start deadline of the priority class. */
  private Duration timeLeft(ClientRequest request) throws InvalidRequestException {
    double millis = parseNumber("f.left", request.timeLeftMillis());
    boolean isInRange = millis > 0 && millis <= MAX_TIME_LEFT_MILLIS;
    if (!isInRange && request.extra("at") == null) {
      throw new InvalidRequestException(
          "f.left", request.timeLeftMillis(), "more than 0 and at most " + MAX_TIME_LEFT_MILLIS);
    }
    Duration timeLeft = Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    Duration startDeadline = settings.startDeadline(request.priorityClass());
    return Durations.min(timeLeft, startDeadline);
  }

  private static Duration expectedLifetime(ClientRequest request) throws InvalidRequestException {
    if (request.lifetimeHintMillis() == null) {
      return null;
    }
    double millis = parseNumber("f.hint", request.lifetimeHintMillis());
    return millis > 0 && millis < MAX_LIFETIME_HINT_MILLIS
        ? Duration.ofNanos((long) (millis * NANOS_PER_MILLI))
        : null;
  }

  private static double parseNumber(String path, String text) throws InvalidRequestException {
    if (text == null) {
      throw new InvalidRequestException(path, null, "a number");
    }
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw new InvalidRequestException(path, text, "a number");
    }
  }
}
