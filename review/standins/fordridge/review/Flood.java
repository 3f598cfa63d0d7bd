package fordridge.review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The scheduler on JSON lines, started by the command {@code run} of the deploy file, while its
 * cluster is full: one client sends 990 requests at once, each within the largest message.
 */
final class Flood extends Case {
  private static final int REQUESTS = 990;
  private static final int DESCRIPTION_BYTES = 15_900;
  private static final Pattern MESSAGE =
      Pattern.compile("\"t\":\"([a-z_]+)\",\"ref\":\"([0-9a-f]{16})\"");

  private Process process;

  public static void main(String[] args) {
    run(new Flood(), args);
  }

  @Override
  String play() throws Exception {
    ServerSocket list = listen();
    serve(list, Flood::tellPosition);
    ServerSocket machine = listen();
    serve(machine, Flood::answerChecks);
    int port = freePort();
    Path config = folder.resolve("config.json");
    Files.writeString(config, config(port, list.getLocalPort(), machine.getLocalPort()));
    start(config);
    Socket usual = connect(port);
    Map<String, String> usualAnswers = answersOf("usual", usual);
    for (int i = 1; i <= 5; i++) {
      send(usual, request(0xa0 + i, "v=0 o=- 20518 0 IN IP4 127.0.0.1"));
    }
    record.line("usual", "sent 5 requests");
    Thread.sleep(500);
    Socket other = connect(port);
    Map<String, String> otherAnswers = answersOf("other", other);
    String description =
        trouble ? "café €" + "x".repeat(DESCRIPTION_BYTES - 9) : "v=0 o=- 20518 0 IN IP4 127.0.0.1";
    int bytes = request(1, description).length;
    record.line("other", "sends " + REQUESTS + " requests of " + bytes + " bytes");
    try {
      for (int i = 1; i <= REQUESTS; i++) {
        send(other, request(0x1000 + i, description));
      }
      record.line("other", "sent them");
    } catch (IOException e) {
      record.line("other", "its connection broke: " + e.getMessage());
    }
    boolean ended = process.waitFor(10, TimeUnit.SECONDS);
    Thread.sleep(200);
    record.line(
        "serve", ended ? "ENDED with code " + process.exitValue() : "still runs after 10 s");
    for (String line : Files.readAllLines(folder.resolve("serve.log"))) {
      if (line.contains("OutOfMemory") || line.contains("serving at")) {
        record.line("serve", line.replaceFirst("^[0-9]+ ", ""));
      }
    }
    record.line(
        "case",
        "answers: usual client "
            + usualAnswers.size()
            + " of 5, other client "
            + otherAnswers.size()
            + " of "
            + REQUESTS);
    return ended
        ? "the scheduler crashed; "
            + (5 - usualAnswers.size())
            + " requests that it had taken from another client were never answered"
        : null;
  }

  private void start(Path config) throws Exception {
    // The deploy file: run = "exec bash deploy/serve.sh".
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec bash deploy/serve.sh");
    builder.environment().put("LB_CONFIG", config.toString());
    builder.environment().put("LB_NAME", "n1");
    Path log = folder.resolve("serve.log");
    process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    onClose(process::destroyForcibly);
    record.line("serve", "process " + process.pid() + " started");
    for (int i = 0; i < 600; i++) {
      if (Files.readString(log).contains("serving at")) {
        record.line("serve", "serves");
        return;
      }
      if (!process.isAlive()) {
        throw new IllegalStateException("it ended: " + Files.readString(log));
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException("it does not serve");
  }

  private static Socket connect(int port) throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), port);
  }

  private static byte[] request(int id, String description) {
    String hex = String.format("%016x", id);
    return ("{\"t\":\"new\",\"ref\":\"" + hex
            + "\",\"f\":{\"class\":\"batch\",\"left\":\"8000\",\"tenant\":\"acme\",\"key\":\""
            + hex
            + "\",\"extras\":\"cores:1;memory:2;service:" + hex + "\"},\"d\":\""
            + description + "\"}\n")
        .getBytes(StandardCharsets.UTF_8);
  }

  private static void send(Socket socket, byte[] line) throws IOException {
    socket.getOutputStream().write(line);
  }

  /** The first answer to each request that the client reads. */
  private Map<String, String> answersOf(String client, Socket socket) {
    Map<String, String> answers = new ConcurrentHashMap<>();
    daemon(
        () -> {
          try (BufferedReader in = reader(socket)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
              Matcher message = MESSAGE.matcher(line);
              if (message.find() && message.group(1).matches("up|down")) {
                answers.put(message.group(2), message.group(1));
              }
            }
            record.line(client, "its connection was closed");
          } catch (IOException e) {
            record.line(client, "its connection broke: " + e.getMessage());
          }
        });
    return answers;
  }

  private static String config(int port, int listPort, int machinePort) {
    // A full cluster: nobody's request fits into what the list says is free.
    String machine =
        "{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:" + machinePort
            + "\",\"locality\":\"z\",\"flavor\":\"std\",\"cell\":1,\"phase\":\"SERVING\","
            + "\"up_since_ms\":0,\"unasked\":[0,0]}";
    String settings =
        "{\"kinds\":[\"std\"],\"lanes\":[{\"name\":\"batch\",\"giveUpUs\":8000000,"
            + "\"promiseUs\":800000,\"semantics\":\"retryable\"}],"
            + "\"tenants\":[{\"name\":\"acme\",\"share\":1}],"
            + "\"caps\":{\"mostTries\":3,\"retryAfter\":true,\"connectTimeoutUs\":250000,"
            + "\"connIdleUs\":15000000},\"obligations\":{\"drainGraceUs\":500000},"
            + "\"loadReport\":{\"via\":\"off\"},\"extra\":{\"cpuOfKind\":[28],"
            + "\"memoryByKind\":[60],\"freeInList\":true,\"admitCores\":1,\"memBooking\":1,"
            + "\"settleUs\":3000000}}";
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
        + "\"sockets\":1024},\"journal\":\"127.0.0.1:" + listPort
        + "\",\"known\":{\"pos\":1,\"entries\":[{\"pos\":1,\"hosts\":{\"revision\":1,"
        + "\"complete\":true,\"members\":[" + machine + "]}}]},\"settings\":" + settings + "}";
  }

  /** The server of the machine list: every second a line with the last number. */
  private static void tellPosition(Socket socket) throws IOException {
    reader(socket).readLine();
    while (true) {
      socket.getOutputStream().write("1\n".getBytes(StandardCharsets.UTF_8));
      try {
        Thread.sleep(1_000);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** A full machine: it passes tests and refuses what it is offered. */
  private static void answerChecks(Socket socket) throws IOException {
    BufferedReader in = reader(socket);
    OutputStream out = socket.getOutputStream();
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      Matcher message = MESSAGE.matcher(line);
      if (message.find()) {
        String answer =
            switch (message.group(1)) {
              case "hb" -> "{\"t\":\"hb_ok\",\"ref\":\"" + message.group(2) + "\",\"f\":{},\"c\":1}\n";
              case "new" ->
                  "{\"t\":\"down\",\"ref\":\"" + message.group(2)
                      + "\",\"f\":{\"note\":\"nc\"},\"c\":34}\n";
              default -> "";
            };
        out.write(answer.getBytes(StandardCharsets.UTF_8));
      }
    }
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
                      // The scheduler closed the connection.
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

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = listen()) {
      return free.getLocalPort();
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }
}
