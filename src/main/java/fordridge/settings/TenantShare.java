package fordridge.settings;

/**
 * A tenant and its share of the cluster.
 *
 * @param share fraction of the cluster, from 0 to 1
 */
public record TenantShare(String name, double share) {
  static TenantShare read(ConfigReader reader) {
    TenantShare tenant =
        new TenantShare(
            reader.string("name", Limits.MAX_NAME_LENGTH), reader.decimal("share", 0, 1));
    reader.rejectUnknownKeys();
    return tenant;
  }
}
