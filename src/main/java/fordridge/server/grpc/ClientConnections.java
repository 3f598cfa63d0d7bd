package fordridge.server.grpc;

import fordridge.grpc.ClientService.ClientStream;
import fordridge.model.Vm;
import fordridge.session.ClientResponse;
import fordridge.session.ClientSession;
import fordridge.session.ClientSessions;
import fordridge.settings.DeploymentSettings;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * The clients of one instance: their sessions, the streams that carry them, and which client each
 * VM belongs to. Responses are written when the input that caused them is processed. Confined to
 * the event loop.
 */
final class ClientConnections {
  private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofSeconds(1);

  private final InstanceContext context;
  private final ClientSessions sessions;
  private final Map<ClientSession, ClientStream> streams = new LinkedHashMap<>();
  private final Set<ClientSession> sessionsToWrite = new LinkedHashSet<>();
  private final Map<Vm, String> clientByVm = new HashMap<>();

  ClientConnections(InstanceContext context) {
    this.context = context;
    sessions = new ClientSessions(limits(context.settings()), context.seed);
  }

  private static ClientSessions.Limits limits(DeploymentSettings settings) {
    return new ClientSessions.Limits(
        settings.instance().maxOpenRequests(),
        settings.sessions().maxOpenRequests(),
        settings.sessions().maxUnreadResponses(),
        settings.sessions().maxRetainedResponses(),
        settings.sessions().retention());
  }

  /** Begins to expire the sessions of clients that stay away. */
  void startExpiry() {
    context.loop.scheduleAtFixedRate(
        EXPIRY_CHECK_INTERVAL, () -> sessions.expireSessions(context.loop.now()));
  }

  ClientSessions sessions() {
    return sessions;
  }

  /** The stream carries the client's session from now on, in the place of any earlier one. */
  ClientSession connected(String client, String resumeToken, long lastSeen, ClientStream stream) {
    context.loop.refreshNow();
    ClientSession session = sessions.clientConnected(client, resumeToken, lastSeen);
    ClientStream previous = streams.put(session, stream);
    if (previous != null && previous != stream) {
      previous.replaced();
    }
    streams.keySet().removeIf(other -> other != session && other.client().equals(client));
    return session;
  }

  void disconnected(ClientSession session, ClientStream stream) {
    if (streams.remove(session, stream)) {
      context.loop.refreshNow();
      sessions.clientDisconnected(session, context.loop.now());
    }
  }

  /** Remembers whose VM it is. */
  void register(Vm vm, String client) {
    clientByVm.put(vm, client);
  }

  void unregister(Vm vm) {
    clientByVm.remove(vm);
  }

  Optional<String> clientOf(Vm vm) {
    return Optional.ofNullable(clientByVm.get(vm));
  }

  /** The id under which a client's VM is known to the scheduler. */
  static String vmId(String client, String nameAtClient) {
    return client + "/" + nameAtClient;
  }

  /** The VM's name as its client knows it. */
  String nameAtClient(Vm vm) {
    return nameAtClient(vm, clientByVm.get(vm));
  }

  private static String nameAtClient(Vm vm, String client) {
    return vm.id.substring(client.length() + 1);
  }

  /** Whether the VM's request has no final response yet. */
  boolean isPending(Vm vm) {
    return clientOf(vm).filter(c -> sessions.isPending(c, nameAtClient(vm, c))).isPresent();
  }

  /**
   * Sends a response, given the VM's name at its client; without effect for a VM that no client
   * waits for.
   */
  void respond(Vm vm, Function<String, ClientResponse> responseForName) {
    clientOf(vm).ifPresent(client -> respond(client, vm, responseForName));
  }

  private void respond(String client, Vm vm, Function<String, ClientResponse> responseForName) {
    ClientResponse response = responseForName.apply(nameAtClient(vm, client));
    if (!sessions.respond(client, response, context.loop.now())) {
      context
          .log
          .debug()
          .addKeyValue("vm", vm.id)
          .addKeyValue("response", response.kind())
          .log("response dropped: the request is settled");
    }
    writeSoon(client);
  }

  /** A VM of an earlier incarnation was found on a machine. */
  void vmAdopted(Vm vm, String client, String machine, int attemptNumber) {
    register(vm, client);
    boolean isClientsName = vm.id.startsWith(vmId(client, ""));
    String name = isClientsName ? nameAtClient(vm, client) : vm.id;
    ClientResponse.Accepted accepted =
        new ClientResponse.Accepted(name, machine, attemptNumber, Duration.ZERO);
    sessions.vmAdopted(client, accepted, context.loop.now());
    writeSoon(client);
  }

  /** The session has, or may have, something to write when the current input is processed. */
  void writeSoon(ClientSession session) {
    sessionsToWrite.add(session);
  }

  private void writeSoon(String client) {
    streams.keySet().stream().filter(s -> s.client().equals(client)).forEach(this::writeSoon);
  }

  /** Writes what the sessions have to say, as far as their streams take it. */
  void writeResponses() {
    while (!sessionsToWrite.isEmpty()) {
      ClientSession session = sessionsToWrite.iterator().next();
      sessionsToWrite.remove(session);
      ClientStream stream = streams.get(session);
      if (stream != null) {
        stream.pump();
      }
    }
  }
}
