package fordridge.emulator.record;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One event read back from a wire recording. A field that is missing or of another type reads as
 * zero, false or an empty text, as the recorder leaves out what does not apply.
 */
public final class RecordedEvent {
  private static final JsonFactory FACTORY = new JsonFactory();

  private final Map<String, Object> values;

  private RecordedEvent(Map<String, Object> values) {
    this.values = values;
  }

  /**
   * Reads an event from its JSON text.
   *
   * @param lineNumber the line in the file, for the error
   * @throws InvalidRecordingException if the text is not JSON
   */
  public static RecordedEvent parse(String json, long lineNumber) throws IOException {
    Map<String, Object> values = new HashMap<>();
    try (JsonParser parser = FACTORY.createParser(json)) {
      parser.nextToken();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        values.put(name, value(parser, parser.nextToken()));
      }
    } catch (JsonProcessingException e) {
      throw new InvalidRecordingException(lineNumber, "not JSON: " + e.getOriginalMessage(), e);
    }
    return new RecordedEvent(values);
  }

  private static Object value(JsonParser parser, JsonToken token) throws IOException {
    return switch (token) {
      case VALUE_NUMBER_INT -> parser.getLongValue();
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE, VALUE_FALSE -> parser.getBooleanValue();
      default -> parser.getText();
    };
  }

  /** The kind, empty if this version does not know it. */
  public Optional<RecordKind> kind() {
    return RecordKind.of(text(RecordField.KIND));
  }

  /** Microseconds since the recording began. */
  public long timeUs() {
    return whole(RecordField.TIME);
  }

  /** The name of the peer at which the event was recorded. */
  public String source() {
    return text(RecordField.SOURCE);
  }

  /** A text, empty if it is missing. */
  public String text(RecordField field) {
    Object value = values.get(field.text());
    return value == null ? "" : value.toString();
  }

  /** A whole number, zero if it is missing. */
  public long whole(RecordField field) {
    return values.get(field.text()) instanceof Number number ? number.longValue() : 0;
  }

  /** A real number, zero if it is missing. */
  public double real(RecordField field) {
    return values.get(field.text()) instanceof Number number ? number.doubleValue() : 0;
  }

  /** Whether the field is there and true. */
  public boolean isTrue(RecordField field) {
    return Boolean.TRUE.equals(values.get(field.text()));
  }

  /** Whether the field is there and false. */
  public boolean isFalse(RecordField field) {
    return Boolean.FALSE.equals(values.get(field.text()));
  }
}
