package fordridge.emulator.record;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.BufferedOutputStream;
import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Records the messages of the emulated peers and related events, one JSON object per line, ordered
 * by a single clock.
 *
 * <p>Each event has its time (microseconds since the recorder was opened), its source, its kind and
 * the fields of that kind. A message that an injected fault suppressed is recorded with {@link
 * RecordField#IS_LOST}, as it still shows what the machine did. Thread-safe; events after {@link
 * #close} are dropped.
 */
public final class WireRecorder implements AutoCloseable {
  private static final int BUFFER_BYTES = 1 << 18;
  private static final JsonFactory FACTORY = new JsonFactory();

  private final OutputStream out;
  private final JsonGenerator generator;
  private final long openedAtNanos = System.nanoTime();

  /** Opens the file and starts the clock. */
  public WireRecorder(File file) throws IOException {
    out = new BufferedOutputStream(new FileOutputStream(file), BUFFER_BYTES);
    generator = FACTORY.createGenerator(out);
    generator.setRootValueSeparator(new SerializedString("\n"));
  }

  /** Microseconds since the recorder was opened. */
  public long nowUs() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - openedAtNanos);
  }

  /** Begins an event; it is recorded with the time at which {@link Event#write} is called. */
  public Event event(String source, RecordedEventKind kind) {
    return new Event(source, kind);
  }

  private record FieldValue(RecordField field, Object value) {}

  /** A builder of an event. Not thread-safe. */
  public final class Event {
    private final String source;
    private final RecordedEventKind kind;
    private final List<FieldValue> fields = new ArrayList<>();

    private Event(String source, RecordedEventKind kind) {
      this.source = source;
      this.kind = kind;
    }

    /** Adds a text field. */
    public Event with(RecordField field, String value) {
      return add(field, value);
    }

    /** Adds a field with the text form of an enum constant. */
    public Event with(RecordField field, Enum<?> value) {
      return add(field, value.toString());
    }

    /** Adds an integer field. */
    public Event with(RecordField field, long value) {
      return add(field, value);
    }

    /** Adds a floating-point field. */
    public Event with(RecordField field, double value) {
      return add(field, value);
    }

    /** Adds a boolean field. */
    public Event with(RecordField field, boolean value) {
      return add(field, value);
    }

    private Event add(RecordField field, Object value) {
      fields.add(new FieldValue(field, value));
      return this;
    }

    /** Appends the event to the recording. */
    public void write() {
      append(this);
    }
  }

  private synchronized void append(Event event) {
    if (generator.isClosed()) {
      return;
    }
    try {
      generator.writeStartObject();
      generator.writeNumberField(RecordField.TIME.text(), nowUs());
      generator.writeStringField(RecordField.SOURCE.text(), event.source);
      generator.writeStringField(RecordField.KIND.text(), event.kind.text());
      for (FieldValue field : event.fields) {
        generator.writeFieldName(field.field().text());
        writeValue(field.value());
      }
      generator.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void writeValue(Object value) throws IOException {
    if (value instanceof Boolean booleanValue) {
      generator.writeBoolean(booleanValue);
    } else if (value instanceof Double doubleValue) {
      generator.writeNumber(doubleValue);
    } else if (value instanceof Long longValue) {
      generator.writeNumber(longValue);
    } else {
      generator.writeString((String) value);
    }
  }

  @Override
  public synchronized void close() throws IOException {
    if (generator.isClosed()) {
      return;
    }
    generator.writeRaw('\n');
    generator.close();
    out.close();
  }
}
