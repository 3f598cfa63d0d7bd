package fordridge.settings;

/**
 * Penalties that are subtracted from the objective (block {@code prices}); 0 for no penalty.
 *
 * @param machines penalty for machines in use beyond those needed
 * @param otherZone penalty for VMs outside the scheduler's zone
 * @param migrations penalty for migrated VMs
 * @param waste penalty for wasted work
 * @param healthCheck penalty for one health check
 * @param gossip penalty for one full gossip message for each VM
 */
public record PriceSettings(
    double machines,
    double otherZone,
    double migrations,
    double waste,
    double healthCheck,
    double gossip) {
  private static final double MAX_PRICE = 1000;

  static PriceSettings read(ConfigReader reader) {
    return new PriceSettings(
        price(reader, "machines"),
        price(reader, "other_zone"),
        price(reader, "moves"),
        price(reader, "waste"),
        price(reader, "probe"),
        price(reader, "note"));
  }

  private static double price(ConfigReader reader, String name) {
    return reader.decimal("prices." + name, 0, MAX_PRICE);
  }
}
