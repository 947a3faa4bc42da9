package io.anvilpick.load;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;

/**
 * Settings of a benchmark.
 *
 * @param fleets the fleets to compare; the first must be named oracle, another one anvilpick
 * @param targets addresses of the targets
 * @param slots slots of each target
 * @param meanMillis mean service time of a call in milliseconds
 * @param seconds length of each measurement in seconds
 * @param seeds number of seeds
 * @param scenarios the scenarios to run
 * @param out folder for the table and the plot
 */
record BenchSettings(
        ImmutableList<Fleet> fleets,
        ImmutableList<String> targets,
        int slots,
        double meanMillis,
        int seconds,
        int seeds,
        ImmutableList<Scenario> scenarios,
        Path out) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the number of calls per second that keeps all slots busy. */
    double capacityPerSecond() {
        return targets.size() * slots * MILLIS_PER_SECOND / meanMillis;
    }
}
