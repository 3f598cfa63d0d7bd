package fordridge.grpc;

import java.io.Serial;

/** A client's message that the protocol does not allow; its text names the field and the value. */
final class InvalidClientMessageException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  InvalidClientMessageException(String problem) {
    super(problem);
  }

  InvalidClientMessageException(String field, String problem) {
    super(field + ": " + problem);
  }
}
