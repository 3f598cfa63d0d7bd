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
 * The clients of one instance: their sessions, the stream that currently carries each session, and
 * the client that owns each VM. Responses are written once the input that caused them has been
 * processed. Confined to the event loop.
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

  /** Starts the periodic removal of sessions whose clients have been disconnected for too long. */
  void startExpiry() {
    context.loop.scheduleAtFixedRate(
        EXPIRY_CHECK_INTERVAL, () -> sessions.expireSessions(context.loop.now()));
  }

  ClientSessions sessions() {
    return sessions;
  }

  /** Attaches a stream to the client's session, and closes the stream that carried it before. */
  ClientSession clientConnected(
      String client, String resumeToken, long lastSeen, ClientStream stream) {
    context.loop.refreshNow();
    ClientSession session = sessions.clientConnected(client, resumeToken, lastSeen);
    ClientStream previous = streams.put(session, stream);
    if (previous != null && previous != stream) {
      previous.replaced();
    }
    streams.keySet().removeIf(other -> other != session && other.client().equals(client));
    return session;
  }

  void clientDisconnected(ClientSession session, ClientStream stream) {
    if (streams.remove(session, stream)) {
      context.loop.refreshNow();
      sessions.clientDisconnected(session, context.loop.now());
    }
  }

  /** Records which client owns the VM. */
  void register(Vm vm, String client) {
    clientByVm.put(vm, client);
  }

  void unregister(Vm vm) {
    clientByVm.remove(vm);
  }

  Optional<String> clientOf(Vm vm) {
    return Optional.ofNullable(clientByVm.get(vm));
  }

  /** The scheduler's id of a client's VM: CLIENT/VM. */
  static String vmId(String client, String requestName) {
    return client + "/" + requestName;
  }

  /** The name that the client gave to its request for the VM: the id without the client. */
  String requestName(Vm vm) {
    return requestName(vm, clientByVm.get(vm));
  }

  private static String requestName(Vm vm, String client) {
    return vm.id.substring(client.length() + 1);
  }

  /** Whether the VM's request has no final response yet. */
  boolean isPending(Vm vm) {
    return clientOf(vm).filter(c -> sessions.isPending(c, requestName(vm, c))).isPresent();
  }

  /**
   * Sends a response to the VM's client; without effect for a VM that belongs to no client.
   *
   * @param responseForName creates the response from the request's name
   */
  void respond(Vm vm, Function<String, ClientResponse> responseForName) {
    clientOf(vm).ifPresent(client -> respond(client, vm, responseForName));
  }

  private void respond(String client, Vm vm, Function<String, ClientResponse> responseForName) {
    ClientResponse response = responseForName.apply(requestName(vm, client));
    if (!sessions.respond(client, response, context.loop.now())) {
      context
          .log
          .debug()
          .addKeyValue("vm", vm.id)
          .addKeyValue("response", response.kind())
          .log("response dropped: the request is settled");
    }
    scheduleWrite(client);
  }

  /** A machine runs a VM of an earlier incarnation: its client is sent the acceptance. */
  void vmAdopted(Vm vm, String client, String machine, int attemptNumber) {
    register(vm, client);
    boolean hasClientPrefix = vm.id.startsWith(vmId(client, ""));
    String name = hasClientPrefix ? requestName(vm, client) : vm.id;
    ClientResponse.Accepted accepted =
        new ClientResponse.Accepted(name, machine, attemptNumber, Duration.ZERO);
    sessions.vmAdopted(client, accepted, context.loop.now());
    scheduleWrite(client);
  }

  /** Schedules the session's responses to be written once the current input is processed. */
  void scheduleWrite(ClientSession session) {
    sessionsToWrite.add(session);
  }

  private void scheduleWrite(String client) {
    streams.keySet().stream().filter(s -> s.client().equals(client)).forEach(this::scheduleWrite);
  }

  /** Writes the responses of the scheduled sessions, as far as their streams are ready. */
  void writeResponses() {
    while (!sessionsToWrite.isEmpty()) {
      ClientSession session = sessionsToWrite.iterator().next();
      sessionsToWrite.remove(session);
      ClientStream stream = streams.get(session);
      if (stream != null) {
        stream.flushAndRequestMore();
      }
    }
  }
}
