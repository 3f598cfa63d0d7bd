package fordridge.machine;

/** The kind of a machine's report on a single VM. */
public enum VmReportKind {
  /** The VM has started; the report has no value. */
  STARTED,
  CORE_USAGE,
  MEMORY_USAGE,
  SERVICE_LEVEL,
  MEMORY_PRESSURE,
  /** A kind that is unknown to this version; ignored. */
  UNKNOWN
}
