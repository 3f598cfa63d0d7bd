package fordridge.simulation;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fordridge.json.JsonFields;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The simulator's wire: batches of events in, one reply of actions for each out. Decides nothing.
 */
public final class SimulatorAdapter {
  private static final JsonFactory FACTORY = new JsonFactory();

  private final BufferedReader in;
  private final OutputStream out;
  private final PrintStream err;
  private final Map<Long, SimulatedScheduler> seats = new TreeMap<>();
  private final Map<Long, List<Object>> lists = new TreeMap<>();

  public SimulatorAdapter(InputStream in, OutputStream out, PrintStream err) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    this.out = out;
    this.err = err;
  }

  /** Serves until the input ends; the result is the exit code. */
  public int run() throws IOException {
    long number = 0;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      number++;
      byte[] reply;
      try {
        reply = batch(JsonFields.parse(line));
      } catch (JsonFields.MalformedInputException e) {
        err.println("fordridge drill: line " + number + ": " + e.getMessage());
        return 1;
      }
      out.write(reply);
      out.flush();
    }
    return 0;
  }

  private byte[] batch(Map<String, Object> batch) throws IOException {
    Duration clock = Duration.of(JsonFields.whole(batch, "clockUs", "batch"), ChronoUnit.MICROS);
    long n = JsonFields.whole(batch, "n", "batch");
    StringWriter text = new StringWriter(256);
    JsonGenerator gen = FACTORY.createGenerator(text);
    gen.writeStartObject();
    gen.writeNumberField("n", n);
    gen.writeArrayFieldStart("groups");
    int g = 0;
    for (Object o : JsonFields.list(batch, "groups", "batch")) {
      String where = "groups[" + g++ + "]";
      Map<String, Object> group = JsonFields.object(o, where);
      if (group.get("placerId") == null) {
        // A list of machines belongs to no instance; it may stand among the groups by itself.
        if ("inventory".equals(group.get("msg"))) {
          inventory(group, where);
        } else if (group.get("input") != null) {
          int e = 0;
          for (Object event : JsonFields.list(group, "input", where)) {
            String at = where + ".input[" + e++ + "]";
            inventory(JsonFields.object(event, at), at);
          }
        }
        continue;
      }
      group(group, where, clock, gen);
    }
    gen.writeEndArray();
    gen.writeEndObject();
    gen.close();
    return text.append('\n').toString().getBytes(StandardCharsets.UTF_8);
  }

  private void group(Map<String, Object> group, String where, Duration clock, JsonGenerator gen)
      throws IOException {
    long placer = JsonFields.whole(group, "placerId", where);
    gen.writeStartObject();
    gen.writeNumberField("placerId", placer);
    gen.writeArrayFieldStart("output");
    int e = 0;
    boolean broken = false;
    for (Object o : JsonFields.list(group, "input", where)) {
      String at = where + ".input[" + e++ + "]";
      Map<String, Object> event = JsonFields.object(o, at);
      String msg = JsonFields.text(event, "msg", at);
      if (msg.equals("inventory")) {
        inventory(event, at);
        continue;
      }
      at = at + " (" + msg + ")";
      if (msg.equals("create")) {
        seats.put(placer, new SimulatedScheduler());
      }
      SimulatedScheduler seat = seats.get(placer);
      if (seat == null) {
        continue;
      }
      if (msg.equals("destroy")) {
        seats.remove(placer);
        continue;
      }
      if (broken) {
        continue;
      }
      try {
        seat.event(msg, event, at, clock, gen, lists);
      } catch (JsonFields.MalformedInputException | IOException malformed) {
        throw malformed;
      } catch (RuntimeException fault) {
        broken = true;
        StackTraceElement[] trace = fault.getStackTrace();
        gen.writeStartObject();
        gen.writeStringField("msg", "broken");
        gen.writeStringField("reasonText", fault + (trace.length > 0 ? " at " + trace[0] : ""));
        gen.writeEndObject();
        fault.printStackTrace(err);
      }
    }
    gen.writeEndArray();
    gen.writeEndObject();
  }

  private void inventory(Map<String, Object> event, String where) {
    lists.put(JsonFields.whole(event, "slot", where), JsonFields.list(event, "lines", where));
  }
}
