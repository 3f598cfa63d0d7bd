package fordridge.emulator;

/** The point in the message exchange at which a fault breaks a scheduler's stream to a machine. */
enum CutPoint {
  NONE,
  AFTER_GREETING,
  AFTER_OFFER_READ,
  BEFORE_START_RESPONSE,
  AFTER_START_RESPONSE
}
