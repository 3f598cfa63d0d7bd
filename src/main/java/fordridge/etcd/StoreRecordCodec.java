package fordridge.etcd;

import com.fasterxml.jackson.core.JsonGenerator;
import com.google.protobuf.ByteString;
import fordridge.etcd.api.KeyValue;
import fordridge.membership.MachineRecord;
import fordridge.membership.RecordKind;
import fordridge.membership.StoreKeys;
import fordridge.membership.StoreRecord;
import fordridge.settings.HostAndPort;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeParseException;

/**
 * Decodes and encodes the records in the store: JSON objects with a schema version {@code v}.
 *
 * <p>Reads versions 1 (machines without zone and cell) and 2, and writes version 2. Unknown fields
 * are ignored.
 */
final class StoreRecordCodec {
  private static final int SCHEMA_VERSION = 2;
  private static final int FIRST_VERSION_WITH_ZONES = 2;
  private static final int MAX_VALUE_BYTES = 64 << 10;

  private StoreRecordCodec() {}

  /** Decodes a record; a value that cannot be decoded becomes {@link StoreRecord.Unreadable}. */
  static StoreRecord decode(KeyValue keyValue, StoreKeys keys) {
    String key = keyValue.getKey().toStringUtf8();
    RecordKind kind = keys.kind(key);
    return new StoreRecord(
        key,
        kind,
        keys.name(key),
        keyValue.getModRevision(),
        keyValue.getCreateRevision(),
        decodeValue(keyValue, kind));
  }

  private static StoreRecord.Value decodeValue(KeyValue keyValue, RecordKind kind) {
    try {
      if (!keyValue.getKey().isValidUtf8()) {
        throw new RecordFormatException("the key is not UTF-8");
      }
      String text = decodeText(keyValue.getValue());
      return switch (kind) {
        case MACHINE -> decodeMachine(StoredJson.parse(text));
        case DRAIN -> new StoreRecord.Drain(StoredJson.parse(text).asText("reason"));
        case SHARED_SETTING, SCHEDULER, OTHER -> new StoreRecord.Text(text);
      };
    } catch (RecordFormatException e) {
      return new StoreRecord.Unreadable(e.getMessage());
    }
  }

  private static String decodeText(ByteString bytes) throws RecordFormatException {
    if (bytes.size() > MAX_VALUE_BYTES) {
      throw new RecordFormatException(
          "the value has " + bytes.size() + " bytes, allowed: at most " + MAX_VALUE_BYTES);
    }
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(bytes.toByteArray()))
          .toString();
    } catch (CharacterCodingException e) {
      throw new RecordFormatException("the value is not UTF-8", e);
    }
  }

  private static MachineRecord decodeMachine(StoredJson json) throws RecordFormatException {
    long version = json.wholeNumber("v", 1);
    if (version > SCHEMA_VERSION) {
      throw new RecordFormatException(
          "schema version is " + version + ", supported: up to " + SCHEMA_VERSION);
    }
    boolean hasZone = version >= FIRST_VERSION_WITH_ZONES;
    String address = decodeAddress(json);
    double cores = json.number("cores", 0);
    double memory = json.number("memory", 0);
    return new MachineRecord(
        address,
        json.requiredString("kind"),
        hasZone ? json.string("zone", "") : "",
        hasZone ? (int) json.wholeNumber("cell", 0) : 0,
        cores,
        memory,
        json.number("free_cores", cores),
        json.number("free_memory", memory),
        json.wholeNumber("incarnation", 0),
        decodeStartedAt(json));
  }

  private static String decodeAddress(StoredJson json) throws RecordFormatException {
    String address = json.requiredString("address");
    if (!HostAndPort.isValid(address)) {
      throw new RecordFormatException("field 'address' is '" + address + "', not host:port");
    }
    return address;
  }

  private static long decodeStartedAt(StoredJson json) throws RecordFormatException {
    String started = json.string("started", "");
    try {
      return started.isEmpty() ? 0 : Instant.parse(started).toEpochMilli();
    } catch (DateTimeParseException e) {
      throw new RecordFormatException(
          "field 'started' is '" + started + "', not an ISO 8601 instant", e);
    }
  }

  /** Encodes a drain record. */
  static String encodeDrain(String reason, Instant since) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = StoredJson.FACTORY.createGenerator(text)) {
      json.writeStartObject();
      json.writeNumberField("v", SCHEMA_VERSION);
      json.writeStringField("reason", reason);
      json.writeStringField("since", since.toString());
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }
}
