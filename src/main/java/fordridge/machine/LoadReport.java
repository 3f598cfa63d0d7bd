package fordridge.machine;

/**
 * A machine's report of its load.
 *
 * @param spareCores cores that are free, NaN where the report has none
 * @param spareMemory memory that is free, NaN where the report has none
 * @param utilization fraction of the machine in use, NaN where the report has none
 */
public record LoadReport(double spareCores, double spareMemory, double utilization) {}
