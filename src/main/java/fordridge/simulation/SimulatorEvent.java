package fordridge.simulation;

import fordridge.json.JsonFields;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Map;

/**
 * An event of the simulator for one scheduler, with typed access to its fields.
 *
 * @param name what happened, in the wire's words
 * @param fields the fields as parsed
 * @param path where the event is in its batch, for errors
 * @param clock when it happens
 */
record SimulatorEvent(String name, Map<String, Object> fields, String path, Duration clock) {
  String text(String field) {
    return JsonFields.text(fields, field, path);
  }

  long whole(String field) {
    return JsonFields.whole(fields, field, path);
  }

  long whole(String field, long absent) {
    return JsonFields.whole(fields, field, path, absent);
  }

  double number(String field) {
    return JsonFields.number(fields, field, path);
  }

  double number(String field, double absent) {
    return JsonFields.number(fields, field, path, absent);
  }

  boolean flag(String field) {
    return JsonFields.flag(fields, field, path);
  }

  /** A field that holds an object. */
  Map<String, Object> object(String field) {
    return JsonFields.object(fields.get(field), path + "." + field);
  }

  /** A span of time, which is told in microseconds. */
  Duration micros(String field) {
    return Duration.of(whole(field), ChronoUnit.MICROS);
  }
}
