package fordridge.faults;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A library that is preloaded into one scheduler process, makes its system calls fail and changes
 * its clocks. It is built from {@code faults/shim.c} with the host's C compiler.
 */
final class SystemCallShim implements AutoCloseable {
  /** A 32-bit integer in the control file; the order is the same as in {@code faults/shim.c}. */
  enum Slot {
    ACCEPT_COUNT(0),
    ACCEPT_ERRNO(1),
    SOCKET_COUNT(2),
    SOCKET_ERRNO(3),
    CONNECT_COUNT(4),
    CONNECT_ERRNO(5),
    READ_MAX(6),
    WRITE_MAX(7),
    EPOLL_INTERRUPTS(8),
    WALL_CLOCK_SECONDS(9),
    METERED_CLOCK_MILLIS(10),
    /** Written by the shim: the number of non-blocking epoll_wait calls that found no event. */
    EMPTY_POLLS(11);

    private final int index;

    Slot(int index) {
      this.index = index;
    }
  }

  static final int ENFILE = 23;
  static final int EMFILE = 24;
  static final int EADDRNOTAVAIL = 99;
  static final int ENETUNREACH = 101;
  static final int ECONNABORTED = 103;
  static final int ENOBUFS = 105;
  static final int ETIMEDOUT = 110;
  static final int EHOSTUNREACH = 113;

  private static Optional<Path> library;

  private final Path controlFile;
  private final MappedByteBuffer control;

  private SystemCallShim() throws IOException {
    controlFile = Files.createTempFile("fault-control", null);
    Files.write(controlFile, new byte[Slot.values().length * Integer.BYTES]);
    try (FileChannel channel =
        FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      control = channel.map(FileChannel.MapMode.READ_WRITE, 0, channel.size());
    }
    control.order(ByteOrder.nativeOrder());
  }

  /** Creates the shim of one process; empty if the host has no C compiler. */
  static Optional<SystemCallShim> create() throws IOException, InterruptedException {
    return library().isPresent() ? Optional.of(new SystemCallShim()) : Optional.empty();
  }

  private static synchronized Optional<Path> library() throws IOException, InterruptedException {
    if (library == null) {
      library = build();
    }
    return library;
  }

  private static Optional<Path> build() throws IOException, InterruptedException {
    Path dir = Files.createTempDirectory("fault-shim");
    Path source = dir.resolve("shim.c");
    Path output = dir.resolve("shim.so");
    try (InputStream in = SystemCallShim.class.getResourceAsStream("/faults/shim.c")) {
      Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
    }
    Process compiler;
    try {
      compiler =
          new ProcessBuilder(
                  "cc",
                  "-O1",
                  "-shared",
                  "-fPIC",
                  "-o",
                  output.toString(),
                  source.toString(),
                  "-ldl")
              .redirectErrorStream(true)
              .start();
    } catch (IOException e) {
      System.out.println(
          "fault harness: C compiler cc not found; system call faults are not injected");
      return Optional.empty();
    }
    String messages = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (!compiler.waitFor(1, TimeUnit.MINUTES) || compiler.exitValue() != 0) {
      throw new IOException("cc failed to build faults/shim.c: " + messages);
    }
    return Optional.of(output);
  }

  /** Adds the variables that load and configure the shim to a process's environment. */
  void addTo(Map<String, String> environment) {
    environment.put("LD_PRELOAD", library.orElseThrow().toString());
    environment.put("FAULT_CONTROL", controlFile.toString());
  }

  void set(Slot slot, int value) {
    control.putInt(slot.index * Integer.BYTES, value);
  }

  int get(Slot slot) {
    return control.getInt(slot.index * Integer.BYTES);
  }

  /** Makes the next {@code count} calls that {@code countSlot} stands for fail with this error. */
  void fail(Slot countSlot, Slot errnoSlot, int errno, int count) {
    set(errnoSlot, errno);
    set(countSlot, count);
  }

  @Override
  public void close() throws IOException {
    Files.deleteIfExists(controlFile);
  }
}
