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
 * Parses one JSON object into maps, lists, strings, numbers and booleans, and reads typed fields
 * from it. Error messages name the path of the field and the offending value.
 */
public final class JsonFields {
  /**
   * Input that violates its protocol or format; the message names the field, the expected type and
   * the value found.
   */
  public static final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The maximum length to which an offending value is quoted. */
    private static final int MAX_QUOTED_CHARS = 64;

    /**
     * Creates the exception without a stack trace: it is the sender's fault, and many may come at
     * once.
     */
    public MalformedInputException(String message) {
      super(message, null, false, false);
    }

    static MalformedInputException missing(String path, String name) {
      return new MalformedInputException(path + ": field '" + name + "' is missing");
    }

    static MalformedInputException unexpected(
        String path, String name, String expected, Object value) {
      return new MalformedInputException(
          path + ": field '" + name + "' is not " + expected + ": " + quote(value));
    }

    private static String quote(Object value) {
      String text = String.valueOf(value).replace('\n', ' ').replace('\r', ' ');
      return text.length() <= MAX_QUOTED_CHARS ? text : text.substring(0, MAX_QUOTED_CHARS) + "...";
    }
  }

  private static final JsonFactory FACTORY = new JsonFactory();

  private static final int MAX_UNTRUSTED_NESTING = 32;
  private static final int MAX_UNTRUSTED_NUMBER_CHARS = 64;

  /**
   * For untrusted input: rejects duplicate names, caches no names, bounds the nesting depth and the
   * length of numbers.
   */
  private static final JsonFactory STRICT_FACTORY =
      JsonFactory.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
          .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_UNTRUSTED_NESTING)
                  .maxNumberLength(MAX_UNTRUSTED_NUMBER_CHARS)
                  .build())
          .build();

  private JsonFields() {}

  /** Parses a text from a trusted source that consists of one JSON object. */
  public static Map<String, Object> parse(String text) throws IOException {
    return parse(FACTORY, text);
  }

  /** Same as {@link #parse}, for untrusted input. */
  public static Map<String, Object> parseStrict(String text) throws IOException {
    return parse(STRICT_FACTORY, text);
  }

  private static Map<String, Object> parse(JsonFactory factory, String text) throws IOException {
    try (JsonParser in = factory.createParser(text)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new MalformedInputException("the input is not a JSON object");
      }
      Map<String, Object> top = object(in);
      if (in.nextToken() != null) {
        throw new MalformedInputException("unexpected input after the JSON object");
      }
      return top;
    } catch (JsonProcessingException e) {
      throw new MalformedInputException(
          "the input is not valid JSON: " + e.getOriginalMessage().replace('\n', ' '));
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
    return switch (in.currentToken()) {
      case START_OBJECT -> object(in);
      case START_ARRAY -> array(in);
      case VALUE_NUMBER_INT -> longOrDouble(in);
      case VALUE_NUMBER_FLOAT -> in.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_NULL -> null;
      default -> in.getText();
    };
  }

  private static List<Object> array(JsonParser in) throws IOException {
    List<Object> list = new ArrayList<>();
    while (in.nextToken() != JsonToken.END_ARRAY) {
      list.add(value(in));
    }
    return list;
  }

  /** Returns a long, or a double if the number does not fit into a long. */
  private static Object longOrDouble(JsonParser in) throws IOException {
    if (in.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      return in.getDoubleValue();
    }
    return in.getLongValue();
  }

  private static Object require(Map<String, Object> fields, String name, String path) {
    Object value = fields.get(name);
    if (value == null) {
      throw MalformedInputException.missing(path, name);
    }
    return value;
  }

  /** Returns a required whole number. */
  public static long wholeNumber(Map<String, Object> fields, String name, String path) {
    Object value = require(fields, name, path);
    if (value instanceof Long number) {
      return number;
    }
    throw MalformedInputException.unexpected(path, name, "a whole number", value);
  }

  /** Returns a whole number, or {@code defaultValue} if the field is absent. */
  public static long wholeNumber(
      Map<String, Object> fields, String name, String path, long defaultValue) {
    return fields.get(name) == null ? defaultValue : wholeNumber(fields, name, path);
  }

  /** Returns a required number. */
  public static double number(Map<String, Object> fields, String name, String path) {
    Object value = require(fields, name, path);
    if (value instanceof Number number) {
      return number.doubleValue();
    }
    throw MalformedInputException.unexpected(path, name, "a number", value);
  }

  /** Returns a number, or {@code defaultValue} if the field is absent. */
  public static double number(
      Map<String, Object> fields, String name, String path, double defaultValue) {
    return fields.get(name) == null ? defaultValue : number(fields, name, path);
  }

  /** Returns a required string. */
  public static String text(Map<String, Object> fields, String name, String path) {
    Object value = require(fields, name, path);
    if (value instanceof String text) {
      return text;
    }
    throw MalformedInputException.unexpected(path, name, "a string", value);
  }

  /** Returns a string, or {@code defaultValue} if the field is absent. */
  public static String text(
      Map<String, Object> fields, String name, String path, String defaultValue) {
    return fields.get(name) == null ? defaultValue : text(fields, name, path);
  }

  /** Returns a boolean; false if the field is absent. */
  public static boolean bool(Map<String, Object> fields, String name, String path) {
    Object value = fields.get(name);
    if (value == null) {
      return false;
    }
    if (value instanceof Boolean flag) {
      return flag;
    }
    throw MalformedInputException.unexpected(path, name, "true or false", value);
  }

  /** Returns the value as an object; the keys of parsed JSON are strings. */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> object(Object value, String path) {
    if (value instanceof Map) {
      return (Map<String, Object>) value;
    }
    throw new MalformedInputException(
        path + " is not an object: " + MalformedInputException.quote(value));
  }

  /** Returns a required array. */
  @SuppressWarnings("unchecked")
  public static List<Object> list(Map<String, Object> fields, String name, String path) {
    Object value = require(fields, name, path);
    if (value instanceof List<?>) {
      return (List<Object>) value;
    }
    throw MalformedInputException.unexpected(path, name, "an array", value);
  }
}
