package fordridge.server.json;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Plays a few asks through a whole placer on loopback, against a machine and a journal of its own.
 * The build does so once, to record the classes that serving needs: read from an archive, they cost
 * a starting placer less of its part of a core.
 */
public final class ClassArchiveTraining {
  private static final int ASKS = 40;
  private static final Pattern REF = Pattern.compile("\"ref\":\"([0-9a-f]+)\"");

  private ClassArchiveTraining() {}

  /** The exit code: 0 if every ask was answered with a VM that stands. */
  public static int run(PrintStream err) throws IOException, InterruptedException {
    try (ServerSocket machine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ServerSocket journal = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      serve(machine, ClassArchiveTraining::machine);
      serve(journal, (line, out) -> say(out, "7\n"));
      Path file = Files.createTempFile("class-archive-training", ".json");
      try {
        Files.writeString(file, configuration(machine.getLocalPort(), journal.getLocalPort()));
        try (ServeCommand program = new ServeCommand(file, err)) {
          program.start();
          int stood = owner(program.port());
          program.reload();
          program.stop();
          program.awaitStopped(Duration.ofSeconds(10));
          err.println("rehearsed: " + stood + " of " + ASKS + " asks stood");
          return stood == ASKS ? 0 : 1;
        }
      } finally {
        Files.delete(file);
      }
    }
  }

  private interface LineWriter {
    void answer(String line, OutputStream out) throws IOException;
  }

  private static void serve(ServerSocket at, LineWriter says) {
    Thread accepts =
        new Thread(
            () -> {
              while (!at.isClosed()) {
                try {
                  Socket s = at.accept();
                  Thread reads = new Thread(() -> read(s, says));
                  reads.setDaemon(true);
                  reads.start();
                } catch (IOException e) {
                  return;
                }
              }
            });
    accepts.setDaemon(true);
    accepts.start();
  }

  private static void read(Socket s, LineWriter says) {
    try (s;
        BufferedReader in =
            new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        says.answer(line, s.getOutputStream());
      }
    } catch (IOException e) {
      // The placer ends first.
      return;
    }
  }

  private static void say(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static void machine(String line, OutputStream out) throws IOException {
    Matcher m = REF.matcher(line);
    if (!m.find()) {
      return;
    }
    String ref = m.group(1);
    if (line.contains("\"t\":\"new\"")) {
      say(
          out,
          "{\"t\":\"wait\",\"ref\":\""
              + ref
              + "\",\"f\":{}}\n{\"t\":\"up\",\"ref\":\""
              + ref
              + "\",\"f\":{},\"d\":\"here\"}\n{\"t\":\"tell\",\"ref\":\""
              + ref
              + "\",\"f\":{\"note\":\"c\",\"value\":\"0.5\"}}\n{\"t\":\"down\",\"ref\":\""
              + ref
              + "\",\"f\":{},\"c\":16}\n");
    } else if (line.contains("\"t\":\"hb\"")) {
      say(
          out,
          "{\"t\":\"hb_ok\",\"ref\":\""
              + ref
              + "\",\"f\":{\"load\":\"x0:12;x1:40;utilization:0.2\"},\"c\":1}\n");
    }
  }

  private static int owner(int port) throws IOException {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        BufferedReader in =
            new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8))) {
      s.setSoTimeout(10_000);
      say(s.getOutputStream(), "{\"t\":\"hb\",\"ref\":\"0000000000000000\",\"f\":{},\"c\":0}\n");
      int stood = 0;
      for (int i = 1; i <= ASKS; i++) {
        String ref = String.format("%016x", i);
        say(
            s.getOutputStream(),
            "{\"t\":\"new\",\"ref\":\""
                + ref
                + "\",\"f\":{\"class\":\"a\",\"left\":\"4000\","
                + "\"key\":\""
                + ref
                + "\",\"extras\":\"cores:1;memory:1;service:"
                + ref
                + "\"},\"d\":\"any\"}\n");
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (line.contains("\"t\":\"up\"")) {
            stood++;
          } else if (line.contains("\"t\":\"down\"") && line.contains(ref)) {
            break;
          }
        }
      }
      return stood;
    }
  }

  private static String configuration(int machine, int journal) {
    return "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1\",\"limits\":{\"cores\":1,\"memory_mb\":64,"
               + "\"sockets\":256},\"journal\":\"127.0.0.1:"
        + journal
        + "\",\"known\":{\"pos\":7,\"entries\":[{\"pos\":7,"
        + "\"hosts\":{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:"
        + machine
        + "\",\"locality\":\"z\",\"flavor\":\"k\",\"cell\":1,\"phase\":\"SERVING\",\"up_since_ms\":0,"
        + "\"unasked\":[90,90]}]}}]},\"settings\":{\"kinds\":[\"k\"],\"lanes\":[{\"name\":\"a\",\"giveUpUs\":4000000,"
        + "\"promiseUs\":500000,\"semantics\":\"retryable\"}],\"caps\":{\"probes\":true,\"mostTries\":3},"
        + "\"loadReport\":{\"via\":\"on_probe\"},\"extra\":{\"cpuOfKind\":[99],\"memoryByKind\":[99],"
        + "\"freeInList\":true,\"admitCores\":2,\"memBooking\":2}}}";
  }
}
