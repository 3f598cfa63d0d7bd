package fordridge.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads one line of JSON into plain values, and takes typed fields out of them with plain
 * complaints.
 */
public final class JsonFields {
  /** A line that the wire does not allow; the message says what and where. */
  public static final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MalformedInputException(String what) {
      super(what, null, false, false);
    }
  }

  private static final JsonFactory FACTORY = new JsonFactory();

  /** For what strangers send: no name twice, nothing learned from their names, no deep nesting. */
  private static final JsonFactory STRICT =
      JsonFactory.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
          .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(32).maxNumberLength(64).build())
          .build();

  private JsonFields() {}

  public static Map<String, Object> line(String text) throws IOException {
    return line(FACTORY, text);
  }

  /** As {@link #line}, of a line that a stranger sent. */
  public static Map<String, Object> strict(String text) throws IOException {
    return line(STRICT, text);
  }

  private static Map<String, Object> line(JsonFactory factory, String text) throws IOException {
    try (JsonParser in = factory.createParser(text)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new MalformedInputException("the line is not a JSON object");
      }
      Map<String, Object> top = object(in);
      if (in.nextToken() != null) {
        throw new MalformedInputException("more follows the JSON object");
      }
      return top;
    } catch (JsonProcessingException e) {
      throw new MalformedInputException(
          "the line is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
    }
  }

  private static Map<String, Object> object(JsonParser in) throws IOException {
    Map<String, Object> map = new LinkedHashMap<>(16);
    while (in.nextToken() != JsonToken.END_OBJECT) {
      String name = in.currentName();
      in.nextToken();
      map.put(name, value(in));
    }
    return map;
  }

  private static Object value(JsonParser in) throws IOException {
    switch (in.currentToken()) {
      case START_OBJECT:
        return object(in);
      case START_ARRAY:
        List<Object> list = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          list.add(value(in));
        }
        return list;
      case VALUE_NUMBER_INT:
        return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
            ? (Object) in.getDoubleValue()
            : (Object) in.getLongValue();
      case VALUE_NUMBER_FLOAT:
        return in.getDoubleValue();
      case VALUE_TRUE:
        return Boolean.TRUE;
      case VALUE_FALSE:
        return Boolean.FALSE;
      case VALUE_NULL:
        return null;
      default:
        return in.getText();
    }
  }

  private static Object needed(Map<String, Object> from, String name, String where) {
    Object v = from.get(name);
    if (v == null) {
      throw new MalformedInputException(where + ": field '" + name + "' is missing");
    }
    return v;
  }

  private static MalformedInputException wrong(String name, String where, String wanted) {
    return new MalformedInputException(where + ": field '" + name + "' is not " + wanted);
  }

  public static long whole(Map<String, Object> from, String name, String where) {
    if (needed(from, name, where) instanceof Long v) {
      return v;
    }
    throw wrong(name, where, "a whole number");
  }

  public static long whole(Map<String, Object> from, String name, String where, long absent) {
    return from.get(name) == null ? absent : whole(from, name, where);
  }

  public static double number(Map<String, Object> from, String name, String where) {
    if (needed(from, name, where) instanceof Number v) {
      return v.doubleValue();
    }
    throw wrong(name, where, "a number");
  }

  public static double number(Map<String, Object> from, String name, String where, double absent) {
    return from.get(name) == null ? absent : number(from, name, where);
  }

  public static String text(Map<String, Object> from, String name, String where) {
    if (needed(from, name, where) instanceof String v) {
      return v;
    }
    throw wrong(name, where, "a string");
  }

  public static String text(Map<String, Object> from, String name, String where, String absent) {
    return from.get(name) == null ? absent : text(from, name, where);
  }

  public static boolean flag(Map<String, Object> from, String name, String where) {
    Object v = from.get(name);
    if (v == null) {
      return false;
    }
    if (v instanceof Boolean b) {
      return b;
    }
    throw wrong(name, where, "true or false");
  }

  @SuppressWarnings("unchecked")
  public static Map<String, Object> object(Object v, String where) {
    if (v instanceof Map) {
      return (Map<String, Object>) v;
    }
    throw new MalformedInputException(where + " is not an object");
  }

  @SuppressWarnings("unchecked")
  public static List<Object> list(Map<String, Object> from, String name, String where) {
    if (needed(from, name, where) instanceof List<?> v) {
      return (List<Object>) v;
    }
    throw wrong(name, where, "an array");
  }
}
