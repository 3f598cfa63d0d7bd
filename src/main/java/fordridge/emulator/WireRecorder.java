package fordridge.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedOutputStream;
import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

/**
 * What passed at the stand-ins' ends of the sockets, one JSON object a line, in the order of a
 * single clock. Lines have t (microseconds since the day began), at (which end), what, and fields
 * of that message. A message that a fault kept from going out is tapped with lost = true: it tells
 * what the machine did.
 */
final class WireRecorder implements AutoCloseable {
  private static final JsonFactory FACTORY = new JsonFactory();
  private final OutputStream out;
  private final JsonGenerator gen;
  private final long begun = System.nanoTime();
  private long lines;

  WireRecorder(File file) throws IOException {
    out = new BufferedOutputStream(new FileOutputStream(file), 1 << 18);
    gen = FACTORY.createGenerator(out);
    gen.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
  }

  long now() {
    return (System.nanoTime() - begun) / 1000;
  }

  /** One line; fields are pairs of name and value. */
  synchronized void line(String at, String what, Object... fields) {
    if (gen.isClosed()) {
      return;
    }
    try {
      gen.writeStartObject();
      gen.writeNumberField("t", now());
      gen.writeStringField("at", at);
      gen.writeStringField("what", what);
      for (int i = 0; i < fields.length; i += 2) {
        gen.writeFieldName((String) fields[i]);
        Object v = fields[i + 1];
        if (v instanceof Boolean b) {
          gen.writeBoolean(b);
        } else if (v instanceof Double x) {
          gen.writeNumber(x);
        } else if (v instanceof Number n) {
          gen.writeNumber(n.longValue());
        } else {
          gen.writeString(String.valueOf(v));
        }
      }
      gen.writeEndObject();
      lines++;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  synchronized long lines() {
    return lines;
  }

  @Override
  public synchronized void close() throws IOException {
    if (gen.isClosed()) {
      return;
    }
    gen.writeRaw('\n');
    gen.close();
    out.close();
  }
}
