package fordridge.constraint;

/** A constraint set promises a limit that this number of schedulers cannot keep. */
public final class UnsatisfiableConstraintsException extends Exception {
  private static final long serialVersionUID = 1L;

  UnsatisfiableConstraintsException(String message) {
    super(message);
  }
}
