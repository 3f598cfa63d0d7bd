package fordridge.server.json;

import fordridge.json.JsonFields;
import fordridge.json.JsonFields.MalformedInputException;
import fordridge.json.MachineListEvent;
import fordridge.json.SocketAddresses;
import fordridge.model.SchedulerSettings;
import fordridge.model.SettingsValues;
import fordridge.scheduling.SchedulerSettingsReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration file of one scheduler: its name and address, its limits, the machine list as
 * known, and the settings that the scheduler reads. Immutable.
 */
final class ServerConfiguration {
  private static final String ROOT = "configuration";
  private static final int MIN_SOCKETS = 64;
  private static final int HEX = 16;

  /**
   * Descriptors for the process itself: some twenty files, the selector, the machine list's
   * connection, connections being accepted, and as many again.
   */
  private static final int RESERVED_SOCKETS = 48;

  private final String name;
  private final InetSocketAddress listenAddress;
  private final InetSocketAddress machineListAddress;
  private final long seed;
  private final int maxSockets;
  private final String limits;
  private final long machineListPosition;
  private final List<Object> machineListEvents;

  /** All settings by name, those too that nothing here reads. */
  private final Map<String, Object> values = new HashMap<>();

  private final SchedulerSettings schedulerSettings;
  private final ServerSettings serverSettings;

  private ServerConfiguration(Map<String, Object> file) {
    name = JsonFields.text(file, "name", ROOT);
    listenAddress = SocketAddresses.parse(JsonFields.text(file, "listen", ROOT));
    machineListAddress = SocketAddresses.parse(JsonFields.text(file, "journal", ROOT));
    seed = readSeed(JsonFields.text(file, "seed", ROOT));
    Map<String, Object> limitFields = JsonFields.object(file.get("limits"), ROOT + ".limits");
    limits = limitFields.toString();
    maxSockets = readMaxSockets(limitFields);
    Map<String, Object> known = JsonFields.object(file.get("known"), ROOT + ".known");
    machineListPosition = JsonFields.whole(known, "pos", ROOT + ".known");
    machineListEvents = JsonFields.list(known, "entries", ROOT + ".known");
    SettingsValues.flatten("", JsonFields.object(file.get("settings"), ROOT + ".settings"), values);
    if (!(values.get("lanes") instanceof Long classes) || classes < 1) {
      throw new MalformedInputException(
          ROOT + ".settings: field 'lanes' names no priority classes, expected at least one");
    }
    SettingsValues settingsValues = new SettingsValues(values);
    schedulerSettings = SchedulerSettingsReader.read(settingsValues);
    serverSettings = ServerSettings.read(settingsValues, schedulerSettings);
  }

  private static long readSeed(String hex) {
    try {
      return Long.parseUnsignedLong(hex, HEX);
    } catch (NumberFormatException e) {
      throw new MalformedInputException(ROOT + ": field 'seed' is not a number in hex: " + hex);
    }
  }

  private static int readMaxSockets(Map<String, Object> limitFields) {
    int sockets = (int) JsonFields.whole(limitFields, "sockets", ROOT + ".limits");
    if (sockets < MIN_SOCKETS) {
      throw new MalformedInputException(
          ROOT + ".limits: field 'sockets' is not at least " + MIN_SOCKETS + ": " + sockets);
    }
    return sockets;
  }

  /** Reads the whole file; a malformed one is described by the exception's message. */
  static ServerConfiguration read(Path file) throws IOException {
    return new ServerConfiguration(JsonFields.parse(Files.readString(file)));
  }

  String name() {
    return name;
  }

  InetSocketAddress listenAddress() {
    return listenAddress;
  }

  /** Where the machine list is watched. */
  InetSocketAddress machineListAddress() {
    return machineListAddress;
  }

  long seed() {
    return seed;
  }

  /** The limits of the process as configured, for the log. */
  String limits() {
    return limits;
  }

  /** How many clients' connections may be open: three eighths of all sockets. */
  int maxClientConnections() {
    return maxSockets * 3 / 8;
  }

  /** How many connections to machines may be open: what clients and the process itself leave. */
  int maxMachineConnections() {
    return Math.max(maxSockets / 8, maxSockets - maxClientConnections() - RESERVED_SOCKETS);
  }

  /** The number of the last event of the machine list that is known at the start. */
  long machineListPosition() {
    return machineListPosition;
  }

  /** Reads the events of the machine list that are known at the start. */
  List<MachineListEvent> readInitialMachineList() {
    List<MachineListEvent> events = new ArrayList<>(machineListEvents.size());
    for (Object event : machineListEvents) {
      Object hosts = JsonFields.object(event, "known").get("hosts");
      events.add(MachineListEvent.read(JsonFields.object(hosts, "known.hosts")));
    }
    return events;
  }

  ServerSettings serverSettings() {
    return serverSettings;
  }

  SchedulerSettings schedulerSettings() {
    return schedulerSettings;
  }

  /** Whether the other has the same settings of scheduler and server, whatever else differs. */
  boolean hasSameSettings(ServerConfiguration other) {
    return values.equals(other.values);
  }
}
