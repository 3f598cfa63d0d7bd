package fordridge.session;

import java.time.Duration;

/** One thing said of a VM to its owner. */
public record ClientResponse(
    Kind kind, String vm, String machine, int attempt, Duration span, String reason) {
  public enum Kind {
    BOUND,
    DENIED,
    ERRORED,
    DONE,
    EVICTED,
    PUSHED_OUT,
    SENT_AWAY,
    LOST,
    FAILED,
    MOVED;

    /** One of the three of which each VM gets exactly one. */
    public boolean isFinal() {
      return this == BOUND || this == DENIED || this == ERRORED;
    }

    /** Nothing more is said of the VM after it. */
    public boolean isLast() {
      return this != BOUND;
    }
  }

  public static ClientResponse bound(String vm, String machine, int attempt, Duration took) {
    return new ClientResponse(Kind.BOUND, vm, machine, attempt, took, "");
  }

  public static ClientResponse denied(String vm, Duration retryAfter, String reason) {
    return new ClientResponse(Kind.DENIED, vm, "", 0, retryAfter, reason);
  }

  public static ClientResponse errored(String vm, String reason) {
    return new ClientResponse(Kind.ERRORED, vm, "", 0, Duration.ZERO, reason);
  }

  public static ClientResponse ended(String vm, Kind how) {
    return new ClientResponse(how, vm, "", 0, Duration.ZERO, "");
  }
}
