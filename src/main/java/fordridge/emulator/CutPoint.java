package fordridge.emulator;

/** The point in a conversation at which a fault breaks a machine's stream. */
enum CutPoint {
  NONE,
  AFTER_GREETING,
  AFTER_OFFER_READ,
  BEFORE_START_RESPONSE,
  AFTER_START_RESPONSE
}
