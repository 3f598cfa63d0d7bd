package fordridge.grpc;

import fordridge.v1.ClientMessage;
import fordridge.v1.Want;

/** Validates the order of a client's messages and the ranges of their fields. */
final class ClientMessageValidator {
  private static final int MAX_NAME_CHARACTERS = 200;
  private static final int MIN_GROUP_SIZE = 2;
  private static final int MAX_GROUP_SIZE = 100;
  private static final double MAX_CORES = 1e6;
  private static final double MAX_MEMORY = 1e9;
  private static final long MAX_TIME_LEFT_US = 3_600_000_000L;

  private ClientMessageValidator() {}

  /**
   * Validates a message. {@code hello} has to be the first message of a stream, and the only one of
   * its kind.
   *
   * @param helloReceived whether the stream's {@code hello} was received before this message
   */
  static void validate(ClientMessage message, boolean helloReceived)
      throws InvalidClientMessageException {
    switch (message.getBodyCase()) {
      case HELLO -> {
        if (helloReceived) {
          throw new InvalidClientMessageException("hello", "already received on this stream");
        }
        validateName("hello.client", message.getHello().getClient());
      }
      case WANT -> {
        requireHello(helloReceived);
        validateRequest(message.getWant());
      }
      case UNWANT -> {
        requireHello(helloReceived);
        validateName("unwant.vm", message.getUnwant().getVm());
      }
      case ACK -> requireHello(helloReceived);
      default ->
          throw new InvalidClientMessageException(
              "message has no body, or one that this scheduler does not know");
    }
  }

  private static void requireHello(boolean helloReceived) throws InvalidClientMessageException {
    if (!helloReceived) {
      throw new InvalidClientMessageException("the first message must be hello");
    }
  }

  private static void validateName(String field, String name) throws InvalidClientMessageException {
    if (name.isEmpty()) {
      throw new InvalidClientMessageException(field, "empty");
    }
    validateLength(field, name);
  }

  private static void validateLength(String field, String text)
      throws InvalidClientMessageException {
    if (text.length() > MAX_NAME_CHARACTERS) {
      throw new InvalidClientMessageException(
          field, text.length() + " characters, the limit is " + MAX_NAME_CHARACTERS);
    }
  }

  private static void validateRequest(Want request) throws InvalidClientMessageException {
    validateName("want.vm", request.getVm());
    if (!isBetween(request.getCores(), MAX_CORES)) {
      throw new InvalidClientMessageException(
          "want.cores", request.getCores() + " is not above 0 and below 1e6");
    }
    if (!isBetween(request.getMemory(), MAX_MEMORY)) {
      throw new InvalidClientMessageException(
          "want.memory", request.getMemory() + " is not above 0 and below 1e9");
    }
    if (request.getTimeLeftUs() < 0 || request.getTimeLeftUs() > MAX_TIME_LEFT_US) {
      throw new InvalidClientMessageException(
          "want.time_left_us",
          request.getTimeLeftUs() + " is not between 0 and " + MAX_TIME_LEFT_US + " (an hour)");
    }
    validateLength("want.group", request.getGroup());
    validateGroupSize(request);
  }

  /** Whether the value is above 0 and below the limit; false for NaN. */
  private static boolean isBetween(double value, double limit) {
    return value > 0 && value < limit;
  }

  private static void validateGroupSize(Want request) throws InvalidClientMessageException {
    int size = request.getGroupSize();
    boolean isAllowed =
        request.getGroup().isEmpty() ? size == 0 : size >= MIN_GROUP_SIZE && size <= MAX_GROUP_SIZE;
    if (!isAllowed) {
      throw new InvalidClientMessageException(
          "want.group_size",
          size + " is not valid; 2 to " + MAX_GROUP_SIZE + " with a group, 0 without one");
    }
  }
}
