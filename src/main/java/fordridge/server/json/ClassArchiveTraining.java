package fordridge.server.json;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The training run for the class archive (class data sharing): serves some requests on loopback,
 * with an emulated machine and an emulated machine list server. The build runs it once so that the
 * JVM records the classes that serving needs. Loading them from the archive takes less CPU time,
 * which matters to a scheduler that starts with a fraction of a core.
 */
public final class ClassArchiveTraining {
  private static final int REQUESTS = 40;
  private static final int BACKLOG = 50;
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
  private static final int MACHINE_LIST_POSITION = 7;
  private static final Pattern ID = Pattern.compile("\"ref\":\"([0-9a-f]+)\"");

  /** Answers a line as an emulated peer. */
  private interface LineHandler {
    void lineReceived(String line, OutputStream out) throws IOException;
  }

  private ClassArchiveTraining() {}

  /**
   * Runs the training.
   *
   * @return the exit code: 0 if every request was accepted
   */
  public static int run(PrintStream err) throws IOException, InterruptedException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket machine = new ServerSocket(0, BACKLOG, loopback);
        ServerSocket machineList = new ServerSocket(0, BACKLOG, loopback)) {
      startServing(machine, ClassArchiveTraining::answerAsMachine, err);
      startServing(machineList, (line, out) -> write(out, MACHINE_LIST_POSITION + "\n"), err);
      Path file = Files.createTempFile("class-archive-training", ".json");
      try {
        Files.writeString(file, configuration(machine.getLocalPort(), machineList.getLocalPort()));
        return train(file, err);
      } finally {
        Files.delete(file);
      }
    }
  }

  private static int train(Path file, PrintStream err) throws IOException, InterruptedException {
    try (ServeCommand command = new ServeCommand(file, err)) {
      command.start();
      int accepted = requestAll(command.port());
      command.reload();
      command.stop();
      if (!command.awaitStopped(SHUTDOWN_TIMEOUT)) {
        err.println("class archive training: shutdown did not complete within " + SHUTDOWN_TIMEOUT);
      }
      err.println("class archive training: " + accepted + " of " + REQUESTS + " requests accepted");
      return accepted == REQUESTS ? 0 : 1;
    }
  }

  private static void startServing(ServerSocket server, LineHandler handler, PrintStream err) {
    startDaemon(
        () -> {
          try {
            while (true) {
              Socket socket = server.accept();
              startDaemon(() -> readLines(socket, handler, err));
            }
          } catch (SocketException e) {
            // The server socket was closed at the end of the training run.
          } catch (IOException e) {
            err.println("class archive training: " + e);
          }
        });
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static void readLines(Socket socket, LineHandler handler, PrintStream err) {
    try (socket;
        BufferedReader in = reader(socket)) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        handler.lineReceived(line, socket.getOutputStream());
      }
    } catch (SocketException e) {
      // The scheduler has closed the connection.
    } catch (IOException e) {
      err.println("class archive training: " + e);
    }
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /**
   * Accepts each VM, reports its core usage and ends it; answers health checks with a load report.
   */
  private static void answerAsMachine(String line, OutputStream out) throws IOException {
    Matcher matcher = ID.matcher(line);
    if (!matcher.find()) {
      return;
    }
    String id = matcher.group(1);
    if (line.contains("\"t\":\"new\"")) {
      write(
          out,
          message("wait", id, "", "")
              + message("up", id, "", ",\"d\":\"here\"")
              + message("tell", id, "\"note\":\"c\",\"value\":\"0.5\"", "")
              + message("down", id, "", ",\"c\":16"));
    } else if (line.contains("\"t\":\"hb\"")) {
      write(out, message("hb_ok", id, "\"load\":\"x0:12;x1:40;utilization:0.2\"", ",\"c\":1"));
    }
  }

  private static String message(String type, String id, String fields, String topLevelFields) {
    return "{\"t\":\""
        + type
        + "\",\"ref\":\""
        + id
        + "\",\"f\":{"
        + fields
        + "}"
        + topLevelFields
        + "}\n";
  }

  /** Requests VMs one after another as a client, and returns how many were accepted. */
  private static int requestAll(int port) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        BufferedReader in = reader(socket)) {
      socket.setSoTimeout((int) RESPONSE_TIMEOUT.toMillis());
      OutputStream out = socket.getOutputStream();
      write(out, message("hb", "0000000000000000", "", ",\"c\":0"));
      int accepted = 0;
      for (int i = 1; i <= REQUESTS; i++) {
        String id = String.format("%016x", i);
        write(out, request(id));
        accepted += countAcceptedUntilEnd(id, in);
      }
      return accepted;
    }
  }

  private static String request(String id) {
    String fields =
        "\"class\":\"a\",\"left\":\"4000\",\"key\":\""
            + id
            + "\",\"extras\":\"cores:1;memory:1;service:"
            + id
            + "\"";
    return message("new", id, fields, ",\"d\":\"any\"");
  }

  private static int countAcceptedUntilEnd(String id, BufferedReader in) throws IOException {
    int accepted = 0;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (line.contains("\"t\":\"up\"")) {
        accepted++;
      } else if (line.contains("\"t\":\"down\"") && line.contains(id)) {
        break;
      }
    }
    return accepted;
  }

  private static String configuration(int machinePort, int machineListPort) {
    String machine =
        "{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:"
            + machinePort
            + "\",\"locality\":\"z\",\"flavor\":\"k\",\"cell\":1,\"phase\":\"SERVING\","
            + "\"up_since_ms\":0,\"unasked\":[90,90]}";
    String event =
        "{\"pos\":"
            + MACHINE_LIST_POSITION
            + ",\"hosts\":{\"revision\":1,\"complete\":true,\"members\":["
            + machine
            + "]}}";
    String settings =
        "{\"kinds\":[\"k\"],\"lanes\":[{\"name\":\"a\",\"giveUpUs\":4000000,"
            + "\"promiseUs\":500000,\"semantics\":\"retryable\"}],"
            + "\"caps\":{\"probes\":true,\"mostTries\":3},\"loadReport\":{\"via\":\"on_probe\"},"
            + "\"extra\":{\"cpuOfKind\":[99],\"memoryByKind\":[99],\"freeInList\":true,"
            + "\"admitCores\":2,\"memBooking\":2}}";
    return "{\"name\":\"class-archive-training\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1\","
        + "\"limits\":{\"cores\":1,\"memory_mb\":64,\"sockets\":256},\"journal\":\"127.0.0.1:"
        + machineListPort
        + "\",\"known\":{\"pos\":"
        + MACHINE_LIST_POSITION
        + ",\"entries\":["
        + event
        + "]},\"settings\":"
        + settings
        + "}";
  }
}
