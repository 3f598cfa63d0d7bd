package fordridge.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The active faults at a machine's socket. Confined to the machine's event loop. */
final class SocketFaults {
  /** Gives the socket faults another random sequence than the model, which uses the same seed. */
  private static final long SEED_MASK = 0x5eed;

  private final UniformRandomProvider random;
  private boolean isVanished;
  private boolean isHung;
  private boolean isMute;
  private double lossProbability;
  private boolean resetsOnLoss;
  private CutPoint cutPoint = CutPoint.NONE;
  private String cutPriorityClass = "";
  private int remainingCuts;

  SocketFaults(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed ^ SEED_MASK);
  }

  /**
   * Starts or stops a fault in which the machine neither reads nor writes and accepts no
   * connections, while its open connections are not reset.
   */
  void setVanished(boolean on) {
    isVanished = on;
    isHung = on;
  }

  boolean isVanished() {
    return isVanished;
  }

  /** Starts or stops a fault in which the machine accepts messages but sends nothing. */
  void setHung(boolean on) {
    isHung = on;
  }

  boolean isHung() {
    return isHung;
  }

  /** Starts or stops a fault in which the machine accepts streams but sends nothing on them. */
  void setMute(boolean on) {
    isMute = on;
  }

  boolean isMute() {
    return isMute;
  }

  /**
   * Loses responses with this probability.
   *
   * @param resetStream whether a lost response breaks the stream as well
   */
  void setResponseLoss(double probability, boolean resetStream) {
    lossProbability = probability;
    resetsOnLoss = resetStream;
  }

  /** Draws whether the next response is lost. */
  boolean drawLoss() {
    return random.nextDouble() < lossProbability;
  }

  boolean resetsOnLoss() {
    return resetsOnLoss;
  }

  /**
   * Breaks streams at a point of the message exchange.
   *
   * @param priorityClass of the offers at which streams break; empty for any
   * @param times how many times a stream is broken
   */
  void cutAt(CutPoint point, String priorityClass, int times) {
    cutPoint = point;
    cutPriorityClass = priorityClass;
    remainingCuts = times;
  }

  void clearCuts() {
    cutAt(CutPoint.NONE, "", 0);
  }

  /**
   * Returns whether the stream breaks at a point without a priority class, and uses up one of the
   * remaining breaks if so.
   */
  boolean consumeCut(CutPoint point) {
    return consumeCut(point, cutPriorityClass);
  }

  /**
   * Returns whether the stream breaks at a point for an offer of this priority class, and uses up
   * one of the remaining breaks if so.
   */
  boolean consumeCut(CutPoint point, String priorityClass) {
    boolean isMatch = cutPriorityClass.isEmpty() || cutPriorityClass.equals(priorityClass);
    if (cutPoint != point || remainingCuts <= 0 || !isMatch) {
      return false;
    }
    remainingCuts--;
    return true;
  }
}
