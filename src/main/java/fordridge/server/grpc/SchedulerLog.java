package fordridge.server.grpc;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** The log of one scheduler instance: adds the scheduler's name to each line as a field. */
final class SchedulerLog {
  private static final Logger LOG = LoggerFactory.getLogger("fordridge.scheduler");

  private final String schedulerName;

  SchedulerLog(String schedulerName) {
    this.schedulerName = schedulerName;
  }

  LoggingEventBuilder debug() {
    return at(Level.DEBUG);
  }

  LoggingEventBuilder info() {
    return at(Level.INFO);
  }

  LoggingEventBuilder warn() {
    return at(Level.WARN);
  }

  LoggingEventBuilder error() {
    return at(Level.ERROR);
  }

  private LoggingEventBuilder at(Level level) {
    return LOG.atLevel(level).addKeyValue("scheduler", schedulerName);
  }
}
