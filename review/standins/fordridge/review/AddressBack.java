package fordridge.review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * On JSON lines: a machine that drained is stopped and another takes its address; the list then
 * tells a change of the former's entry, which is still draining there, before it is deleted.
 */
final class AddressBack extends Case {
  private static final Pattern MESSAGE =
      Pattern.compile("\"t\":\"([a-z_]+)\",\"ref\":\"([0-9a-f]{16})\"");
  private static final Pattern DESCRIPTION = Pattern.compile("\"d\":\"([^\"]*)\"");

  private final List<String> events = new CopyOnWriteArrayList<>();
  private final Set<String> running = ConcurrentHashMap.newKeySet();
  private final Set<String> accepted = ConcurrentHashMap.newKeySet();
  private final Set<String> ended = ConcurrentHashMap.newKeySet();
  private final List<Socket> machineSockets = new ArrayList<>();

  public static void main(String[] args) {
    run(new AddressBack(), args);
  }

  @Override
  String play() throws Exception {
    ServerSocket list = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    serve(list, this::tellList);
    ServerSocket first = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    int address = first.getLocalPort();
    serve(first, this::machine);
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    publish("s-1", address, "SERVING", "20,40", true);
    Path config = folder.resolve("config.json");
    Files.writeString(config, config(port, list.getLocalPort()));
    Process process = start(config);
    publish("s-1", address, "DRAINING", "20,40", false);
    Thread.sleep(1_500);
    first.close();
    synchronized (machineSockets) {
      for (Socket socket : machineSockets) {
        socket.close();
      }
    }
    record.line("s-1", "stopped; it ran nothing");
    Thread.sleep(500);
    ServerSocket second = new ServerSocket();
    second.setReuseAddress(true);
    second.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), address));
    serve(second, this::machine);
    record.line("s-2", "started at the address of s-1");
    publish("s-2", address, "SERVING", "28,60", false);
    Thread.sleep(1_000);
    String vm = "00000000000000a1";
    Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
    readAnswers(client);
    record.line("client", "sent new " + vm);
    client.getOutputStream().write(request(vm));
    for (int i = 0; i < 100 && !accepted.contains(vm); i++) {
      Thread.sleep(50);
    }
    if (!accepted.contains(vm)) {
      throw new IllegalStateException("not accepted");
    }
    Thread.sleep(500);
    publish("s-1", address, trouble ? "DRAINING" : "DELETED", "28,60", false);
    Thread.sleep(10_000);
    record.line("s-2", running.contains(vm) ? vm + " runs" : vm + " does not run");
    record.line("serve", process.isAlive() ? "still runs" : "ended");
    return ended.contains(vm) && running.contains(vm)
        ? "the client was told that " + vm + " is over while it runs on s-2"
        : null;
  }

  private synchronized void publish(
      String id, int port, String phase, String unasked, boolean complete) {
    String event =
        "{\"pos\":" + (events.size() + 1) + ",\"hosts\":{\"revision\":" + (events.size() + 1)
            + ",\"complete\":" + complete + ",\"members\":[{\"id\":\"" + id
            + "\",\"host_port\":\"127.0.0.1:" + port
            + "\",\"locality\":\"z\",\"flavor\":\"std\",\"cell\":1,\"phase\":\"" + phase
            + "\",\"size\":4,\"up_since_ms\":0,\"unasked\":[" + unasked + "]}]}}";
    events.add(event);
    record.line("list", "event " + events.size() + ": " + id + " " + phase + ", unasked " + unasked);
  }

  private void tellList(Socket socket) throws IOException {
    int told = Integer.parseInt(reader(socket).readLine().substring(5).trim());
    OutputStream out = socket.getOutputStream();
    try {
      for (int tick = 0; ; tick++) {
        while (told < events.size()) {
          out.write((events.get(told) + "\n").getBytes(StandardCharsets.UTF_8));
          told++;
        }
        if (tick % 20 == 0) {
          out.write((told + "\n").getBytes(StandardCharsets.UTF_8));
        }
        Thread.sleep(50);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void machine(Socket socket) throws IOException {
    synchronized (machineSockets) {
      machineSockets.add(socket);
    }
    OutputStream out = socket.getOutputStream();
    BufferedReader in = reader(socket);
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      Matcher message = MESSAGE.matcher(line);
      if (!message.find()) {
        continue;
      }
      String id = message.group(2);
      if (message.group(1).equals("hb")) {
        write(out, "{\"t\":\"hb_ok\",\"ref\":\"" + id + "\",\"f\":{},\"c\":1}");
      } else if (message.group(1).equals("new")) {
        Matcher description = DESCRIPTION.matcher(line);
        running.add(id);
        record.line("s-2", "accepts " + id);
        write(
            out,
            "{\"t\":\"up\",\"ref\":\"" + id + "\",\"f\":{},\"d\":\""
                + (description.find() ? description.group(1) : "") + "\"}");
      } else if (message.group(1).equals("down")) {
        boolean was = running.remove(id);
        record.line("s-2", "is told to release " + id + (was ? ", which ran" : ""));
        write(out, "{\"t\":\"ack\",\"ref\":\"" + id + "\",\"f\":{}}");
      }
    }
  }

  private static void write(OutputStream out, String line) throws IOException {
    out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private void readAnswers(Socket socket) {
    daemon(
        () -> {
          try (BufferedReader in = reader(socket)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
              Matcher message = MESSAGE.matcher(line);
              if (message.find() && message.group(1).matches("up|down")) {
                record.line("client", "received " + line);
                (message.group(1).equals("up") ? accepted : ended).add(message.group(2));
              }
            }
            record.line("client", "its connection was closed");
          } catch (IOException e) {
            record.line("client", "its connection broke: " + e.getMessage());
          }
        });
  }

  private Process start(Path config) throws Exception {
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec bash deploy/serve.sh");
    builder.environment().put("LB_CONFIG", config.toString());
    Path log = folder.resolve("serve.log");
    Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    onClose(process::destroyForcibly);
    for (int i = 0; i < 600 && !Files.readString(log).contains("serving at"); i++) {
      Thread.sleep(50);
    }
    record.line("serve", "serves");
    return process;
  }

  private static byte[] request(String id) {
    return ("{\"t\":\"new\",\"ref\":\"" + id
            + "\",\"f\":{\"class\":\"batch\",\"left\":\"5000\",\"tenant\":\"acme\",\"key\":\"" + id
            + "\",\"extras\":\"cores:1;memory:2;service:" + id + "\"},\"d\":\"here\"}\n")
        .getBytes(StandardCharsets.UTF_8);
  }

  private String config(int port, int listPort) {
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
        + "\"sockets\":1024},\"journal\":\"127.0.0.1:" + listPort
        + "\",\"known\":{\"pos\":1,\"entries\":[" + events.get(0)
        + "]},\"settings\":{\"kinds\":[\"std\"],\"lanes\":[{\"name\":\"batch\","
        + "\"giveUpUs\":5000000,\"promiseUs\":800000,\"semantics\":\"fragile\"}],"
        + "\"tenants\":[{\"name\":\"acme\",\"share\":1}],\"caps\":{\"mostTries\":3,"
        + "\"retryAfter\":true,\"connectTimeoutUs\":250000,\"connIdleUs\":15000000},"
        + "\"obligations\":{\"drainGraceUs\":500000},\"loadReport\":{\"via\":\"off\"},"
        + "\"extra\":{\"cpuOfKind\":[28],\"memoryByKind\":[60],\"freeInList\":true,"
        + "\"admitCores\":2.5,\"memBooking\":1.5,\"settleUs\":3000000}}}";
  }

  private interface Peer {
    void serve(Socket socket) throws IOException;
  }

  private static void serve(ServerSocket listener, Peer peer) {
    daemon(
        () -> {
          while (true) {
            try {
              Socket socket = listener.accept();
              daemon(
                  () -> {
                    try (socket) {
                      peer.serve(socket);
                    } catch (IOException e) {
                      // The scheduler closed the connection, or the machine was stopped.
                    }
                  });
            } catch (IOException e) {
              return;
            }
          }
        });
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }
}
