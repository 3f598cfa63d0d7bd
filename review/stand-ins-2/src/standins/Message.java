package standins;

import java.util.Map;

/** One line of the protocol. */
record Message(String type, String ref, Map<String, Object> fields, int cause, String text) {
  @SuppressWarnings("unchecked")
  static Message read(String line) {
    Map<String, Object> json = Json.object(line);
    Object fields = json.get("f");
    Object cause = json.get("c");
    return new Message(
        (String) json.get("t"),
        (String) json.get("ref"),
        fields == null ? Map.of() : (Map<String, Object>) fields,
        cause == null ? -1 : ((Double) cause).intValue(),
        (String) json.get("d"));
  }

  /** A line without its line feed; {@code fields} are pairs of name and value. */
  static String line(String type, String ref, int cause, String text, String... fields) {
    StringBuilder out = new StringBuilder("{\"t\":\"" + type + "\",\"ref\":\"" + ref + "\",\"f\":{");
    for (int i = 0; i < fields.length; i += 2) {
      out.append(i == 0 ? "" : ",").append(Json.quote(fields[i])).append(':');
      out.append(Json.quote(fields[i + 1]));
    }
    out.append('}');
    if (cause >= 0) {
      out.append(",\"c\":").append(cause);
    }
    if (text != null) {
      out.append(",\"d\":").append(Json.quote(text));
    }
    return out.append('}').toString();
  }
}
