package fordridge.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * One end of a connection of JSON lines: bounded lines, strict UTF-8 and JSON, ids of 16 hex
 * digits. What can't be read is told once, and nothing after it is looked at.
 */
abstract class LineCodec extends SimpleChannelInboundHandler<ByteBuf> {
  /** The longest line, its line feed not counted. */
  static final int LONGEST = 16 * 1024;

  private static final JsonFactory FACTORY = new JsonFactory();
  private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
  private static final Map<String, Object> NONE = Map.of();

  /** For those on call: -Dfordridge.trace=true writes every line to standard error, both ways. */
  private static final boolean TRACED = Boolean.getBoolean("fordridge.trace");

  private boolean deaf;

  void into(ChannelPipeline pipeline) {
    pipeline.addLast(new LineBasedFrameDecoder(LONGEST, true, true));
    pipeline.addLast(this);
  }

  /** One message; cause -1 and description null where the line has none. */
  abstract void said(
      String type, String id, Map<String, Object> fields, int cause, String description);

  abstract void unreadable(String why);

  /** A whole line came, whatever it says. */
  void heard() {}

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
    if (deaf) {
      return;
    }
    heard();
    try {
      if (TRACED) {
        trace(ctx.channel(), "<", line);
      }
      read(line);
    } catch (JsonFields.MalformedInputException | IOException e) {
      spoilt(e.getMessage());
    }
  }

  private void read(ByteBuf line) throws IOException {
    String text = text(line);
    Map<String, Object> m = JsonFields.parseStrict(text);
    String type = JsonFields.text(m, "t", "line");
    String id = JsonFields.text(m, "ref", "line");
    if (!ID.matcher(id).matches()) {
      throw new JsonFields.MalformedInputException("line: field 'ref' is not 16 hex digits");
    }
    Map<String, Object> fields =
        m.get("f") == null ? NONE : JsonFields.object(m.get("f"), "line.f");
    for (Object v : fields.values()) {
      if (!(v instanceof String) && !(v instanceof Number)) {
        throw new JsonFields.MalformedInputException(
            "line.f: a field is neither a string nor a number");
      }
    }
    long cause = JsonFields.whole(m, "c", "line", -1);
    if (cause < -1 || cause > 127) {
      throw new JsonFields.MalformedInputException("line: field 'c' is out of range");
    }
    String d = JsonFields.text(m, "d", "line", null);
    if (d != null && !StandardCharsets.UTF_8.newEncoder().canEncode(d)) {
      throw new JsonFields.MalformedInputException("line: field 'd' has half a character");
    }
    said(type, id, fields, (int) cause, d);
  }

  private static String text(ByteBuf line) throws IOException {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(line.nioBuffer()).toString();
    } catch (CharacterCodingException e) {
      throw new JsonFields.MalformedInputException("the line is not UTF-8");
    }
  }

  static void trace(Channel channel, String way, ByteBuf line) {
    System.err.println(
        System.currentTimeMillis()
            + " "
            + channel.id().asShortText()
            + " "
            + channel.remoteAddress()
            + " "
            + way
            + " "
            + line.toString(StandardCharsets.UTF_8).trim());
  }

  static void trace(Channel channel, String what) {
    if (TRACED) {
      System.err.println(
          System.currentTimeMillis()
              + " "
              + channel.id().asShortText()
              + " "
              + channel.remoteAddress()
              + " "
              + what);
    }
  }

  final void spoilt(String why) {
    if (!deaf) {
      if (TRACED) {
        System.err.println(System.currentTimeMillis() + " spoilt: " + why);
      }
      deaf = true;
      unreadable(why);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // A line too long is told by the decoder as soon as it is; a reset comes here too.
    spoilt(String.valueOf(cause.getMessage()));
  }

  /** Writes one line; fields are pairs of name and value, null values left out. */
  static ByteBuf line(
      Channel to, String type, String id, int cause, String description, String... fields) {
    ByteBuf out = to.alloc().buffer(256);
    try (JsonGenerator gen = FACTORY.createGenerator((OutputStream) new ByteBufOutputStream(out))) {
      gen.writeStartObject();
      gen.writeStringField("t", type);
      gen.writeStringField("ref", id);
      gen.writeObjectFieldStart("f");
      for (int i = 0; i < fields.length; i += 2) {
        if (fields[i + 1] != null) {
          gen.writeStringField(fields[i], fields[i + 1]);
        }
      }
      gen.writeEndObject();
      if (cause >= 0) {
        gen.writeNumberField("c", cause);
      }
      if (description != null) {
        gen.writeStringField("d", description);
      }
      gen.writeEndObject();
    } catch (IOException e) {
      out.release();
      throw new UncheckedIOException(e);
    }
    out.writeByte('\n');
    if (TRACED) {
      trace(to, ">", out);
    }
    return out;
  }
}
