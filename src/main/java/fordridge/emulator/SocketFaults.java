package fordridge.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The faults in force at a machine's socket. To be used on the machine's event loop. */
final class SocketFaults {
  /** Separates the draws at the socket from those of the model. */
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

  /** It neither reads nor writes, and takes no connections; nothing is reset. */
  void setVanished(boolean on) {
    isVanished = on;
    isHung = on;
  }

  boolean isVanished() {
    return isVanished;
  }

  /** It takes work and writes nothing. */
  void setHung(boolean on) {
    isHung = on;
  }

  boolean isHung() {
    return isHung;
  }

  /** It takes connections and never speaks. */
  void setMute(boolean on) {
    isMute = on;
  }

  boolean isMute() {
    return isMute;
  }

  /** Answers are lost with this probability; with {@code reset} the stream breaks as well. */
  void setResponseLoss(double probability, boolean resetStream) {
    lossProbability = probability;
    resetsOnLoss = resetStream;
  }

  /** Draws whether the next answer is lost. */
  boolean drawLoss() {
    return random.nextDouble() < lossProbability;
  }

  boolean resetsOnLoss() {
    return resetsOnLoss;
  }

  /** Breaks streams at a point, for offers of a priority class; of any if it is empty. */
  void cutAt(CutPoint point, String priorityClass, int times) {
    cutPoint = point;
    cutPriorityClass = priorityClass;
    remainingCuts = times;
  }

  void clearCuts() {
    cutAt(CutPoint.NONE, "", 0);
  }

  /** Whether the stream breaks at a point that no priority class belongs to; counts it. */
  boolean consumeCut(CutPoint point) {
    return consumeCut(point, cutPriorityClass);
  }

  /** Whether the stream breaks at a point for this priority class; counts it. */
  boolean consumeCut(CutPoint point, String priorityClass) {
    boolean isMatch = cutPriorityClass.isEmpty() || cutPriorityClass.equals(priorityClass);
    if (cutPoint != point || remainingCuts <= 0 || !isMatch) {
      return false;
    }
    remainingCuts--;
    return true;
  }
}
