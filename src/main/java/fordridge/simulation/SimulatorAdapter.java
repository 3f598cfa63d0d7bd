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
 * The wire of the simulator: batches of events in, one reply with the actions for each out.
 *
 * <p>It runs the simulated schedulers by their ids and keeps the machine lists that events refer
 * to. It decides nothing. For one thread.
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

  /** An adapter between these streams, which it does not close. */
  public SimulatorAdapter(InputStream in, OutputStream out, PrintStream err) {
    this.in =
        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
    this.out = out;
    this.err = err;
  }

  /** Serves until the input ends; the result is the exit code. */
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
    Duration clock = Duration.of(JsonFields.whole(batch, "clockUs", "batch"), ChronoUnit.MICROS);
    long number = JsonFields.whole(batch, "n", "batch");
    StringWriter reply = new StringWriter(REPLY_CHARS);
    JsonGenerator generator = FACTORY.createGenerator(reply);
    generator.writeStartObject();
    generator.writeNumberField("n", number);
    generator.writeArrayFieldStart("groups");
    int index = 0;
    for (Object each : JsonFields.list(batch, "groups", "batch")) {
      String path = "groups[" + index++ + "]";
      Map<String, Object> group = JsonFields.object(each, path);
      if (group.get("placerId") == null) {
        readListsOfNoScheduler(group, path);
      } else {
        handleGroup(group, path, clock, generator);
      }
    }
    generator.writeEndArray();
    generator.writeEndObject();
    generator.close();
    return reply.append('\n').toString().getBytes(StandardCharsets.UTF_8);
  }

  /** A machine list belongs to no scheduler: it may be a group, or in a group, without one. */
  private void readListsOfNoScheduler(Map<String, Object> group, String path) {
    if ("inventory".equals(group.get("msg"))) {
      readMachineList(group, path);
    } else if (group.get("input") != null) {
      int index = 0;
      for (Object each : JsonFields.list(group, "input", path)) {
        String eventPath = path + ".input[" + index++ + "]";
        readMachineList(JsonFields.object(each, eventPath), eventPath);
      }
    }
  }

  private void readMachineList(Map<String, Object> event, String path) {
    machineLists.put(JsonFields.whole(event, "slot", path), JsonFields.list(event, "lines", path));
  }

  private void handleGroup(
      Map<String, Object> group, String path, Duration clock, JsonGenerator generator)
      throws IOException {
    long id = JsonFields.whole(group, "placerId", path);
    generator.writeStartObject();
    generator.writeNumberField("placerId", id);
    generator.writeArrayFieldStart("output");
    int index = 0;
    boolean hasFailed = false;
    for (Object each : JsonFields.list(group, "input", path)) {
      String eventPath = path + ".input[" + index++ + "]";
      Map<String, Object> event = JsonFields.object(each, eventPath);
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

  /** The scheduler that an event is for; null if there is none, or the event ends it. */
  private SimulatedScheduler schedulerFor(long id, String eventName) {
    if (eventName.equals("create")) {
      schedulers.put(id, new SimulatedScheduler(machineLists));
    } else if (eventName.equals("destroy")) {
      schedulers.remove(id);
    }
    return schedulers.get(id);
  }

  /** False if the scheduler failed, which the reply tells; the rest of the group is passed over. */
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
