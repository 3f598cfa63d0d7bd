package fordridge.etcd;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.google.protobuf.ByteString;
import fordridge.etcd.api.KeyValue;
import fordridge.membership.MachineListReplica;
import fordridge.membership.MachineListReplica.StoreRecord;
import fordridge.membership.StoreKeys;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Our records in the store, as JSON with a schema number v. Reads 1 (machines without zone and
 * cell) and 2; writes 2. Fields that it does not know are kept where a record is written again.
 */
public final class StoreRecordCodec {
  public static final int CURRENT = 2;
  private static final int MOST_BYTES = 64 << 10;
  private static final JsonFactory FACTORY = new JsonFactory();

  private StoreRecordCodec() {}

  /** Reads a key as far as it can be read; what it cannot is a complaint, never an exception. */
  public static StoreRecord item(KeyValue kv, StoreKeys at) {
    String key = kv.getKey().toStringUtf8();
    StoreRecord.Kind kind = at.kind(key);
    MachineListReplica.Machine machine = null;
    MachineListReplica.Drain drain = null;
    String text = null;
    String complaint = null;
    try {
      if (!kv.getKey().isValidUtf8()) {
        throw new IllegalArgumentException("the key is not UTF-8");
      }
      if (kv.getValue().size() > MOST_BYTES) {
        throw new IllegalArgumentException(kv.getValue().size() + " bytes, at most " + MOST_BYTES);
      }
      text = utf8(kv.getValue());
      if (kind == StoreRecord.Kind.MACHINE) {
        machine = machine(fields(text));
      } else if (kind == StoreRecord.Kind.DRAIN) {
        drain =
            new MachineListReplica.Drain(String.valueOf(fields(text).getOrDefault("reason", "")));
      }
    } catch (IllegalArgumentException e) {
      complaint = e.getMessage();
    }
    return new StoreRecord(
        key,
        kind,
        at.name(key),
        kv.getModRevision(),
        kv.getCreateRevision(),
        machine,
        drain,
        text == null ? "" : text,
        complaint);
  }

  private static String utf8(ByteString bytes) {
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(bytes.toByteArray()))
          .toString();
    } catch (CharacterCodingException e) {
      throw new IllegalArgumentException("the value is not UTF-8");
    }
  }

  /** Flat fields of a record: texts, numbers, booleans; nested ones are refused. */
  public static Map<String, Object> fields(String text) {
    Map<String, Object> m = new LinkedHashMap<>();
    try (JsonParser p = FACTORY.createParser(text)) {
      if (p.nextToken() != JsonToken.START_OBJECT) {
        throw new IllegalArgumentException("not a JSON object");
      }
      while (p.nextToken() == JsonToken.FIELD_NAME) {
        String name = p.currentName();
        JsonToken v = p.nextToken();
        if (v.isStructStart()) {
          throw new IllegalArgumentException("field '" + name + "' is nested");
        }
        m.put(
            name,
            v == JsonToken.VALUE_NUMBER_INT
                ? (Object) p.getLongValue()
                : v == JsonToken.VALUE_NUMBER_FLOAT
                    ? (Object) p.getDoubleValue()
                    : v.isBoolean() ? (Object) p.getBooleanValue() : p.getText());
      }
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new IllegalArgumentException("not JSON: " + e.getMessage());
    }
    return m;
  }

  private static MachineListReplica.Machine machine(Map<String, Object> f) {
    long v = whole(f, "v", 1);
    if (v > CURRENT) {
      throw new IllegalArgumentException("schema " + v + ", this placer reads up to " + CURRENT);
    }
    String address = text(f, "address", null);
    if (!address.matches("[^:]+:[0-9]{1,5}")) {
      throw new IllegalArgumentException("field 'address' is '" + address + "', not host:port");
    }
    double cores = number(f, "cores", 0);
    double memory = number(f, "memory", 0);
    return new MachineListReplica.Machine(
        address,
        text(f, "kind", null),
        v < 2 ? "" : text(f, "zone", ""),
        v < 2 ? 0 : (int) whole(f, "cell", 0),
        cores,
        memory,
        number(f, "free_cores", cores),
        number(f, "free_memory", memory),
        whole(f, "incarnation", 0),
        started(text(f, "started", "")));
  }

  private static long started(String s) {
    try {
      return s.isEmpty() ? 0 : Instant.parse(s).toEpochMilli();
    } catch (DateTimeParseException e) {
      throw new IllegalArgumentException("field 'started' is '" + s + "', not an instant");
    }
  }

  private static String text(Map<String, Object> f, String name, String absent) {
    Object v = f.get(name);
    if (v == null && absent == null) {
      throw new IllegalArgumentException("field '" + name + "' is missing");
    }
    if (v != null && !(v instanceof String)) {
      throw new IllegalArgumentException("field '" + name + "' is not a text");
    }
    return v == null ? absent : (String) v;
  }

  private static double number(Map<String, Object> f, String name, double absent) {
    Object v = f.get(name);
    if (v != null && !(v instanceof Number)) {
      throw new IllegalArgumentException("field '" + name + "' is not a number");
    }
    return v == null ? absent : ((Number) v).doubleValue();
  }

  private static long whole(Map<String, Object> f, String name, long absent) {
    Object v = f.get(name);
    if (v != null && !(v instanceof Long)) {
      throw new IllegalArgumentException("field '" + name + "' is not a whole number");
    }
    return v == null ? absent : (Long) v;
  }

  /** A record as it is written. */
  public static String write(Map<String, Object> fields) {
    StringWriter out = new StringWriter();
    try (JsonGenerator g = FACTORY.createGenerator(out)) {
      g.writeStartObject();
      for (Map.Entry<String, Object> e : fields.entrySet()) {
        g.writeFieldName(e.getKey());
        Object v = e.getValue();
        if (v instanceof Long || v instanceof Integer) {
          g.writeNumber(((Number) v).longValue());
        } else if (v instanceof Number n) {
          g.writeNumber(n.doubleValue());
        } else if (v instanceof Boolean b) {
          g.writeBoolean(b);
        } else {
          g.writeString(String.valueOf(v));
        }
      }
      g.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toString();
  }
}
