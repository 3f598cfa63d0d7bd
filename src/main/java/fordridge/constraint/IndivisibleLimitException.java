package fordridge.constraint;

/**
 * Thrown for a constraint set with a cluster-wide limit that is too small to be divided among the
 * schedulers.
 */
public final class IndivisibleLimitException extends Exception {
  private static final long serialVersionUID = 1L;

  IndivisibleLimitException(String message) {
    super(message);
  }
}
