package fordridge.grpc;

import java.io.Serial;

/** A client sent a message that violates the protocol; the text names the field and the fault. */
final class InvalidClientMessageException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  InvalidClientMessageException(String problem) {
    super(problem);
  }

  InvalidClientMessageException(String field, String problem) {
    super(field + ": " + problem);
  }
}
