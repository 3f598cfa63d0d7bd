package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ReconnectPacerTest {
  /**
   * Whatever answers, fails or leaves: each is called once, few at a time, and none is left out.
   */
  @Property(tries = 200, seed = "4711")
  void everyMachineIsCalledOnceAndFewAtATime(@ForAll long seed) {
    Random r = new Random(seed);
    ReconnectPacer<Object> roll = new ReconnectPacer<>();
    Set<Object> all = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      all.add("m" + i);
    }
    roll.start(all);
    all.forEach(roll::schedule);
    List<Object> out = new ArrayList<>();
    Set<Object> seen = new HashSet<>();
    Set<Object> failed = new HashSet<>();
    Set<Object> gone = new HashSet<>();
    while (true) {
      for (Object m = roll.next().orElse(null); m != null; m = roll.next().orElse(null)) {
        assertThat(seen.add(m)).isTrue();
        assertThat(gone).doesNotContain(m);
        out.add(m);
      }
      assertThat(out.size()).isLessThanOrEqualTo(8);
      if (out.isEmpty()) {
        break;
      }
      Object m = out.remove(r.nextInt(out.size()));
      if (r.nextInt(4) == 0) {
        roll.connectionFailed(m);
        failed.add(m);
      } else {
        roll.reconciled(m);
      }
      if (r.nextInt(10) == 0) {
        Object leaves = "m" + r.nextInt(100);
        roll.reconciled(leaves);
        gone.add(leaves);
        failed.remove(leaves);
        out.remove(leaves);
      }
    }
    seen.addAll(gone);
    assertThat(seen).isEqualTo(all);
    assertThat(roll.isComplete()).isEqualTo(failed.isEmpty());
    failed.forEach(roll::reconciled);
    assertThat(roll.isComplete()).isTrue();
  }
}
