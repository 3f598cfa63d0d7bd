package fordridge.simulation;

import fordridge.json.JsonFields;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Map;

/**
 * An event of the simulator for one scheduler, with typed access to its fields.
 *
 * @param name name of the event on the wire
 * @param fields the parsed fields
 * @param path position of the event in its batch, for error messages
 * @param clock time of the event
 */
record SimulatorEvent(String name, Map<String, Object> fields, String path, Duration clock) {
  String text(String field) {
    return JsonFields.text(fields, field, path);
  }

  long whole(String field) {
    return JsonFields.wholeNumber(fields, field, path);
  }

  long whole(String field, long defaultValue) {
    return JsonFields.wholeNumber(fields, field, path, defaultValue);
  }

  double number(String field) {
    return JsonFields.number(fields, field, path);
  }

  double number(String field, double defaultValue) {
    return JsonFields.number(fields, field, path, defaultValue);
  }

  boolean flag(String field) {
    return JsonFields.bool(fields, field, path);
  }

  /** A field that holds an object. */
  Map<String, Object> object(String field) {
    return JsonFields.object(fields.get(field), path + "." + field);
  }

  /** A duration, given in microseconds. */
  Duration micros(String field) {
    return Duration.of(whole(field), ChronoUnit.MICROS);
  }
}
