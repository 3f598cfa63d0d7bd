package fordridge.machine;

/**
 * A machine's report of its load.
 *
 * @param spareCores number of free cores; NaN if not reported
 * @param spareMemory free memory; NaN if not reported
 * @param utilization fraction of the machine in use; NaN if not reported
 */
public record LoadReport(double spareCores, double spareMemory, double utilization) {}
