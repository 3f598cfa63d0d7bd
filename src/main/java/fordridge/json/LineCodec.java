package fordridge.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fordridge.json.JsonFields.MalformedInputException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes and encodes the lines of one connection: bounded length, strict UTF-8 and JSON, ids of 16
 * hex digits. Nothing is decoded after the first malformed line. Confined to the connection's event
 * loop.
 */
abstract class LineCodec extends SimpleChannelInboundHandler<ByteBuf> {
  /** The maximum length of a line in bytes, without its line feed. */
  static final int MAX_LINE_BYTES = 16 * 1024;

  /** The code of a message that has none. */
  static final int NO_CODE = -1;

  private static final int MAX_CODE = 127;
  private static final int INITIAL_LINE_BYTES = 256;
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
  private static final Map<String, Object> NO_FIELDS = Map.of();

  /** For diagnosis: {@code -Dfordridge.trace=true} writes every line to standard error. */
  private static final boolean TRACE_ENABLED = Boolean.getBoolean("fordridge.trace");

  private boolean isInputRejected;

  /**
   * Adds a decoder that splits the input into lines, and this codec, to a connection's pipeline.
   */
  void addTo(ChannelPipeline pipeline, InputMemory memory) {
    pipeline.addLast(new LineDecoder(MAX_LINE_BYTES, memory));
    pipeline.addLast(this);
  }

  /**
   * A message was received; the code is {@link #NO_CODE} and the description null if the line has
   * none.
   */
  abstract void messageReceived(
      String type, String id, Map<String, Object> fields, int code, String description);

  /** The peer sent input that can't be decoded; called once, and nothing is decoded after it. */
  abstract void malformedInput(String reason);

  /** A complete line was received, whatever its content; called before it is decoded. */
  void lineReceived() {}

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
    if (isInputRejected) {
      return;
    }
    lineReceived();
    try {
      if (TRACE_ENABLED) {
        trace(ctx.channel(), "< " + line.toString(StandardCharsets.UTF_8).trim());
      }
      decode(line);
    } catch (MalformedInputException | IOException e) {
      rejectInput(e.getMessage());
    }
  }

  private void decode(ByteBuf line) throws IOException {
    Map<String, Object> message = JsonFields.parseStrict(text(line));
    String type = JsonFields.text(message, "t", "line");
    String id = JsonFields.text(message, "ref", "line");
    if (!ID.matcher(id).matches()) {
      throw MalformedInputException.unexpected("line", "ref", "16 hex digits", id);
    }
    messageReceived(type, id, fields(message), code(message), description(message));
  }

  private static String text(ByteBuf line) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(line.nioBuffer()).toString();
    } catch (CharacterCodingException e) {
      throw new MalformedInputException("the line is not valid UTF-8");
    }
  }

  private static Map<String, Object> fields(Map<String, Object> message) {
    if (message.get("f") == null) {
      return NO_FIELDS;
    }
    Map<String, Object> fields = JsonFields.object(message.get("f"), "line.f");
    for (Map.Entry<String, Object> field : fields.entrySet()) {
      if (!(field.getValue() instanceof String) && !(field.getValue() instanceof Number)) {
        throw MalformedInputException.unexpected(
            "line.f", field.getKey(), "a string or a number", field.getValue());
      }
    }
    return fields;
  }

  private static int code(Map<String, Object> message) {
    long code = JsonFields.wholeNumber(message, "c", "line", NO_CODE);
    if (code < NO_CODE || code > MAX_CODE) {
      throw MalformedInputException.unexpected("line", "c", "within -1 to " + MAX_CODE, code);
    }
    return (int) code;
  }

  private static String description(Map<String, Object> message) {
    String description = JsonFields.text(message, "d", "line", null);
    if (description != null && !StandardCharsets.UTF_8.newEncoder().canEncode(description)) {
      throw new MalformedInputException("line: field 'd' contains an unpaired surrogate");
    }
    return description;
  }

  /** Rejects the input: nothing more is decoded on this connection. */
  final void rejectInput(String reason) {
    if (!isInputRejected) {
      if (TRACE_ENABLED) {
        System.err.println(System.currentTimeMillis() + " malformed input: " + reason);
      }
      isInputRejected = true;
      malformedInput(reason);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // Both a line that is too long, reported by the decoder, and a connection reset arrive here.
    rejectInput(String.valueOf(cause.getMessage()));
  }

  /**
   * Encodes one line; {@code fields} are pairs of name and value, and a pair with a null value is
   * left out.
   */
  static ByteBuf encode(
      Channel channel, String type, String id, int code, String description, String... fields) {
    ByteBuf line = channel.alloc().buffer(INITIAL_LINE_BYTES);
    try (JsonGenerator json =
        FACTORY.createGenerator((OutputStream) new ByteBufOutputStream(line))) {
      json.writeStartObject();
      json.writeStringField("t", type);
      json.writeStringField("ref", id);
      json.writeObjectFieldStart("f");
      for (int i = 0; i < fields.length; i += 2) {
        if (fields[i + 1] != null) {
          json.writeStringField(fields[i], fields[i + 1]);
        }
      }
      json.writeEndObject();
      if (code != NO_CODE) {
        json.writeNumberField("c", code);
      }
      if (description != null) {
        json.writeStringField("d", description);
      }
      json.writeEndObject();
    } catch (IOException e) {
      line.release();
      throw new UncheckedIOException(e);
    }
    line.writeByte('\n');
    if (TRACE_ENABLED) {
      trace(channel, "> " + line.toString(StandardCharsets.UTF_8).trim());
    }
    return line;
  }

  /** Writes an event of the connection to standard error if tracing is enabled. */
  static void trace(Channel channel, String event) {
    if (TRACE_ENABLED) {
      System.err.println(
          System.currentTimeMillis()
              + " "
              + channel.id().asShortText()
              + " "
              + channel.remoteAddress()
              + " "
              + event);
    }
  }
}
