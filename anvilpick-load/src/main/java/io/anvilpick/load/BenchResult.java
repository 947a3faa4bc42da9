package io.anvilpick.load;

import org.HdrHistogram.Histogram;

/**
 * What one fleet showed in one scenario, over one seed or several.
 *
 * @param fleet name of the fleet
 * @param scenario the scenario
 * @param micros latencies of answered calls
 * @param quietMicros latencies of answered calls of the tenants that did not burst
 * @param counts how calls ended
 * @param probes probes that targets counted
 * @param hedges calls sent to a second target, by the daemons' metrics
 * @param retries calls sent again, by the daemons' metrics
 * @param slotMillis slot time of all targets over the measurement
 */
record BenchResult(
        String fleet,
        Scenario scenario,
        Histogram micros,
        Histogram quietMicros,
        Tally.Counts counts,
        long probes,
        long hedges,
        long retries,
        double slotMillis) {
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double PROBE_MILLIS = 6;

    double millisAt(double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    double quietMillisAt(double percentile) {
        return quietMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Returns the share of slot time that probes took. */
    double probeShare() {
        return probes * PROBE_MILLIS / slotMillis;
    }

    /** Returns this result together with another one of the same fleet and scenario. */
    BenchResult plus(BenchResult other) {
        Histogram sum = micros.copy();
        sum.add(other.micros);
        Histogram quietSum = quietMicros.copy();
        quietSum.add(other.quietMicros);
        return new BenchResult(
                fleet,
                scenario,
                sum,
                quietSum,
                counts.plus(other.counts),
                probes + other.probes,
                hedges + other.hedges,
                retries + other.retries,
                slotMillis + other.slotMillis);
    }
}
