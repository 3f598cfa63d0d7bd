package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ReconciliationPacerTest {
  private static final int MACHINES = 100;
  private static final int MAX_CONCURRENT = 8;

  /** For random sequences of inventories, failures and machines that leave the machine list. */
  @Property(tries = 200, seed = "4711")
  void everyMachineIsConnectedToOnceAndAFewConcurrently(@ForAll long seed) {
    Random random = new Random(seed);
    ReconciliationPacer<String> pacer = new ReconciliationPacer<>();
    Set<String> all = new HashSet<>();
    for (int i = 0; i < MACHINES; i++) {
      all.add("m" + i);
    }
    pacer.start(all);
    all.forEach(pacer::schedule);
    List<String> connecting = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    Set<String> failed = new HashSet<>();
    Set<String> gone = new HashSet<>();
    while (true) {
      for (Optional<String> next = pacer.next(); next.isPresent(); next = pacer.next()) {
        assertThat(seen.add(next.get())).isTrue();
        assertThat(gone).doesNotContain(next.get());
        connecting.add(next.get());
      }
      assertThat(connecting).hasSizeLessThanOrEqualTo(MAX_CONCURRENT);
      if (connecting.isEmpty()) {
        break;
      }
      String machine = connecting.remove(random.nextInt(connecting.size()));
      if (random.nextInt(4) == 0) {
        pacer.connectionFailed(machine);
        failed.add(machine);
      } else {
        pacer.reconciled(machine);
      }
      if (random.nextInt(10) == 0) {
        String leaving = "m" + random.nextInt(MACHINES);
        pacer.reconciled(leaving);
        gone.add(leaving);
        failed.remove(leaving);
        connecting.remove(leaving);
      }
    }
    seen.addAll(gone);
    assertThat(seen).isEqualTo(all);
    assertThat(pacer.isComplete()).isEqualTo(failed.isEmpty());
    failed.forEach(pacer::reconciled);
    assertThat(pacer.isComplete()).isTrue();
  }
}
