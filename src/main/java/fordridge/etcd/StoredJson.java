package fordridge.etcd;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A record in the store as a flat JSON object, with typed access to its fields. Unknown fields are
 * ignored, nested ones are rejected.
 */
final class StoredJson {
  static final JsonFactory FACTORY = new JsonFactory();

  private final Map<String, Object> fields;

  private StoredJson(Map<String, Object> fields) {
    this.fields = fields;
  }

  /**
   * Parses a record.
   *
   * @throws RecordFormatException if the text is not a flat JSON object
   */
  static StoredJson parse(String text) throws RecordFormatException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      return new StoredJson(readFields(parser));
    } catch (JsonProcessingException e) {
      throw new RecordFormatException("not JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new RecordFormatException("not JSON: " + e.getMessage(), e);
    }
  }

  private static Map<String, Object> readFields(JsonParser parser)
      throws IOException, RecordFormatException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new RecordFormatException("not a JSON object");
    }
    Map<String, Object> fields = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      if (parser.nextToken().isStructStart()) {
        throw new RecordFormatException(
            "field '" + name + "' is an object or array, not a plain value");
      }
      fields.put(name, readValue(parser));
    }
    return fields;
  }

  private static Object readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case VALUE_NUMBER_INT -> parser.getLongValue();
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE, VALUE_FALSE -> parser.getBooleanValue();
      default -> parser.getText();
    };
  }

  /** Returns the value of a required string field. */
  String requiredString(String name) throws RecordFormatException {
    if (!fields.containsKey(name)) {
      throw new RecordFormatException("field '" + name + "' is missing");
    }
    return string(name, "");
  }

  String string(String name, String defaultValue) throws RecordFormatException {
    Object value = fields.getOrDefault(name, defaultValue);
    if (value instanceof String string) {
      return string;
    }
    throw new RecordFormatException("field '" + name + "' is '" + value + "', not a string");
  }

  double number(String name, double defaultValue) throws RecordFormatException {
    Object value = fields.getOrDefault(name, defaultValue);
    if (value instanceof Number number) {
      return number.doubleValue();
    }
    throw new RecordFormatException("field '" + name + "' is '" + value + "', not a number");
  }

  long wholeNumber(String name, long defaultValue) throws RecordFormatException {
    Object value = fields.getOrDefault(name, defaultValue);
    if (value instanceof Long number) {
      return number;
    }
    throw new RecordFormatException("field '" + name + "' is '" + value + "', not a whole number");
  }

  /** Returns a field of any type as text for operators; empty if it is absent. */
  String asText(String name) {
    return String.valueOf(fields.getOrDefault(name, ""));
  }

  boolean has(String name) {
    return fields.containsKey(name);
  }
}
