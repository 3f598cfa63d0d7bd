package fordridge.faults;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One line of the protocol, parsed and written without the server's codec. */
record Message(String line) {
  private static final Pattern TYPE = Pattern.compile("\"t\":\"(\\w+)\"");
  private static final Pattern ID = Pattern.compile("\"ref\":\"([0-9a-f]{16})\"");
  private static final Pattern CAUSE = Pattern.compile("\"c\":(\\d+)");
  private static final Pattern TIME_LEFT = Pattern.compile("\"left\":\"(\\d+)\"");
  private static final Pattern DESCRIPTION = Pattern.compile("\"d\":\"([^\"]*)\"");

  /** A placement request, offer or handover of a VM, to a scheduler or machine. */
  static final String REQUEST = "new";

  static final String ACCEPTED = "up";
  static final String ENDED = "down";
  static final String HEALTH_CHECK = "hb";
  static final String HEALTHY = "hb_ok";
  static final String ACKNOWLEDGED = "ack";
  static final String MIGRATED = "shift";
  static final int CAUSE_WITHDRAWN = 16;
  static final int CAUSE_DONE = 16;
  static final int CAUSE_CANCELLED = 31;
  static final int CAUSE_FULL = 34;
  static final int CAUSE_OVERLOADED = 42;
  static final int CAUSE_RESET = 41;
  static final int CAUSE_FAILED = 47;
  static final int CAUSE_NEVER_SENT = 102;

  /** A machine's report on a running VM. */
  static final String REPORT = "tell";

  private static String group(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher.find() ? matcher.group(1) : "";
  }

  String type() {
    return group(TYPE, line);
  }

  String id() {
    return group(ID, line);
  }

  String description() {
    return group(DESCRIPTION, line);
  }

  /** The cause, or -1 if there is none. */
  int cause() {
    String cause = group(CAUSE, line);
    return cause.isEmpty() ? -1 : Integer.parseInt(cause);
  }

  long timeLeftMillis() {
    String left = group(TIME_LEFT, line);
    return left.isEmpty() ? -1 : Long.parseLong(left);
  }

  static String of(String type, String id, int cause) {
    return "{\"t\":\"" + type + "\",\"ref\":\"" + id + "\",\"f\":{},\"c\":" + cause + "}";
  }

  /** The end of a VM, with the machine's note on its reason. */
  static String ended(String id, int cause, String note) {
    return "{\"t\":\"down\",\"ref\":\""
        + id
        + "\",\"f\":{\"note\":\""
        + note
        + "\"},\"c\":"
        + cause
        + "}";
  }

  static String report(String id) {
    return "{\"t\":\"tell\",\"ref\":\"" + id + "\",\"f\":{\"note\":\"c\",\"value\":\"0.5\"}}";
  }

  static String accepted(String id, String description) {
    return "{\"t\":\"up\",\"ref\":\"" + id + "\",\"f\":{},\"d\":\"" + description + "\"}";
  }

  static String request(String id, String priorityClass, long timeLeftMillis, String extras) {
    return "{\"t\":\"new\",\"ref\":\""
        + id
        + "\",\"f\":{\"class\":\""
        + priorityClass
        + "\",\"left\":\""
        + timeLeftMillis
        + "\",\"tenant\":\"acme\",\"key\":\""
        + id
        + "\",\"extras\":\""
        + extras
        + "\"},\"d\":\"any\"}";
  }
}
