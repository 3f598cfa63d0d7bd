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
 * An event that was read from a wire recording. Events have only the fields that apply to them; a
 * missing number reads as zero, a missing text as empty, and a missing boolean is neither true nor
 * false.
 */
public final class RecordedEvent {
  private static final JsonFactory FACTORY = new JsonFactory();

  private final Map<String, Object> values;

  private RecordedEvent(Map<String, Object> values) {
    this.values = values;
  }

  /**
   * Parses an event from its JSON text.
   *
   * @param lineNumber the line in the file, for the error message
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

  /** The kind of the event; empty if this version does not know it. */
  public Optional<RecordedEventKind> kind() {
    return RecordedEventKind.of(text(RecordField.KIND));
  }

  /** The time of the event, in microseconds since the recording began. */
  public long timeUs() {
    return whole(RecordField.TIME);
  }

  /** The name of the peer at which the event was recorded. */
  public String source() {
    return text(RecordField.SOURCE);
  }

  /** The value of a field as text; empty if it is missing. */
  public String text(RecordField field) {
    Object value = values.get(field.text());
    return value == null ? "" : value.toString();
  }

  /** The value of a numeric field as an integer; zero if it is missing or no number. */
  public long whole(RecordField field) {
    return values.get(field.text()) instanceof Number number ? number.longValue() : 0;
  }

  /** The value of a numeric field; zero if it is missing or no number. */
  public double real(RecordField field) {
    return values.get(field.text()) instanceof Number number ? number.doubleValue() : 0;
  }

  /** Whether the field is present and true. */
  public boolean isTrue(RecordField field) {
    return Boolean.TRUE.equals(values.get(field.text()));
  }

  /** Whether the field is present and false. */
  public boolean isFalse(RecordField field) {
    return Boolean.FALSE.equals(values.get(field.text()));
  }
}
