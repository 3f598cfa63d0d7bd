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
 * The configuration file of one scheduler: its name and address, its limits, the initial machine
 * list, and the settings of the scheduler and the server. Immutable.
 */
final class ServerConfiguration {
  private static final String ROOT = "configuration";
  private static final int MIN_SOCKETS = 64;
  private static final int HEX_RADIX = 16;

  /**
   * Descriptors reserved for the process itself: some twenty files, the selector, the machine list
   * connection and connections being accepted, and as many again as a margin.
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

  /** All settings by name, including those that this process does not read. */
  private final Map<String, Object> settingsByName;

  private final SchedulerSettings schedulerSettings;
  private final ServerSettings serverSettings;

  private ServerConfiguration(Map<String, Object> file) {
    settingsByName = new HashMap<>();
    name = JsonFields.text(file, "name", ROOT);
    listenAddress = SocketAddresses.parse(JsonFields.text(file, "listen", ROOT));
    machineListAddress = SocketAddresses.parse(JsonFields.text(file, "journal", ROOT));
    seed = readSeed(JsonFields.text(file, "seed", ROOT));
    Map<String, Object> limitFields = JsonFields.object(file.get("limits"), ROOT + ".limits");
    limits = limitFields.toString();
    maxSockets = readMaxSockets(limitFields);
    Map<String, Object> knownMachineList = JsonFields.object(file.get("known"), ROOT + ".known");
    machineListPosition = JsonFields.wholeNumber(knownMachineList, "pos", ROOT + ".known");
    machineListEvents = JsonFields.list(knownMachineList, "entries", ROOT + ".known");
    SettingsValues.flatten(
        "", JsonFields.object(file.get("settings"), ROOT + ".settings"), settingsByName);
    if (!(settingsByName.get("lanes") instanceof Long classes) || classes < 1) {
      throw new MalformedInputException(
          ROOT + ".settings: field 'lanes' names no priority classes, expected at least one");
    }
    SettingsValues settingsValues = new SettingsValues(settingsByName);
    schedulerSettings = SchedulerSettingsReader.read(settingsValues);
    serverSettings = ServerSettings.read(settingsValues, schedulerSettings);
  }

  /** A copy without the machine list events. */
  private ServerConfiguration(ServerConfiguration other) {
    name = other.name;
    listenAddress = other.listenAddress;
    machineListAddress = other.machineListAddress;
    seed = other.seed;
    maxSockets = other.maxSockets;
    limits = other.limits;
    machineListPosition = other.machineListPosition;
    machineListEvents = List.of();
    settingsByName = other.settingsByName;
    schedulerSettings = other.schedulerSettings;
    serverSettings = other.serverSettings;
  }

  private static long readSeed(String hex) {
    try {
      return Long.parseUnsignedLong(hex, HEX_RADIX);
    } catch (NumberFormatException e) {
      throw new MalformedInputException(
          ROOT + ": field 'seed' is '" + hex + "', expected an unsigned 64-bit number in hex");
    }
  }

  private static int readMaxSockets(Map<String, Object> limitFields) {
    int sockets = (int) JsonFields.wholeNumber(limitFields, "sockets", ROOT + ".limits");
    if (sockets < MIN_SOCKETS) {
      throw new MalformedInputException(
          ROOT + ".limits: field 'sockets' is " + sockets + ", expected at least " + MIN_SOCKETS);
    }
    return sockets;
  }

  /** Reads and validates the whole file; the exception's message describes what is malformed. */
  static ServerConfiguration read(Path file) throws IOException {
    return new ServerConfiguration(JsonFields.parse(Files.readString(file)));
  }

  String name() {
    return name;
  }

  InetSocketAddress listenAddress() {
    return listenAddress;
  }

  /** The address of the server whose machine list is watched. */
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

  /** The maximum number of open client connections: three eighths of all sockets. */
  int maxClientConnections() {
    return maxSockets * 3 / 8;
  }

  /**
   * The maximum number of connections to machines: what clients and the process itself leave, but
   * at least an eighth of all sockets.
   */
  int maxMachineConnections() {
    return Math.max(maxSockets / 8, maxSockets - maxClientConnections() - RESERVED_SOCKETS);
  }

  /** The position of the last machine list event in the configuration. */
  long machineListPosition() {
    return machineListPosition;
  }

  /**
   * The same configuration without its machine list events, to be kept once they were applied: as
   * parsed JSON they take up more memory than the machines themselves.
   */
  ServerConfiguration withoutMachineList() {
    return new ServerConfiguration(this);
  }

  /** Reads the machine list events in the configuration. */
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

  /**
   * Whether the other configuration has the same settings; its name, addresses, limits and machine
   * list may differ.
   */
  boolean hasSameSettings(ServerConfiguration other) {
    return settingsByName.equals(other.settingsByName);
  }
}
