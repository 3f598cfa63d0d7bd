package fordridge.json;

import java.util.Map;

/**
 * A client's placement request as received, before its fields are validated: an absent field is
 * null, and numbers are still text.
 *
 * @param vmId the id of the VM, 16 hex digits
 * @param priorityClass the name of the priority class
 * @param tenant the name of the tenant
 * @param key the routing key; null if it is absent or not a string
 * @param idempotencyKey the idempotency key
 * @param timeLeftMillis how long the client waits for a response
 * @param lifetimeHintMillis how long the VM is expected to run
 * @param isRetry whether the field that marks a client's retry is set
 * @param extras further fields, as {@code name:value} joined by semicolons
 * @param description the VM's description, forwarded unchanged
 */
public record ClientRequest(
    String vmId,
    String priorityClass,
    String tenant,
    String key,
    String idempotencyKey,
    String timeLeftMillis,
    String lifetimeHintMillis,
    boolean isRetry,
    String extras,
    String description) {

  static ClientRequest of(String vmId, Map<String, Object> fields, String description) {
    return new ClientRequest(
        vmId,
        text(fields.get("class")),
        text(fields.get("tenant")),
        fields.get("key") instanceof String key ? key : null,
        text(fields.get("idem")),
        text(fields.get("left")),
        text(fields.get("hint")),
        "1".equals(text(fields.get("retry"))),
        text(fields.get("extras")),
        description);
  }

  private static String text(Object value) {
    return value == null ? null : value.toString();
  }

  /** The value of the extra with exactly this name, or null if there is none. */
  public String extra(String name) {
    if (extras == null) {
      return null;
    }
    String prefix = name + ":";
    int start = 0;
    while (start <= extras.length()) {
      int separator = extras.indexOf(';', start);
      int end = separator < 0 ? extras.length() : separator;
      if (extras.startsWith(prefix, start)) {
        return extras.substring(start + prefix.length(), end);
      }
      start = end + 1;
    }
    return null;
  }
}
