package fordridge.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import fordridge.etcd.EtcdAdmin;
import fordridge.etcd.EtcdAdmin.MachineRow;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code ctl machines}: lists the machines in etcd as a table or as JSON lines. */
@Command(name = "machines", description = "Lists the machines.", mixinStandardHelpOptions = true)
final class CtlMachinesCommand implements Callable<Integer> {
  private static final JsonFactory JSON = new JsonFactory();

  @Mixin private EtcdOptions etcd;

  @Override
  public Integer call() throws IOException {
    try (EtcdAdmin admin = etcd.connect()) {
      if (!etcd.isJson()) {
        printHeader();
      }
      for (MachineRow machine : admin.machines()) {
        if (etcd.isJson()) {
          System.out.println(json(machine));
        } else {
          printRow(machine);
        }
      }
    }
    return ExitCode.OK;
  }

  private static void printHeader() {
    System.out.printf(
        "%-24s %-10s %-10s %-8s %5s %10s %10s %-22s %9s  %s%n",
        "machine",
        "state",
        "kind",
        "zone",
        "cell",
        "free cores",
        "free mem",
        "address",
        "revision",
        "note");
  }

  private static void printRow(MachineRow machine) {
    System.out.printf(
        Locale.ROOT,
        "%-24s %-10s %-10s %-8s %5d %10.1f %10.1f %-22s %9d  %s%n",
        machine.name(),
        machine.state(),
        machine.kind(),
        machine.zone(),
        machine.cell(),
        machine.freeCores(),
        machine.freeMemory(),
        machine.address(),
        machine.revision(),
        machine.note());
  }

  private static String json(MachineRow machine) throws IOException {
    StringWriter line = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(line)) {
      json.writeStartObject();
      json.writeStringField("machine", machine.name());
      json.writeStringField("state", machine.state());
      json.writeStringField("kind", machine.kind());
      json.writeStringField("zone", machine.zone());
      json.writeNumberField("cell", machine.cell());
      json.writeNumberField("free_cores", machine.freeCores());
      json.writeNumberField("free_memory", machine.freeMemory());
      json.writeStringField("address", machine.address());
      json.writeNumberField("revision", machine.revision());
      json.writeStringField("note", machine.note());
      json.writeEndObject();
    }
    return line.toString();
  }
}
