package fordridge.etcd;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A record of the store as a flat JSON object, with typed access to its fields. Unknown fields are
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
   * @throws RecordFormatException if it is no flat JSON object
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
        throw new RecordFormatException("field '" + name + "' is nested");
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

  /** A field that must be there. */
  String requiredString(String name) throws RecordFormatException {
    if (!fields.containsKey(name)) {
      throw new RecordFormatException("field '" + name + "' is missing");
    }
    return string(name, "");
  }

  String string(String name, String absent) throws RecordFormatException {
    Object value = fields.getOrDefault(name, absent);
    if (value instanceof String string) {
      return string;
    }
    throw new RecordFormatException("field '" + name + "' is not a text");
  }

  double number(String name, double absent) throws RecordFormatException {
    Object value = fields.getOrDefault(name, absent);
    if (value instanceof Number number) {
      return number.doubleValue();
    }
    throw new RecordFormatException("field '" + name + "' is not a number");
  }

  long wholeNumber(String name, long absent) throws RecordFormatException {
    Object value = fields.getOrDefault(name, absent);
    if (value instanceof Long number) {
      return number;
    }
    throw new RecordFormatException("field '" + name + "' is not a whole number");
  }

  /** A field of any type as text, for operators to read; empty where it is absent. */
  String describe(String name) {
    return String.valueOf(fields.getOrDefault(name, ""));
  }

  boolean has(String name) {
    return fields.containsKey(name);
  }
}
