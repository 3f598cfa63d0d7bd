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
 * Protocol adapter for the simulator: reads batches of events and writes for each one reply with
 * the resulting actions.
 *
 * <p>It keeps the simulated schedulers by id and the machine lists that events refer to, and makes
 * no decisions. Not thread-safe.
 */
public final class SimulatorAdapter {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final int INPUT_BUFFER_CHARS = 1 << 16;
  private static final int REPLY_CHARS = 256;
  private static final int EXIT_OK = 0;
  private static final int EXIT_MALFORMED_INPUT = 1;

  private final BufferedReader in;
  private final OutputStream out;
  private final PrintStream err;
  private final Map<Long, SimulatedScheduler> schedulers = new TreeMap<>();
  private final Map<Long, List<Object>> machineLists = new TreeMap<>();

  /** Creates an adapter between the streams, which it does not close. */
  public SimulatorAdapter(InputStream in, OutputStream out, PrintStream err) {
    this.in =
        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
    this.out = out;
    this.err = err;
  }

  /** Handles batches until the input ends; returns the exit code. */
  public int run() throws IOException {
    long lineNumber = 0;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      lineNumber++;
      byte[] reply;
      try {
        reply = handleBatch(JsonFields.parse(line));
      } catch (JsonFields.MalformedInputException e) {
        err.println("fordridge drill: line " + lineNumber + ": " + e.getMessage());
        return EXIT_MALFORMED_INPUT;
      }
      out.write(reply);
      out.flush();
    }
    return EXIT_OK;
  }

  private byte[] handleBatch(Map<String, Object> batch) throws IOException {
    Duration clock =
        Duration.of(JsonFields.wholeNumber(batch, "clockUs", "batch"), ChronoUnit.MICROS);
    long number = JsonFields.wholeNumber(batch, "n", "batch");
    StringWriter reply = new StringWriter(REPLY_CHARS);
    JsonGenerator generator = FACTORY.createGenerator(reply);
    generator.writeStartObject();
    generator.writeNumberField("n", number);
    generator.writeArrayFieldStart("groups");
    int index = 0;
    for (Object item : JsonFields.list(batch, "groups", "batch")) {
      String path = "groups[" + index++ + "]";
      Map<String, Object> group = JsonFields.object(item, path);
      if (group.get("placerId") == null) {
        readSharedMachineLists(group, path);
      } else {
        handleGroup(group, path, clock, generator);
      }
    }
    generator.writeEndArray();
    generator.writeEndObject();
    generator.close();
    return reply.append('\n').toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Reads machine lists from a group without a scheduler: such a group is a list itself or contains
   * lists, as all schedulers share them.
   */
  private void readSharedMachineLists(Map<String, Object> group, String path) {
    if ("inventory".equals(group.get("msg"))) {
      readMachineList(group, path);
    } else if (group.get("input") != null) {
      int index = 0;
      for (Object item : JsonFields.list(group, "input", path)) {
        String eventPath = path + ".input[" + index++ + "]";
        readMachineList(JsonFields.object(item, eventPath), eventPath);
      }
    }
  }

  private void readMachineList(Map<String, Object> event, String path) {
    machineLists.put(
        JsonFields.wholeNumber(event, "slot", path), JsonFields.list(event, "lines", path));
  }

  private void handleGroup(
      Map<String, Object> group, String path, Duration clock, JsonGenerator generator)
      throws IOException {
    long id = JsonFields.wholeNumber(group, "placerId", path);
    generator.writeStartObject();
    generator.writeNumberField("placerId", id);
    generator.writeArrayFieldStart("output");
    int index = 0;
    boolean hasFailed = false;
    for (Object item : JsonFields.list(group, "input", path)) {
      String eventPath = path + ".input[" + index++ + "]";
      Map<String, Object> event = JsonFields.object(item, eventPath);
      String name = JsonFields.text(event, "msg", eventPath);
      if (name.equals("inventory")) {
        readMachineList(event, eventPath);
      } else {
        SimulatedScheduler scheduler = schedulerFor(id, name);
        if (scheduler != null && !hasFailed) {
          String namedPath = eventPath + " (" + name + ")";
          SimulatorEvent input = new SimulatorEvent(name, event, namedPath, clock);
          hasFailed = !handleEvent(id, scheduler, input, generator);
        }
      }
    }
    generator.writeEndArray();
    generator.writeEndObject();
  }

  /**
   * Returns the scheduler that an event is for, after creating or removing it if the event says so;
   * null if there is none.
   */
  private SimulatedScheduler schedulerFor(long id, String eventName) {
    if (eventName.equals("create")) {
      schedulers.put(id, new SimulatedScheduler(machineLists));
    } else if (eventName.equals("destroy")) {
      schedulers.remove(id);
    }
    return schedulers.get(id);
  }

  /**
   * Returns false if the scheduler failed; the failure is written to the reply, and the other
   * events of the group are ignored.
   */
  private boolean handleEvent(
      long id, SimulatedScheduler scheduler, SimulatorEvent event, JsonGenerator generator)
      throws IOException {
    try {
      scheduler.handle(event, generator);
      return true;
    } catch (JsonFields.MalformedInputException malformed) {
      throw malformed;
    } catch (RuntimeException failure) {
      StackTraceElement[] stack = failure.getStackTrace();
      generator.writeStartObject();
      generator.writeStringField("msg", "broken");
      generator.writeStringField(
          "reasonText", failure + (stack.length > 0 ? " at " + stack[0] : ""));
      generator.writeEndObject();
      err.println("fordridge drill: scheduler " + id + " failed: " + failure);
      for (StackTraceElement frame : stack) {
        err.println("\tat " + frame);
      }
      return false;
    }
  }
}
