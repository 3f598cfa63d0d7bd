package standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads one JSON value; numbers become Double, objects Map, arrays List. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skipSpace();
    if (json.at != text.length() || !(value instanceof Map)) {
      throw new IllegalArgumentException("not one JSON object: " + text);
    }
    return (Map<String, Object>) value;
  }

  static String quote(String text) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < 0x20) {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }

  private Object value() {
    skipSpace();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      while (!taken('}')) {
        skipSpace();
        String key = string();
        expect(':');
        map.put(key, value());
        taken(',');
      }
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      while (!taken(']')) {
        list.add(value());
        taken(',');
      }
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> Double.valueOf(word);
    };
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 'r' -> out.append('\r');
        case 't' -> out.append('\t');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }

  private void expect(char c) {
    if (!taken(c)) {
      throw new IllegalArgumentException("expected " + c + " at " + at + ": " + text);
    }
  }

  private boolean taken(char c) {
    skipSpace();
    if (at < text.length() && text.charAt(at) == c) {
      at++;
      return true;
    }
    return false;
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }
}
