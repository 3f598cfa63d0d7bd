package fordridge.session;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.session.PendingRequestBudget.Decision;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class PendingRequestBudgetTest {
  private static final int MAX_REQUESTS = 160;
  private static final long MAX_BYTES = 16_000;

  private static PendingRequestBudget<String> newBudget() {
    return new PendingRequestBudget<>(new PendingRequestLimits(MAX_REQUESTS, MAX_BYTES));
  }

  private static int reserveUntilRefused(
      PendingRequestBudget<String> budget, String connection, long bytes) {
    int granted = 0;
    while (budget.reserve(connection, bytes) == Decision.GRANTED) {
      granted++;
    }
    return granted;
  }

  /** Guards against one client whose large requests leave no memory to the others. */
  @Example
  void bytesOfOneConnectionLeaveAQuarterToOthers() {
    PendingRequestBudget<String> budget = newBudget();
    assertThat(reserveUntilRefused(budget, "flood", 1_000)).isEqualTo(12);
    assertThat(budget.reserve("flood", 1_000)).isEqualTo(Decision.TOO_MANY_BYTES);
    for (int i = 0; i < 4; i++) {
      assertThat(budget.reserve("usual" + i, 1_000)).isEqualTo(Decision.GRANTED);
    }
    assertThat(budget.reserve("late", 1)).as("all bytes are in use").isNotEqualTo(Decision.GRANTED);
    budget.release("flood", 1_000);
    assertThat(budget.reserve("late", 1_000)).isEqualTo(Decision.GRANTED);
  }

  /** Guards against one client whose many requests leave no room to the others. */
  @Example
  void requestsOfOneConnectionLeaveAQuarterToOthers() {
    PendingRequestBudget<String> budget = newBudget();
    assertThat(reserveUntilRefused(budget, "flood", 1)).isEqualTo(120);
    assertThat(budget.reserve("flood", 1)).isEqualTo(Decision.TOO_MANY_REQUESTS);
    for (int i = 0; i < 4; i++) {
      assertThat(reserveUntilRefused(budget, "usual" + i, 1)).isEqualTo(10);
    }
    assertThat(budget.requests()).isEqualTo(MAX_REQUESTS);
    assertThat(budget.reserve("late", 1)).isEqualTo(Decision.TOO_MANY_REQUESTS);
  }

  private record Reservation(String connection, long bytes) {}

  /** The bounds hold in every order of requests and releases, and nothing is left at the end. */
  @Property(tries = 200, seed = "5401")
  void boundsHoldAndEverythingIsReturned(@ForAll long seed) {
    PendingRequestBudget<String> budget = newBudget();
    Random random = new Random(seed);
    Deque<Reservation> held = new ArrayDeque<>();
    for (int i = 0; i < 600; i++) {
      if (random.nextInt(3) == 0 && !held.isEmpty()) {
        Reservation released = held.pop();
        budget.release(released.connection, released.bytes);
      } else {
        Reservation wanted = new Reservation("c" + random.nextInt(6), 1 + random.nextInt(400));
        if (budget.reserve(wanted.connection, wanted.bytes) == Decision.GRANTED) {
          held.push(wanted);
        }
      }
      assertThat(budget.requests()).isEqualTo(held.size()).isLessThanOrEqualTo(MAX_REQUESTS);
      assertThat(held.stream().mapToLong(Reservation::bytes).sum()).isLessThanOrEqualTo(MAX_BYTES);
    }
    List<Reservation> rest = new ArrayList<>(held);
    rest.forEach(each -> budget.release(each.connection, each.bytes));
    assertThat(reserveUntilRefused(budget, "any", 1)).as("as when new").isEqualTo(120);
  }
}
