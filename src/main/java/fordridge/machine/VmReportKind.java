package fordridge.machine;

/** What a machine's report on a single VM is about. */
public enum VmReportKind {
  /** The VM runs from now on; the report has no value. */
  STARTED,
  CORE_USAGE,
  MEMORY_USAGE,
  SERVICE_LEVEL,
  MEMORY_PRESSURE,
  /** A kind that this version does not know; ignored. */
  UNKNOWN
}
