package fordridge.etcd;

/** A record of the store that cannot be read; the message names the field and its value. */
final class RecordFormatException extends Exception {
  private static final long serialVersionUID = 1L;

  RecordFormatException(String message) {
    super(message);
  }

  RecordFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
