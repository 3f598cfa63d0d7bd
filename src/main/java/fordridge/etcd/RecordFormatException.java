package fordridge.etcd;

/** Thrown if a record in the store cannot be decoded; the message says what is invalid. */
final class RecordFormatException extends Exception {
  private static final long serialVersionUID = 1L;

  RecordFormatException(String message) {
    super(message);
  }

  RecordFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
