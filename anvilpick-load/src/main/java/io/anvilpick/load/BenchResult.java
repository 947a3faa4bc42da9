package io.anvilpick.load;

import org.HdrHistogram.Histogram;

/**
 * Measurements of one fleet in one scenario, over one or more seeds.
 *
 * @param fleet name of the fleet
 * @param scenario the scenario
 * @param micros latencies of answered calls, in microseconds
 * @param quietMicros latencies of answered calls of all tenants but the first, in microseconds; the first
 *     tenant is the one that bursts in {@link Scenario.Burst}
 * @param counts numbers of calls by outcome
 * @param probes probes received, as counted by the targets
 * @param hedges hedged calls, from the daemons' metrics
 * @param retries retried calls, from the daemons' metrics
 * @param slotMillis total slot time of all targets during the measurement without its warmup, in milliseconds
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

    /** Returns the fraction of slot time used by probes. */
    double probeShare() {
        return probes * PROBE_MILLIS / slotMillis;
    }

    /** Returns the sum of this result and another one of the same fleet and scenario. */
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
