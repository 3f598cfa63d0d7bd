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

/** Configures logging to standard error, as plain text or JSON lines. */
public final class Logging {
  private static final String PLAIN_PATTERN =
      "%d{HH:mm:ss.SSS} %-5level %logger{0} %msg %kvp{NONE}%n";
  private static final String PROJECT_LOGGER_PREFIX = "fordridge";

  private Logging() {}

  /**
   * Replaces the logging configuration of the process.
   *
   * @param format {@code json} for JSON lines; any other value for plain text
   * @param level level of this project's loggers; loggers of libraries log warnings and errors only
   */
  public static void configure(String format, String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.addAppender(standardError(context, format));
    root.setLevel(Level.WARN);
    context.getLogger(PROJECT_LOGGER_PREFIX).setLevel(Level.toLevel(level));
  }

  private static ConsoleAppender<ILoggingEvent> standardError(
      LoggerContext context, String format) {
    Encoder<ILoggingEvent> encoder = encoder(format);
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    return appender;
  }

  private static Encoder<ILoggingEvent> encoder(String format) {
    if (format.equals("json")) {
      return new LogstashEncoder();
    }
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setPattern(PLAIN_PATTERN);
    return encoder;
  }
}
