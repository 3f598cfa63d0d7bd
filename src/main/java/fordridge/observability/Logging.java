package fordridge.observability;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets up logging once, as the settings say: plain lines or JSON lines, on standard error. */
public final class Logging {
  private Logging() {}

  public static void start(String format, String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    Encoder<ILoggingEvent> encoder;
    if (format.equals("json")) {
      encoder = new LogstashEncoder();
    } else {
      PatternLayoutEncoder plain = new PatternLayoutEncoder();
      plain.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{0} %msg %kvp{NONE}%n");
      encoder = plain;
    }
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.addAppender(appender);
    root.setLevel(Level.WARN);
    context.getLogger("fordridge").setLevel(Level.toLevel(level));
  }
}
